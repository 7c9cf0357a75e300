//! What a deployment says of itself, read into the decisions' domain types: the settings object that the
//! simulator's first message and a daemon's configuration share, and the notes between supervisors.
//! Unknown keys are skipped; nothing is decided here.

mod notes;

use fallgap::{Admission, Aims, Channel, ColdTerms, Habits, Load, OpType, Peers, Repeats, Reporting, Retry};
use serde_json::Value;
use std::time::Duration;

pub use notes::{read_note, write_note};

/// Level that lets everything in where levels are ops a second.
const NO_LIMIT: f64 = 1e6;

/// Proxies have numbers below this on either wire.
const MOST_PROXIES: u32 = 65_536;

/// All that the settings tell, by part.
pub struct Deployment {
    pub habits: Habits,
    pub channel: Channel,
    pub cold: ColdTerms,
    pub reporting: Reporting,
    pub aims: Aims,
    pub peers: Peers,
    pub op_types: Vec<OpType>,
    pub op_names: Vec<String>,
    pub zones: Vec<String>,
    /// Names of a load report's figures, in the order of their row.
    pub load_fields: Vec<String>,
    /// Listed sizes are the servers' own, not ones that move with their load.
    pub sized: bool,
    /// The list comes only when asked for.
    pub ask_for_list: bool,
    /// This supervisor's number among all.
    pub number: u32,
    /// How many proxies there are, numbered from 0.
    pub proxies: u32,
    /// Least time between two moments of acting.
    pub pause: Duration,
}

impl Deployment {
    pub fn read(settings: &Value) -> Deployment {
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
        let rules = &settings["rules"];
        let telemetry = &settings["telemetry"];
        let mix = &settings["result_mix"];
        let part = |key: &str| mix[key].as_f64().unwrap_or(0.0);
        let home = list(&family["home_only"]);
        let classes = list(&settings["classes"]);
        let own_zone = |i: usize| home.get(i).and_then(Value::as_bool).unwrap_or(false);
        Deployment {
            habits: Habits { admission, usual_retry },
            channel: Channel {
                lines_per_s: family["push_rate"].as_f64().unwrap_or(1000.0),
                head: family["envelope"].as_f64().unwrap_or(0.0),
                backlog: family["backlog"].as_f64().unwrap_or(1000.0),
                messages_most: family["pushes_allowed"].as_u64().unwrap_or(0) as usize,
                messages_over: span(&family["update_window"]),
            },
            cold: ColdTerms { from: rules["cold_from"].as_f64().unwrap_or(1.0), over: span(&rules["cold"]) },
            reporting: Reporting {
                by_probe: telemetry["via"].as_str() == Some("pull"),
                probes_allowed: settings["caps"]["probes"].as_bool().unwrap_or(false),
                interval: span(&family["interval"]),
            },
            aims: Aims {
                worst_op_type: part("worst_class"),
                rest: part("whole") + part("worst_window") + part("worst_tenant") + part("nines"),
            },
            peers: Peers {
                others: settings["balancers"].as_u64().unwrap_or(1).saturating_sub(1) as usize,
                notes_allowed: settings["caps"]["peers"].as_bool().unwrap_or(false),
                by_zone: family["homed_by_zone"].as_bool().unwrap_or(true),
            },
            op_types: classes.iter().enumerate().map(|(i, class)| op_type(class, own_zone(i))).collect(),
            op_names: classes.iter().map(|c| c["name"].as_str().unwrap_or("").to_owned()).collect(),
            zones: names(&settings["zones"]),
            load_fields: names(&telemetry["fields"]),
            sized: settings["weights"].as_str() != Some("live"),
            ask_for_list: settings["discovery"].as_str() == Some("on_request"),
            number: settings["me"].as_u64().unwrap_or(0) as u32,
            proxies: family["agents"].as_u64().map_or(MOST_PROXIES, |n| n.min(MOST_PROXIES.into()) as u32),
            pause: span(&settings["period"]),
        }
    }
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

fn names(value: &Value) -> Vec<String> {
    list(value).iter().map(|name| name.as_str().unwrap_or("").to_owned()).collect()
}

fn list(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], |l| l)
}

fn span(value: &Value) -> Duration {
    value.as_f64().and_then(duration).unwrap_or_default()
}
