use super::*;
use fallgap_control_state::store::Limits;

const LONG: Duration = Duration::from_secs(20);

/// The checkpoint that was due has failed, and the logs have filled their room meanwhile.
#[test]
fn full_logs_take_records_again_once_there_is_a_checkpoint() {
    let folder = std::env::temp_dir().join(format!("gateway-disk-{}", std::process::id()));
    let (entry_bytes, ahead_bytes, checkpoint_bytes) = (4096, 4096, 1 << 20);
    let limits = Limits { entry_bytes, ahead_bytes, checkpoint_bytes, logs: 100, log_room: 128 << 10 };
    let (store, _) = Store::open_with(&folder, limits).unwrap();
    let poll = mio::Poll::new().unwrap();
    let wake = Arc::new(mio::Waker::new(poll.registry(), mio::Token(0)).unwrap());
    let disk = start(store, Memory::open(&folder).0, wake).unwrap();
    let last = 3000;
    for number in 1..=last {
        disk.work.send(Work::Record(number, vec![1; 100])).unwrap();
    }
    let (mut synced, mut early) = (0, false);
    while synced < last {
        match disk.done.recv_timeout(LONG).expect("the disk goes on") {
            Done::Synced(number) => (synced, early) = (number, true),
            // With a write, while there is room: that one fails, here by being left out.
            Done::WantsCheckpoint if early => early = false,
            Done::WantsCheckpoint => {
                disk.work.send(Work::Checkpoint(vec![vec![1; 100]])).unwrap();
            }
        }
    }
    drop(disk);
    std::fs::remove_dir_all(&folder).unwrap();
}
