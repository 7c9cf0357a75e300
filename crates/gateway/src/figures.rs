//! A supervisor's own figures as text: a line each, a name and a number, in the plain exposition format that common
//! collectors read.

use crate::engine::Engine;
use crate::turns::{Activity, TurnTimes};
use fallgap_proxy::Counters;
use std::fmt::Write;
use std::time::Duration;

/// What all names begin with.
const PREFIX: &str = "fallgap_";

/// Lines of figures.
#[derive(Debug, Default)]
pub struct Figures {
    text: String,
}

impl Figures {
    /// One that only rises while the process runs.
    pub fn total(&mut self, name: &str, value: u64) {
        // Writing to memory does not fail.
        let _ = writeln!(self.text, "{PREFIX}{name}_total {value}");
    }

    /// One that is so now.
    pub fn now(&mut self, name: &str, value: f64) {
        let _ = writeln!(self.text, "{PREFIX}{name} {value}");
    }

    pub fn into_text(self) -> String {
        self.text
    }

    /// What has become of clients' requests since the start.
    pub fn requests(&mut self, counters: &Counters) {
        let Counters {
            accepted,
            requests,
            passed,
            malformed,
            no_route,
            not_run,
            unknown,
            late,
            sent,
            extras,
            hedges,
            sheds,
            void,
            too_long,
            lines,
            unreached,
            pressed,
            doubted,
            behind,
            laden,
            abandoned,
            closed_early,
            unheard,
            no_key,
            keys_lapsed,
            over_quota,
            operations_repeated,
            operations_unknown,
        } = *counters;
        let totals = [
            ("client_connections", accepted),
            ("requests", requests),
            ("answers_passed", passed),
            ("requests_malformed", malformed),
            ("requests_no_route", no_route),
            ("requests_not_run", not_run),
            ("requests_unknown", unknown),
            ("requests_late", late),
            ("tries", sent),
            ("tries_further", extras),
            ("tries_hedged", hedges),
            ("answers_turned_away", sheds),
            ("answers_void", void),
            ("answers_too_long", too_long),
            ("server_connections", lines),
            ("server_connections_failed", unreached),
            ("requests_pressed", pressed),
            ("requests_doubted", doubted),
            ("requests_behind", behind),
            ("requests_link_laden", laden),
            ("clients_broke_early", abandoned),
            ("clients_closed_early", closed_early),
            ("answers_unheard", unheard),
            ("requests_without_key", no_key),
            ("requests_keys_lapsed", keys_lapsed),
            ("requests_over_quota", over_quota),
            ("operations_repeated", operations_repeated),
            ("operations_unknown", operations_unknown),
        ];
        totals.into_iter().for_each(|(name, value)| self.total(name, value));
    }

    /// The longest times of turns of the event loop.
    pub fn turns(&mut self, longest: &TurnTimes) {
        self.now("loop_turn_longest_seconds", longest.whole.as_secs_f64());
        for activity in Activity::ALL {
            let name = format!("loop_{}_longest_seconds", activity.name());
            self.now(&name, longest.on(activity).as_secs_f64());
        }
    }
}

impl Engine {
    /// This supervisor's figures.
    pub fn figures(&self, now: Duration) -> String {
        let mut figures = Figures::default();
        let quay = self.quay.as_ref();
        figures.requests(&quay.map(|quay| quay.counters()).unwrap_or_default());
        let (clients, servers) = quay.map_or((0, 0), |quay| quay.connections());
        let yes = |so: bool| f64::from(u8::from(so));
        let view = self.view.as_deref();
        let states = [
            ("requests_at_work", quay.map_or(0, |quay| quay.at_work()) as f64),
            ("bytes_held", quay.map_or(0, |quay| quay.held()) as f64),
            ("client_connections_open", clients as f64),
            ("server_connections_open", servers as f64),
            ("edition", view.map_or(0, |view| view.configuration.edition) as f64),
            ("accounts_revision", view.map_or(0, |view| view.configuration.revision()) as f64),
            ("servers", view.map_or(0, |view| view.berths.len()) as f64),
            ("supervisors", self.beacon.here() as f64),
            ("table_age_seconds", self.follower.age(now).map_or(-1.0, |age| age.as_secs_f64())),
            ("view_age_seconds", now.saturating_sub(self.follower.view_times(now).known).as_secs_f64()),
            ("has_home", yes(self.follower.home().is_some())),
            ("epoch", self.keeper.epoch() as f64),
            ("keeper", yes(self.keeper.is_member())),
            ("keeper_in_contact", yes(self.keeper.in_contact(now))),
            ("calls_under_way", self.calls.under_way() as f64),
            ("leaving", yes(self.leaving.is_some())),
        ];
        states.into_iter().for_each(|(name, value)| figures.now(name, value));
        if let Some(hub) = &self.hub {
            figures.now("servers_ended", hub.registry.ends_known() as f64);
            figures.total("late_beats", hub.registry.late_beats());
            figures.total("ends_told_unheard", hub.ends.told_unheard());
        }
        let held = quay.map(|quay| quay.admission_held()).unwrap_or_default();
        let names =
            ["quota_tokens_held", "requests_wait_for_quota", "operations_kept", "operation_answer_bytes"];
        names.into_iter().zip(held).for_each(|(name, value)| figures.now(name, value as f64));
        figures.now("quota_parts", self.quotas.parts_held(now) as f64);
        figures.now("claims_held", self.keeper.claims_held() as f64);
        figures.total("editions_acknowledged_early", self.acknowledged_early);
        figures.now("disk_wait_seconds", self.keeper.disk_wait(now).as_secs_f64());
        figures.now("majority_wait_seconds", self.keeper.majority_sync(now).as_secs_f64());
        figures.turns(&self.turns.longest());
        figures.into_text()
    }
}
