use fallgap_keeper::NodeId;
use fallgap_keeper::charter::{Charter, Member};

#[test]
fn whoever_comes_in_meets_every_majority_before_it() {
    let node = |n: u8| NodeId::new(10, 0, 0, n);
    for size in 1..=7u8 {
        let members = (1..=size).map(|n| Member { node: node(n), disk: 1, joined: 1 }).collect();
        let old = Charter { number: 1, members };
        let (size, quorum) = (usize::from(size), old.quorum());
        let replaced = old.changed(Some(node(1)), Some((node(9), 2)));
        assert_eq!(replaced.newcomer().map(|m| m.node), Some(node(9)));
        assert!(quorum - 1 + replaced.cover() > size - 1, "{size}: of those that stay, some are read");
        assert!(quorum - 1 + replaced.quorum() > size - 1, "{size}: a majority without it meets them");
        let added = old.changed(None, Some((node(9), 2)));
        assert!(quorum + added.cover() > size && quorum + added.quorum() > size, "{size}");
        assert!(quorum + 1 >= added.quorum(), "{size}: with it a majority holds all");
        let fewer = old.changed(Some(node(1)), None);
        if size % 2 == 0 {
            assert!(quorum > fewer.quorum(), "{size}: those left are a majority");
        }
        let wiped = old.changed(Some(node(1)), Some((node(1), 2)));
        assert_eq!(wiped.members.len(), size);
        assert!(wiped.changed(Some(node(1)), Some((node(1), 3))).newcomer().is_some_and(|m| m.disk == 3));
    }
}
