use super::*;

fn record(word: &str) -> Vec<Vec<u8>> {
    vec![word.as_bytes().to_vec()]
}

/// Writes with a disk that fails to sync.
fn fail(store: &mut Store, word: &str) {
    let mut log = store.log_to_write().unwrap();
    log.fails = true;
    store.state = State::Open(log);
    assert!(store.append(&record(word)).is_err());
}

#[test]
fn a_sync_that_fails_leaves_the_log_and_nothing_piles_up() {
    let dir = std::env::temp_dir().join(format!("keeper-sync-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    let (mut store, _) = Store::open(&dir, 64).unwrap();
    store.append(&record("a")).unwrap();
    for _ in 0..5 {
        fail(&mut store, "b");
    }
    store.append(&record("b")).unwrap();
    fail(&mut store, "c");
    store.append(&record("c")).unwrap();
    let found = files::list(&dir).unwrap();
    assert_eq!((found.logs.into_iter().collect::<Vec<_>>(), found.in_use.len()), (vec![1, 2], 1));
    // What was not acknowledged may be there besides.
    let (mut store, kept) = Store::open(&dir, 64).unwrap();
    assert_eq!(kept, ["a", "b", "b", "c", "c"].map(|word| word.as_bytes().to_vec()));
    // The name was changed before, and that it lasts was not known.
    store.append(&record("d")).unwrap();
    fail(&mut store, "e");
    std::fs::rename(dir.join(files::IN_USE), dir.join(files::log_name(4))).unwrap();
    store.append(&record("e")).unwrap();
    let (_, kept) = Store::open(&dir, 64).unwrap();
    assert_eq!(kept.last(), record("e").last());
    std::fs::remove_dir_all(&dir).unwrap();
}
