//! The figures of the rules that are in force, as the settings name them.

use crate::document::{Field, duration};
use crate::fault::{Faults, What};
use crate::terms::TERMS;
use sonic_rs::JsonValueTrait;
use std::time::Duration;

/// What the settings leave out has the figure that is usual.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    pub seed_lag: Duration,
    pub reuse_after: Duration,
    pub touch: Duration,
    pub ack: Duration,
    pub catch_up: Duration,
    pub drain: Duration,
    pub grace: Duration,
    pub lost: Duration,
    pub config: Duration,
    pub back: Duration,
    pub outer: Duration,
    pub retry_window: Duration,
    pub recover: Duration,
    pub history: Duration,
    pub release: Duration,
    /// A key that was taken away is in force nowhere after that.
    pub revoke: Duration,
    /// Requests with the same idempotency key count as one operation for so long.
    pub stamp_window: Duration,
    /// Over any span of that length a customer's requests stay inside its quota.
    pub quota_window: Duration,
    pub retry_ratio: f64,
    pub retry_slack: f64,
    /// The part of a quota by which it may be overrun, and requests besides.
    pub quota_excess: f64,
    pub quota_slack: f64,
    /// Whether `revoke` binds.
    pub revoked: bool,
}

impl Default for Bounds {
    fn default() -> Self {
        let ms = Duration::from_millis;
        Bounds {
            seed_lag: ms(3000),
            reuse_after: ms(2000),
            touch: ms(3000),
            ack: ms(5000),
            catch_up: ms(4000),
            drain: ms(2500),
            grace: ms(6000),
            lost: ms(200),
            config: ms(2500),
            back: ms(250),
            outer: ms(8000),
            retry_window: ms(10_000),
            recover: ms(15_000),
            history: ms(20_000),
            release: ms(1500),
            revoke: ms(5000),
            stamp_window: ms(60_000),
            quota_window: ms(5000),
            retry_ratio: 0.2,
            retry_slack: 64.0,
            quota_excess: 0.1,
            quota_slack: 20.0,
            revoked: false,
        }
    }
}

/// A bound's place and its kind.
enum Slot<'b> {
    Time(&'b mut Duration),
    Figure(&'b mut f64),
    Flag(&'b mut bool),
}

impl Bounds {
    fn slot(&mut self, name: &str) -> Option<Slot<'_>> {
        Some(match name {
            "seed_lag_s" => Slot::Time(&mut self.seed_lag),
            "reuse_after_s" => Slot::Time(&mut self.reuse_after),
            "touch_s" => Slot::Time(&mut self.touch),
            "ack_s" => Slot::Time(&mut self.ack),
            "catch_up_s" => Slot::Time(&mut self.catch_up),
            "drain_s" => Slot::Time(&mut self.drain),
            "grace_s" => Slot::Time(&mut self.grace),
            "lost_s" => Slot::Time(&mut self.lost),
            "config_s" => Slot::Time(&mut self.config),
            "back_s" => Slot::Time(&mut self.back),
            "outer_s" => Slot::Time(&mut self.outer),
            "retry_window_s" => Slot::Time(&mut self.retry_window),
            "recover_s" => Slot::Time(&mut self.recover),
            "history_s" => Slot::Time(&mut self.history),
            "release_s" => Slot::Time(&mut self.release),
            "revoke_s" => Slot::Time(&mut self.revoke),
            "stamp_window_s" => Slot::Time(&mut self.stamp_window),
            "quota_window_s" => Slot::Time(&mut self.quota_window),
            "quota_excess" => Slot::Figure(&mut self.quota_excess),
            "quota_slack" => Slot::Figure(&mut self.quota_slack),
            "revoked" => Slot::Flag(&mut self.revoked),
            "retry_ratio" => Slot::Figure(&mut self.retry_ratio),
            "retry_slack" => Slot::Figure(&mut self.retry_slack),
            _ => return None,
        })
    }

    /// One `name=value`. A name that is not known is passed over, whatever its value. What was expected, if the value is not fit.
    fn take(&mut self, text: &str) -> Result<(), &'static str> {
        let (name, value) = text.split_once('=').unwrap_or((text, ""));
        let Some(slot) = self.slot(name.trim()) else { return Ok(()) };
        let value = value.trim();
        let number = value.parse::<f64>().ok().filter(|n| n.is_finite() && *n >= 0.0);
        match (slot, number) {
            (Slot::Time(time), Some(number)) => *time = duration(number).unwrap_or(TERMS.longest),
            (Slot::Figure(figure), Some(number)) => *figure = number,
            (Slot::Flag(flag), _) => *flag = value.parse().map_err(|_| "a name with true or false")?,
            (_, None) => return Err("a name with a number from 0 on"),
        }
        Ok(())
    }
}

/// A list of `name=value` texts, or one text with commas between them.
pub(crate) fn read_bounds(field: &Field<'_, '_>, faults: &mut Faults) -> Bounds {
    let mut bounds = Bounds::default();
    if field.value.as_ref().is_some_and(|v| v.is_str()) {
        read_texts(field, &mut bounds, faults);
    } else {
        field.elements(faults, TERMS.zones, |faults, element| read_texts(&element, &mut bounds, faults));
    }
    bounds
}

fn read_texts(field: &Field<'_, '_>, bounds: &mut Bounds, faults: &mut Faults) {
    let Some(texts) = field.must(faults, "name=value", |v| v.as_str().map(str::to_owned)) else { return };
    for text in texts.split(',').filter(|text| !text.trim().is_empty()) {
        if let Err(expected) = bounds.take(text) {
            let found = text.trim().chars().take(80).collect();
            faults.add(&field.spot, What::Unexpected { expected, found });
        }
    }
}
