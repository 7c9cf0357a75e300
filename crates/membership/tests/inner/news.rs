use super::*;

#[test]
fn each_piece_goes_out_as_often_as_said() {
    let node = |i| NodeId::new(10, 0, 0, i);
    let mut fresh = Fresh::default();
    fresh.add(node(1), Rank::Known, 2);
    fresh.add(node(2), Rank::Known, 4);
    fresh.add(node(3), Rank::New, 9);
    assert_eq!(fresh.take(1, 3), [node(2)]);
    assert_eq!(fresh.take(2, 1), [node(1), node(2)]);
    assert_eq!(fresh.take(2, 1), [node(1), node(3)]);
    assert_eq!(fresh.take(9, 8), [node(3)]);
    assert!(fresh.take(9, 1).is_empty() && !fresh.is_hot());
}
