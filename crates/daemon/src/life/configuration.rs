//! What a supervisor is told before it starts: the file that `NODE_CONFIG` names. The other variables repeat
//! what is in it and stand in where it is silent.

use crate::kept::links::Addresses;
use crate::kept::rows::{self, List};
use fallgap_operator::{Fault, Installation};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;

#[derive(Debug)]
pub struct Told {
    pub name: String,
    pub listen: SocketAddr,
    /// What may change while it runs.
    pub to: Addresses,
    pub seed: u64,
    /// What the machine grants, where that is told.
    pub memory_mb: Option<u64>,
    pub sockets: Option<u64>,
    pub peer_listen: Option<SocketAddr>,
    /// The list as it was held last; it may be old.
    pub known: Option<List>,
    pub settings: Value,
}

impl Told {
    /// What another one names otherwise and only a restart can change.
    pub fn fixed_unlike(&self, other: &Told) -> Vec<&'static str> {
        let unlike = [
            ("\"name\"", self.name != other.name),
            ("\"listen\"", self.listen != other.listen),
            ("\"peer_listen\"", self.peer_listen != other.peer_listen),
            ("\"limits\"", (self.memory_mb, self.sockets) != (other.memory_mb, other.sockets)),
            ("\"settings\"", self.settings != other.settings),
        ];
        unlike.into_iter().filter(|(_, unlike)| *unlike).map(|(name, _)| name).collect()
    }
}

/// Reads it all, or tells in plain words what is missing.
pub fn read() -> Result<Told, String> {
    let path = std::env::var("NODE_CONFIG").map_err(|_| "the variable NODE_CONFIG is not set".to_owned())?;
    let text = std::fs::read(&path).map_err(|e| format!("cannot read {path}: {e}"))?;
    parse(&text, |name| std::env::var(name).ok()).map_err(|e| format!("{path}: {e}"))
}

/// What the operator's file switches on, if one is named; else the lines that tell what is wrong with it.
pub fn installed(file: Option<&Path>) -> Result<Installation, Vec<String>> {
    let Some(file) = file else { return Ok(Installation::default()) };
    let named = file.display();
    let text = std::fs::read_to_string(file).map_err(|e| vec![format!("cannot read {named}: {e}")])?;
    let told = |faults: Vec<Fault>| faults.iter().map(|fault| format!("{named}:{fault}")).collect();
    fallgap_operator::read(&text).map_err(told)
}

pub fn parse(text: &[u8], variable: impl Fn(&str) -> Option<String>) -> Result<Told, String> {
    let all: Value = serde_json::from_slice(text).map_err(|e| format!("not JSON: {e}"))?;
    let text = |value: &Value, name: &str| value.as_str().map(str::to_owned).or_else(|| variable(name));
    let needed = |value: &Value, key: &str, name: &str| {
        let text = text(value, name).ok_or_else(|| format!("no address \"{key}\""))?;
        text.parse::<SocketAddr>().map_err(|e| format!("\"{key}\": {text:?}: {e}"))
    };
    let address = |value: &Value| value.as_str().and_then(|a| a.parse::<SocketAddr>().ok());
    let settings = all["settings"].clone();
    if !settings.is_object() {
        return Err("no object \"settings\"".into());
    }
    needed_settings(&settings)?;
    let seed = all["seed"].as_str().and_then(|s| u64::from_str_radix(s, 16).ok());
    Ok(Told {
        name: text(&all["name"], "NODE_NAME").unwrap_or_else(|| "fallgap".into()),
        listen: needed(&all["listen"], "listen", "NODE_LISTEN")?,
        to: Addresses {
            discovery: needed(&all["discovery"], "discovery", "NODE_DISCOVERY")?,
            relay: needed(&all["store"]["address"], "store.address", "")?,
            peers: all["peers"].as_array().map(|p| p.iter().map(address).collect()).unwrap_or_default(),
            peers_all: address(&all["peers_all"]),
        },
        seed: seed.or(all["seed"].as_u64()).unwrap_or(0),
        memory_mb: all["limits"]["memory_mb"].as_u64(),
        sockets: all["limits"]["sockets"].as_u64(),
        peer_listen: address(&all["peer_listen"]),
        known: rows::list_of(&all["known"]).ok(),
        settings,
    })
}

/// What nothing can stand in for: guessed zones or op types would order tables for another fleet.
fn needed_settings(settings: &Value) -> Result<(), String> {
    let named = |list: &Value| list.as_array().is_some_and(|list| !list.is_empty());
    for (key, list) in [("zones", &settings["zones"]), ("classes", &settings["classes"])] {
        if !named(list) {
            return Err(format!("\"settings.{key}\": expected a list with at least one entry"));
        }
    }
    for key in ["push_rate", "backlog"] {
        let value = &settings["family_info"][key];
        if !value.as_f64().is_some_and(|lines| lines > 0.0) {
            return Err(format!(
                "\"settings.family_info.{key}\": expected a number of lines above 0, not {value}"
            ));
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    const WHOLE: &str = r#"{"name":"n3","listen":"127.0.0.4:8443","discovery":"127.2.0.1:8500",
        "seed":"8c1f30d27a5be964","limits":{"cores":1.0,"sockets":64},
        "store":{"address":"127.2.0.2:6400"},"peers":["?","127.3.0.1:7946"],
        "known":{"version":41,"full":true,"servers":[{"id":"s-1","zone":"a","state":"ready"}]},"settings":{"zones":["a"],
        "classes":[{"name":"lookup"}],"family_info":{"push_rate":100,"backlog":200}}}"#;

    #[test]
    fn tells_what_is_missing() {
        let told = parse(WHOLE.as_bytes(), |_| None).unwrap();
        assert_eq!((told.name.as_str(), told.seed), ("n3", 0x8c1f_30d2_7a5b_e964));
        assert_eq!((told.memory_mb, told.sockets), (None, Some(64)));
        assert_eq!(told.to.peers, [None, Some("127.3.0.1:7946".parse().unwrap())], "numbers are places");
        assert_eq!(told.known.map(|k| (k.version, k.rows.len())), Some((41, 1)));
        let without = |part: &str| parse(WHOLE.replace(part, "\"other\"").as_bytes(), |_| None).unwrap_err();
        assert_eq!(without("\"settings\""), "no object \"settings\"");
        assert_eq!(without("\"store\""), "no address \"store.address\"");
        assert!(parse(b"{", |_| None).is_err());
        let why = without("\"zones\"");
        assert_eq!(why, "\"settings.zones\": expected a list with at least one entry");
        assert!(without("[{\"name\":\"lookup\"}]").starts_with("\"settings.classes\": expected"));
        assert!(without("200").ends_with("expected a number of lines above 0, not \"other\""));
    }

    #[test]
    fn variables_stand_in_for_a_silent_file() {
        let text = WHOLE.replace("\"listen\"", "\"other\"");
        let told = parse(text.as_bytes(), |v| (v == "NODE_LISTEN").then(|| "127.0.0.9:1".into())).unwrap();
        assert_eq!(told.listen.to_string(), "127.0.0.9:1");
    }
}
