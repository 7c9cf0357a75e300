//! Settings files, whole and faulty.

use fallgap_config::{Bounds, read_settings};
use std::path::PathBuf;
use std::time::Duration;

const SETTINGS: &str = include_str!("settings.json");

/// The settings with one text in place of another.
fn with(from: &str, to: &str) -> String {
    assert!(SETTINGS.contains(from), "{from}");
    SETTINGS.replacen(from, to, 1)
}

#[test]
fn a_whole_file_is_read() {
    let settings = read_settings(SETTINGS.as_bytes()).unwrap();
    assert!(settings.serves_clients && settings.serves_control && settings.first_start && settings.counted);
    assert_eq!(&*settings.node, "counter-halle-wattens-1");
    assert_eq!(settings.control, Some("10.1.0.10:8166".parse().unwrap()));
    assert_eq!(settings.inner_ports, (7720, 7735));
    assert_eq!(settings.seeds.len(), 3);
    assert_eq!(settings.data_dir, Some(PathBuf::from("/data/my-counter")));
    assert_eq!((settings.resources.memory_mb, settings.resources.disk_mb), (260, Some(64)));
    assert_eq!(settings.beat, Duration::from_millis(1500));
    let zones: Vec<&str> = settings.zones.iter().map(|(zone, _)| &**zone).collect();
    assert_eq!(zones, ["halle-wattens", "halle-hall", "halle-schwaz", "halle-imst"]);
    let expected = Bounds { seed_lag: Duration::from_secs(4), retry_ratio: 0.25, ..Bounds::default() };
    assert_eq!(settings.bounds, expected);
}

#[test]
fn what_may_be_left_out_has_its_usual_figure() {
    let least = r#"{"ip": "10.1.0.10", "zone": "a", "inner_ports": [7720, 7720], "serves": []}"#;
    let settings = read_settings(least.as_bytes()).unwrap();
    assert_eq!((&*settings.node, settings.front, settings.data_dir), ("10.1.0.10", None, None));
    assert_eq!((settings.bounds, settings.tolerate_machines), (Bounds::default(), 1));
    assert!(!settings.first_start && !settings.counted && !settings.serves_clients);

    let no_disk = read_settings(with(", \"disk_mb\": 64", "").as_bytes()).unwrap();
    assert_eq!(no_disk.resources.disk_mb, None);
    let no_seeds = with(r#"["10.1.0.10:8166", "10.2.0.40:8166", "10.3.0.7:8166"]"#, "[]");
    assert!(read_settings(no_seeds.as_bytes()).unwrap().seeds.is_empty());
    let at = SETTINGS.find("[\"seed_lag_s").unwrap();
    let end = at + SETTINGS[at..].find(']').unwrap() + 1;
    let one_line = format!("{}\"touch_s=4, drain_s=3\"{}", &SETTINGS[..at], &SETTINGS[end..]);
    let bounds = read_settings(one_line.as_bytes()).unwrap().bounds;
    assert_eq!((bounds.touch, bounds.drain), (Duration::from_secs(4), Duration::from_secs(3)));
}

#[test]
fn all_faults_are_told_at_once() {
    let faulty = r#"{"ip": "10.1.0", "zone": "", "inner_ports": [7735, 7720], "serves": ["counter", 4],
        "counters_at": {"front": "10.1.0.10", "ready": null}, "seeds": ["10.2.0.40:8166", "x"], "first_start": 1,
        "zones": {"a": "b", "c": 2}, "limits": {"cpu_share": 0}, "bounds": ["touch_s=-1", "ack_s", "new=?"],
        "tolerate": []}"#;
    insta::assert_snapshot!(read_settings(faulty.as_bytes()).unwrap_err(), @r#"
    /ip: expected an IPv4 address, found "10.1.0"
    /serves/1: expected what is served, found 4
    /zones/c: expected a name, found 2
    /tolerate: expected an object, found a list
    /zone: expected a name, found ""
    /counters_at/front: expected an address with a port, found "10.1.0.10"
    /counters_at/ready: missing; expected an address with a port
    /inner_ports: expected two ports, the first not above the second, found a list
    /seeds/1: expected an address with a port, found "x"
    /first_start: expected true or false, found 1
    /limits/cpu_share: expected a number above 0, found 0
    /bounds/0: expected a name with a number from 0 on, found touch_s=-1
    /bounds/1: expected a name with a number from 0 on, found ack_s
    "#);
}

#[test]
fn what_is_no_settings_file_is_told() {
    insta::assert_snapshot!(read_settings(b"[]").unwrap_err(), @"expected an object, found a list");
    insta::assert_snapshot!(read_settings(&SETTINGS.as_bytes()[..40]).unwrap_err(), @r#"cannot be read: Expected this character to be '"' or '}' at line 3 column 2"#);
    insta::assert_snapshot!(read_settings(format!("{SETTINGS}}}").as_bytes()).unwrap_err(), @"cannot be read: JSON has non-whitespace trailing characters after the value at line 25 column 1");
    insta::assert_snapshot!(read_settings(&[b'['; 1 << 20]).unwrap_err(), @"nested deeper than 32");
    insta::assert_snapshot!(read_settings(b"{\"ip\":\"\xff\"}").unwrap_err(), @"cannot be read: invalid utf-8 sequence of 1 bytes from index 7");
    insta::assert_snapshot!(read_settings(&[b' '; (1 << 20) + 1]).unwrap_err(), @"larger than 1048576 bytes");
}
