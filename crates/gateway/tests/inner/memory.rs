use super::*;

#[test]
fn the_newest_whole_file_counts() {
    let folder = std::env::temp_dir().join(format!("gateway-memory-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let open = || Kept::open(&folder, "servers");
    let held = || open().1.map(|bytes| String::from_utf8(bytes).unwrap());
    assert_eq!(held(), None);
    let (mut kept, _) = open();
    for content in ["a", "ab", "abc"] {
        kept.write(content.as_bytes()).unwrap();
        assert_eq!(held().as_deref(), Some(content));
    }
    // The third is torn: the second is still there, and the next writing spares it.
    let path = folder.join("servers.1");
    let bytes = std::fs::read(&path).unwrap();
    std::fs::write(&path, &bytes[..bytes.len() - 1]).unwrap();
    assert_eq!(held().as_deref(), Some("ab"));
    let (mut kept, _) = open();
    kept.write(b"d").unwrap();
    assert_eq!(held().as_deref(), Some("d"));
    let whole = std::fs::read(folder.join("servers.0")).unwrap();
    assert_eq!(&whole[16..], b"ab");
    std::fs::write(folder.join("servers.0"), b"").unwrap();
    std::fs::write(folder.join("servers.1"), [0; 100]).unwrap();
    assert_eq!(held(), None);
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn changes_are_written_with_pauses() {
    let mut notebook = Notebook::default();
    let s = Duration::from_secs;
    assert!(!notebook.is_due(s(9), 0));
    assert!(notebook.is_due(s(9), 5));
    notebook.wrote(s(9), 5, 10_000);
    assert!(!notebook.is_due(s(11), 5));
    assert!(!notebook.is_due(s(9) + s(1) / 2, 6));
    assert!(notebook.is_due(s(10), 6));
    notebook.wrote(s(10), 6, 1_600_000);
    assert!(!notebook.is_due(s(15), 7));
    assert!(notebook.is_due(s(20), 7));
}
