//! Whether what is granted can serve the fleet that the settings describe: what cannot be served at all ends the
//! start, what will be slow is said, each with both numbers.

use crate::life::configuration::Told;
use fallgap::Channel;
use fallgap_deployment as deployment;

/// Collectors, the relay, discovery and the process's own: fewer descriptors serve nobody.
const SOCKETS: u64 = 16;
/// Bytes held for each proxy and server, and by the process itself, as measured (docs/measurements.md).
const PROXY: u64 = 8 << 10;
const SERVER: u64 = 1 << 10;
const PROCESS: u64 = 8 << 20;
/// Lines of a usual table.
const TABLE: f64 = 12.0;

/// What is too small but serves; or the first thing that serves nobody.
pub fn check(told: &Told) -> Result<Vec<String>, String> {
    let settings = &told.settings;
    let Channel { lines_per_s, head, backlog, .. } = deployment::channel(settings);
    let op_types = deployment::op_types(settings).len();
    let proxies = u64::from(deployment::proxies(settings));
    let servers = told.known.as_ref().map_or(0, |known| known.rows.len()) as u64;
    if let Some(sockets) = told.sockets.filter(|sockets| *sockets < SOCKETS) {
        return Err(format!("limits.sockets is {sockets}, and serving takes at least {SOCKETS}"));
    }
    // One line, one binding and the levels of each op type, in one message.
    let least = head + 3.0 + op_types as f64;
    if backlog < least {
        return Err(format!("family_info.backlog is {backlog} lines, and the smallest table takes {least}"));
    }
    let mut slow = Vec::new();
    let whole = proxies as f64 * (least + TABLE - 1.0);
    if proxies < u64::from(deployment::MOST_PROXIES) && whole > backlog {
        slow.push(format!(
            "family_info.backlog is {backlog} lines, and tables for all {proxies} proxies are about {whole}: \
             joining at once they wait {:.1} s",
            whole / lines_per_s
        ));
    }
    let bytes = PROCESS + proxies.min(4096) * PROXY + servers * SERVER;
    if let Some(memory) = told.memory_mb.filter(|mb| mb << 20 < bytes) {
        slow.push(format!("limits.memory_mb is {memory}, and this fleet may take {}", bytes >> 20));
    }
    Ok(slow)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::life::configuration::parse;
    use serde_json::{Value, json};

    fn told(change: impl FnOnce(&mut Value)) -> Told {
        let example = include_str!("../../../../examples/configuration.json");
        let mut all: Value = serde_json::from_str(example).unwrap();
        change(&mut all);
        parse(all.to_string().as_bytes(), |_| None).unwrap()
    }

    /// Guards against a supervisor that starts, holds its proxies and can send them nothing.
    #[test]
    fn what_serves_nobody_is_refused_with_both_numbers() {
        assert_eq!(check(&told(|_| {})), Ok(vec![]));
        let refused = check(&told(|all| all["settings"]["family_info"]["backlog"] = json!(5.0)));
        assert!(refused.as_ref().is_err_and(|why| why.contains("is 5 lines") && why.contains("takes ")));
        let refused = check(&told(|all| all["limits"]["sockets"] = json!(9)));
        assert_eq!(refused, Err("limits.sockets is 9, and serving takes at least 16".into()));
    }

    /// Guards against a refusal where a slow start serves: the operators are told, and it starts.
    #[test]
    fn what_is_tight_is_said_and_starts() {
        let tight = check(&told(|all| {
            all["limits"]["memory_mb"] = json!(16);
            all["settings"]["family_info"]["agents"] = json!(2400);
            all["settings"]["family_info"]["backlog"] = json!(9000.0);
        }));
        let lines = tight.unwrap();
        assert!(lines.len() == 2 && lines[0].contains("9000 lines") && lines[0].contains("2400 proxies"));
        assert!(lines[1].contains("is 16, and this fleet may take 26"), "{}", lines[1]);
    }
}
