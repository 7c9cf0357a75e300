//! What a deployment says of itself, read into the decisions' domain types: the settings object that the
//! simulator's first message and a daemon's configuration share, and the notes between supervisors. Each
//! part's few are read by a function of their own. Unknown keys are skipped; nothing is decided here.

mod notes;

use fallgap::{
    Admission, Aims, Channel, ColdTerms, Habits, Load, OpType, Peers, Repeats, Reporting, Retry, ServerState,
};
use serde_json::Value;
use std::time::Duration;

pub use notes::{read_note, write_note};

/// Level that lets everything in where levels are ops a second.
const NO_LIMIT: f64 = 1e6;

/// Proxies have numbers below this on either wire.
pub const MOST_PROXIES: u32 = 65_536;

pub fn habits(settings: &Value) -> Habits {
    let family = &settings["family_info"];
    let admission = match family["admission"].as_str() {
        Some("rate") => Admission::Rate,
        Some("silent") => Admission::Silent,
        _ => Admission::Share,
    };
    let usual_retry = match family["base_mode"].as_u64() {
        Some(0) => Retry::Never,
        Some(2) => Retry::Once,
        Some(3) => Retry::Twice,
        _ => Retry::Unsent,
    };
    Habits { admission, usual_retry }
}

pub fn channel(settings: &Value) -> Channel {
    let family = &settings["family_info"];
    Channel {
        lines_per_s: family["push_rate"].as_f64().unwrap_or(1000.0),
        head: family["envelope"].as_f64().unwrap_or(0.0),
        backlog: family["backlog"].as_f64().unwrap_or(1000.0),
        messages_most: family["pushes_allowed"].as_u64().unwrap_or(0) as usize,
        messages_over: span(&family["update_window"]),
    }
}

pub fn cold_terms(settings: &Value) -> ColdTerms {
    let rules = &settings["rules"];
    ColdTerms { from: rules["cold_from"].as_f64().unwrap_or(1.0), over: span(&rules["cold"]) }
}

pub fn reporting(settings: &Value) -> Reporting {
    Reporting {
        by_probe: settings["telemetry"]["via"].as_str() == Some("pull"),
        probes_allowed: settings["caps"]["probes"].as_bool().unwrap_or(false),
        interval: span(&settings["family_info"]["interval"]),
    }
}

pub fn aims(settings: &Value) -> Aims {
    let part = |key: &str| settings["result_mix"][key].as_f64().unwrap_or(0.0);
    let rest = part("whole") + part("worst_window") + part("worst_tenant") + part("nines");
    Aims { worst_op_type: part("worst_class"), rest }
}

pub fn peers(settings: &Value) -> Peers {
    Peers {
        others: settings["balancers"].as_u64().unwrap_or(1).saturating_sub(1) as usize,
        notes_allowed: settings["caps"]["peers"].as_bool().unwrap_or(false),
        by_zone: settings["family_info"]["homed_by_zone"].as_bool().unwrap_or(true),
    }
}

pub fn op_types(settings: &Value) -> Vec<OpType> {
    let home = list(&settings["family_info"]["home_only"]);
    let own_zone = |i: usize| home.get(i).and_then(Value::as_bool).unwrap_or(false);
    let classes = list(&settings["classes"]).iter().enumerate();
    classes.map(|(i, class)| op_type(class, own_zone(i))).collect()
}

pub fn op_names(settings: &Value) -> Vec<String> {
    list(&settings["classes"]).iter().map(|class| word(&class["name"])).collect()
}

pub fn zones(settings: &Value) -> Vec<String> {
    list(&settings["zones"]).iter().map(word).collect()
}

/// Names of a load report's figures, in the order of their row.
pub fn load_fields(settings: &Value) -> Vec<String> {
    list(&settings["telemetry"]["fields"]).iter().map(word).collect()
}

/// Whether listed sizes are the servers' own, not ones that move with their load.
pub fn sized(settings: &Value) -> bool {
    settings["weights"].as_str() != Some("live")
}

/// Whether the list comes only when asked for.
pub fn ask_for_list(settings: &Value) -> bool {
    settings["discovery"].as_str() == Some("on_request")
}

/// This supervisor's number among all.
pub fn number(settings: &Value) -> u32 {
    settings["me"].as_u64().unwrap_or(0) as u32
}

/// How many proxies there are, numbered from 0.
pub fn proxies(settings: &Value) -> u32 {
    settings["family_info"]["agents"].as_u64().map_or(MOST_PROXIES, |n| n.min(MOST_PROXIES.into()) as u32)
}

/// Least time between two moments of acting.
pub fn pause(settings: &Value) -> Duration {
    span(&settings["period"])
}

/// A load report, given what finds a figure by the name the settings use.
pub fn load(figure: impl Fn(&str) -> Option<f64>) -> Load {
    let (active, waiting) = (figure("active"), figure("waiting"));
    Load { active, waiting, busy: figure("cpu"), service_ms: figure("avg_ms") }
}

/// How both wires number the ways of trying again.
pub fn retry_number(retry: Retry) -> u8 {
    match retry {
        Retry::Never => 0,
        Retry::Unsent => 1,
        Retry::Once => 2,
        Retry::Twice => 3,
    }
}

/// A level as both wires write it: they know no infinity.
pub fn level_number(level: f64) -> f64 {
    level.min(NO_LIMIT)
}

/// What a list entry's state says, in the words of both wires.
pub fn server_state(word: &str) -> ServerState {
    match word {
        "ready" => ServerState::Ready,
        "gone" => ServerState::Gone,
        _ => ServerState::Draining,
    }
}

/// When a list entry says that its server last started; 0 and what is no time stand for long ago.
pub fn started(ms: f64) -> Option<Duration> {
    duration(ms).filter(|at| !at.is_zero())
}

/// A time of either wire: milliseconds, of which microseconds count.
pub fn duration(ms: f64) -> Option<Duration> {
    (ms.is_finite() && (0.0..1e15).contains(&ms)).then(|| Duration::from_micros((ms * 1e3).round() as u64))
}

fn op_type(class: &Value, own_zone: bool) -> OpType {
    OpType {
        value: class["worth"].as_f64().unwrap_or(1.0),
        target_latency: span(&class["aim"]),
        op_timeout: span(&class["deadline"]),
        repeats: match class["idempotency"].as_str() {
            Some("retryable") => Repeats::Retryable,
            Some("dedup") => Repeats::Deduplicated {
                everywhere: class["dedup_scope"].as_str().is_none_or(|s| s == "all"),
                window: span(&class["window"]),
            },
            _ => Repeats::OnceOnly,
        },
        own_zone,
    }
}

fn word(value: &Value) -> String {
    value.as_str().unwrap_or("").to_owned()
}

fn list(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], |l| l)
}

fn span(value: &Value) -> Duration {
    value.as_f64().and_then(duration).unwrap_or_default()
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against settings read as their opposite: an op type taken for one that may run again, say.
    #[test]
    fn settings_are_read_part_by_part() {
        let all: Value = serde_json::from_str(include_str!("../../../examples/configuration.json")).unwrap();
        let settings = &all["settings"];
        let [read, write] = &op_types(settings)[..] else { panic!("two op types") };
        assert_eq!((read.repeats, write.repeats), (Repeats::Retryable, Repeats::OnceOnly));
        assert!(write.value == 4.0 && write.op_timeout == Duration::from_secs(3) && !write.own_zone);
        assert_eq!(
            (op_names(settings), zones(settings)[1].as_str()),
            (vec!["read".into(), "write".into()], "south")
        );
        assert_eq!(
            (habits(settings).admission, habits(settings).usual_retry),
            (Admission::Rate, Retry::Unsent)
        );
        assert_eq!((channel(settings).backlog, channel(settings).messages_most), (4000.0, 0));
        assert_eq!((cold_terms(settings).from, cold_terms(settings).over), (0.2, Duration::from_secs(10)));
        assert!(aims(settings).worst_op_type == 0.1 && (aims(settings).rest - 0.9).abs() < 1e-9);
        assert!(peers(settings).others == 0 && !peers(settings).notes_allowed && !ask_for_list(settings));
        assert_eq!((proxies(settings), pause(settings)), (4, Duration::from_millis(4)));
        // What is not told leaves nothing dangerous: once-only ops, no notes, no probes.
        let silent = serde_json::json!({ "classes": [{}] });
        assert_eq!(op_types(&silent)[0].repeats, Repeats::OnceOnly);
        assert!(!peers(&silent).notes_allowed && !reporting(&silent).probes_allowed);
    }
}
