use fallgap_control_state::NodeId;
use fallgap_control_state::ballot::Ballot;
use fallgap_control_state::charter::{Charter, Member};
use fallgap_control_state::messages::Record;

#[test]
fn whoever_comes_in_meets_every_majority_before_it() {
    let node = |n: u8| NodeId::new(10, 0, 0, n);
    for size in 1..=7u8 {
        let members = (1..=size).map(|n| Member { node: node(n), disk: 1, joined: 1 }).collect();
        let old = Charter { number: 1, members, grown: false };
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

#[test]
fn epochs_on_disks_of_the_text_before_are_read() {
    let node = NodeId::new(10, 0, 0, 1);
    let charter = |grown| Charter { number: 3, members: vec![Member { node, disk: 5, joined: 2 }], grown };
    let ballot = Ballot { epoch: 3, count: 300, node, life: 7 };
    let successor = |accepted| Record::Successor { epoch: 3, promised: Some(ballot), accepted };
    // (a record, whether it is read without its last byte, as the text before wrote it)
    let table = [
        (Record::Epoch(charter(false)), true),
        (successor(Some((ballot, charter(false)))), true),
        (successor(None), false),
        (Record::CaughtUp(300), false),
        (Record::Disk { number: 300, first: true }, false),
        (Record::Promise { key: fallgap_control_state::Key::Config, ballot }, false),
    ];
    for (record, is_read) in table {
        let bytes = postcard::to_stdvec(&record).unwrap();
        let shown = |read: Result<Record, _>| read.ok().map(|record| format!("{record:?}"));
        let whole = Some(format!("{record:?}"));
        assert_eq!(shown(Record::read(&bytes)), whole);
        assert_eq!(shown(Record::read(&bytes[..bytes.len() - 1])), whole.filter(|_| is_read), "{record:?}");
    }
    let grown = postcard::to_stdvec(&Record::Epoch(charter(true))).unwrap();
    assert!(matches!(Record::read(&grown), Ok(Record::Epoch(Charter { grown: true, .. }))));
}
