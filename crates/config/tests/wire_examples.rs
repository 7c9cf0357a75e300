//! Own copies of what the deployments send: each field is understood, or is on a list that says why it is passed over. A field
//! is understood if another name in its place is refused, or gives something else.

use fallgap_config::{Configuration, Settings, read_configuration, read_settings};

const CONFIGURATIONS: [&str; 2] = [include_str!("configuration.json"), include_str!("shared.json")];
const SETTINGS: [&str; 2] = [include_str!("settings.json"), include_str!("shared_settings.json")];

/// Columns that nothing rests on: every deployment speaks plain HTTP/1.1 ("h1", false).
const COLUMNS_PASSED_OVER: [&str; 2] = ["protocol", "sealed"];
/// Settings that nothing rests on.
const SETTINGS_PASSED_OVER: [(&str, &str); 10] = [
    ("role", "`serves` says what a process does"),
    ("machine_class", "`limits` says what a machine bears"),
    ("region", "distances are measured"),
    ("regions", "only machines are to be borne lost"),
    ("cores", "`cpu_share` and one thread say it"),
    ("cpu_share", "nothing is sized by it"),
    ("contracts", "each part is on where the configuration names it"),
    ("discovery", "servers beat, in every deployment"),
    ("entry", "clients come to `front`, in every deployment"),
    ("mode", "the highest edition holds, in every deployment"),
];

/// Some examples have the usual figures, and no other name would make a difference: here they are others.
const UNUSUAL: [(&str, &str); 13] = [
    ("/health", "/h"),
    ("16384", "16000"),
    ("67108864", "1000000"),
    ("\"header_s\": 3", "\"header_s\": 4"),
    ("\"idle_s\": 15", "\"idle_s\": 16"),
    ("\"beat_s\": 1.5", "\"beat_s\": 0.7"),
    ("\"machines\": 2", "\"machines\": 3"),
    ("\"machines\": 1", "\"machines\": 3"),
    ("\"cores\": 1", "\"cores\": 3"),
    ("\"memory_mb\": 160", "\"memory_mb\": 161"),
    ("\"file_handles\": 4100", "\"file_handles\": 4000"),
    ("\"disk_mb\": 64", "\"disk_mb\": 65"),
    ("\"link_mbps\": 100", "\"link_mbps\": 99"),
];

fn unusual(body: &str) -> String {
    UNUSUAL.iter().fold(body.to_owned(), |body, (usual, other)| body.replace(usual, other))
}

/// Texts that stand before a colon, each once.
fn keys(body: &str) -> Vec<&str> {
    let quoted: Vec<(usize, &str)> = body.match_indices('"').collect();
    let mut keys: Vec<&str> = quoted
        .chunks_exact(2)
        .filter(|pair| body[pair[1].0 + 1..].trim_start().starts_with(':'))
        .map(|pair| &body[pair[0].0 + 1..pair[1].0])
        .collect();
    keys.sort_unstable();
    keys.dedup();
    keys
}

/// The names of the columns of all tables.
fn columns(body: &str) -> Vec<&str> {
    let tables = body.match_indices("\"fields\"").filter_map(|(at, _)| body[at..].split(['[', ']']).nth(1));
    tables.flat_map(|list| list.split(',')).map(|name| name.trim().trim_matches('"')).collect()
}

/// Whether one kind of name stands for another everywhere without any difference.
fn is_passed_over<T: PartialEq>(body: &str, name: &str, read: impl Fn(&str) -> Option<T>) -> bool {
    let other = body.replace(&format!("\"{name}\""), &format!("\"other_{name}\""));
    read(&other).is_some_and(|other| read(body).is_some_and(|whole| whole == other))
}

fn configuration(body: &str) -> Option<Configuration> {
    read_configuration(body.as_bytes()).ok()
}

fn settings(body: &str) -> Option<Settings> {
    read_settings(body.as_bytes()).ok()
}

#[test]
fn every_field_of_a_configuration_is_understood() {
    for body in CONFIGURATIONS.map(unusual) {
        let body = &body;
        assert!(configuration(body).is_some());
        for name in columns(body).into_iter().chain(keys(body)) {
            let told = COLUMNS_PASSED_OVER.contains(&name);
            assert!(told || !is_passed_over(body, name, configuration), "{name} is passed over");
        }
    }
}

#[test]
fn every_setting_is_understood_or_told() {
    for body in SETTINGS.map(unusual) {
        let body = &body;
        assert!(settings(body).is_some());
        for name in keys(body) {
            let told = SETTINGS_PASSED_OVER.iter().any(|(passed_over, _)| *passed_over == name);
            assert!(told || !is_passed_over(body, name, settings), "{name} is passed over");
        }
    }
}

#[test]
fn every_bound_is_understood() {
    let body = include_str!("shared_settings.json");
    let list =
        body.split("\"bounds\"").nth(1).and_then(|rest| rest.split(['[', ']']).nth(1)).expect("a list");
    let bounds: Vec<&str> = list.split(',').map(|text| text.trim().trim_matches('"')).collect();
    assert!(bounds.len() >= 20, "{bounds:?}");
    for bound in bounds {
        let (name, _) = bound.split_once('=').expect("name=value");
        let other = if name == "revoked" { "revoked=false".to_owned() } else { format!("{name}=977") };
        let changed = body.replace(&format!("\"{bound}\""), &format!("\"{other}\""));
        assert_ne!(
            settings(body).map(|read| read.bounds),
            settings(&changed).map(|read| read.bounds),
            "{name}"
        );
    }
}
