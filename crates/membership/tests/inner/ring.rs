use super::*;

#[test]
fn each_watches_those_whose_watcher_it_is() {
    let all: Vec<_> = (1..=9).map(|i| NodeId::new(10, 0, 0, i)).collect();
    let ring = |me: NodeId| Ring::of(me, 3, all.iter().filter(|n| **n != me).map(|n| (*n, State::Here)));
    for &me in &all {
        for w in ring(me).watchers {
            assert!(ring(w).watched.contains(&me), "{w} watches {me}");
        }
    }
}

#[test]
fn doubted_ones_fill_up() {
    let node = |i| NodeId::new(10, 0, 0, i);
    let ring = Ring::of(
        node(1),
        3,
        [(node(2), State::Gone), (node(3), State::Doubted), (node(4), State::Here)].into_iter(),
    );
    assert_eq!(ring, Ring { watchers: vec![node(4), node(3), node(2)], watched: vec![node(4)] });
}
