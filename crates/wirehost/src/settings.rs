//! The wire's settings object, read into the decisions' domain types. Unknown keys are skipped.

use crate::wire::{Orders, duration};
use fallgap::{
    Admission, Aims, Channel, ColdTerms, Director, Habits, OpType, Peers, Repeats, Reporting, Retry,
};
use serde_json::Value;
use std::time::Duration;

pub fn start(settings: &Value, now: Duration, seed: u64, host: Orders) -> Director<Orders> {
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
    let habits = Habits { admission, usual_retry };
    let channel = Channel {
        lines_per_s: family["push_rate"].as_f64().unwrap_or(1000.0),
        head: family["envelope"].as_f64().unwrap_or(0.0),
        backlog: family["backlog"].as_f64().unwrap_or(1000.0),
        messages_most: family["pushes_allowed"].as_u64().unwrap_or(0) as usize,
        messages_over: span(&family["update_window"]),
    };
    let rules = &settings["rules"];
    let cold = ColdTerms { from: rules["cold_from"].as_f64().unwrap_or(1.0), over: span(&rules["cold"]) };
    let telemetry = &settings["telemetry"];
    let reporting = Reporting {
        by_probe: telemetry["via"].as_str() == Some("pull"),
        probes_allowed: settings["caps"]["probes"].as_bool().unwrap_or(false),
        interval: span(&family["interval"]),
    };
    let mix = &settings["result_mix"];
    let part = |key: &str| mix[key].as_f64().unwrap_or(0.0);
    let aims = Aims {
        worst_op_type: part("worst_class"),
        rest: part("whole") + part("worst_window") + part("worst_tenant") + part("nines"),
    };
    let peers = Peers {
        others: settings["balancers"].as_u64().unwrap_or(1).saturating_sub(1) as usize,
        notes_allowed: settings["caps"]["peers"].as_bool().unwrap_or(false),
        by_zone: family["homed_by_zone"].as_bool().unwrap_or(true),
    };
    let home = list(&family["home_only"]);
    let op_types = list(&settings["classes"])
        .iter()
        .enumerate()
        .map(|(i, class)| op_type(class, home.get(i).and_then(Value::as_bool).unwrap_or(false)))
        .collect();
    let ask = settings["discovery"].as_str() == Some("on_request");
    Director::start(now, seed, host, op_types, habits, channel, cold, reporting, aims, peers, ask)
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

fn list(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], |l| l)
}

fn span(value: &Value) -> Duration {
    value.as_f64().and_then(duration).unwrap_or_default()
}
