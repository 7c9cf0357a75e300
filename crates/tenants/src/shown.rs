//! What accounts and offices are told, as JSON. Routes stand as in a configuration, so that what was read can be put.

use crate::changes::{Plan, Step};
use crate::joining::Joined;
use crate::ledger::{Account, Area, Ledger, Office, Place};
use fallgap_config::{Allowance, Route, RouteClass};
use std::fmt::Display;

const FIELDS: &str =
    r#"["name","depot","lane_prefix","route_class","timeout_s","target_s","priority","attempts","sorting"]"#;

fn quoted(text: &str) -> String {
    sonic_rs::to_string(text).unwrap_or_else(|_| "\"\"".into())
}

fn list<T>(items: impl IntoIterator<Item = T>, each: impl Fn(T) -> String) -> String {
    format!("[{}]", items.into_iter().map(each).collect::<Vec<_>>().join(","))
}

fn row(route: &Route) -> String {
    let sorting = list(&route.sorting, |(service, share)| {
        format!(r#"{{"service":{},"share":{share}}}"#, quoted(service))
    });
    let (name, depot, prefix) = (quoted(&route.name), quoted(&route.depot), quoted(&route.lane_prefix));
    let (timeout, target) = (route.timeout.as_secs_f64(), route.target.as_secs_f64());
    let Route { class, priority, attempts, .. } = route;
    let class = class.word();
    format!(r#"[{name},{depot},{prefix},"{class}",{timeout},{target},{priority},{attempts},{sorting}]"#)
}

fn at(depot: &str, prefix: &str) -> String {
    format!(r#""depot":{},"lane_prefix":{}"#, quoted(depot), quoted(prefix))
}

fn areas(areas: &[Area]) -> String {
    list(areas, |area| format!("{{{}}}", at(&area.depot, &area.prefix)))
}

/// Without end: null.
fn figure(value: impl Display + Into<f64> + Copy, end: f64) -> String {
    if value.into() >= end { "null".into() } else { value.to_string() }
}

fn limits(allowance: &Allowance) -> String {
    let count = |n: u32| figure(n, f64::from(u32::MAX));
    let rates = RouteClass::RATED.into_iter().zip(allowance.rates);
    let rates: Vec<String> =
        rates.map(|(class, rate)| format!(r#""{}":{}"#, class.word(), figure(rate, f64::INFINITY))).collect();
    format!(
        r#"{{"routes":{},"changes_a_minute":{},"requests_s":{{{}}},"at_work":{},"download_bytes_s":{}}}"#,
        count(allowance.routes),
        count(allowance.changes_a_minute),
        rates.join(","),
        count(allowance.at_work),
        figure(allowance.download_bytes, f64::INFINITY)
    )
}

/// An office as it sees itself: its routes, those of them that are not in force, its last changes, what it may do.
pub fn shown_office(name: &str, account: &Account, office: &Office, joined: &Joined) -> String {
    let unfit = joined.unfit.iter().filter(|(of, _, _)| of == name);
    let unfit = list(unfit, |(_, place, why)| {
        let why = list(why, |why| quoted(&why.to_string()));
        format!(r#"{{{},"why":{why}}}"#, at(&place.0, &place.1))
    });
    let changes = list(office.trail.iter().rev(), |entry| {
        let undoes = entry.undoes.map_or("null".into(), |edition| edition.to_string());
        let places = list(&entry.before, |(place, _)| format!("{{{}}}", at(&place.0, &place.1)));
        format!(
            r#"{{"edition":{},"base":{},"at":{},"key":{},"undoes":{undoes},"places":{places}}}"#,
            entry.edition,
            entry.base,
            entry.at,
            quoted(&entry.key)
        )
    });
    format!(
        r#"{{"office":{},"edition":{},"routes":{{"fields":{FIELDS},"entries":{}}},"unfit":{unfit},"changes":{changes},"areas":{},"classes":{},"services":{},"limits":{}}}"#,
        quoted(name),
        office.edition,
        list(&office.routes, row),
        areas(account.areas(&office.slice)),
        list(&account.grant.classes, |class| format!(r#""{}""#, class.word())),
        list(&account.grant.services, |(service, share)| {
            format!(r#"{{"service":{},"share":{share}}}"#, quoted(service))
        }),
        limits(&office.slice.allowance),
    )
}

/// All accounts with their offices, for the operator; of keys the first digits of their hashes.
pub fn shown_accounts(ledger: &Ledger, joined: &Joined) -> String {
    let accounts = list(&ledger.accounts, |(id, account)| {
        let offices = list(&account.offices, |(name, office)| {
            let keys = list(&office.slice.keys, |key| quoted(key.to_string().get(..8).unwrap_or_default()));
            let unfit = joined.unfit.iter().filter(|(of, _, _)| of == name).count();
            format!(
                r#"{{"id":{},"edition":{},"routes":{},"unfit":{unfit},"areas":{},"keys":{keys},"limits":{}}}"#,
                quoted(name),
                office.edition,
                office.routes.len(),
                areas(account.areas(&office.slice)),
                limits(&office.slice.allowance)
            )
        });
        format!(
            r#"{{"id":{},"edition":{},"areas":{},"limits":{},"offices":{offices}}}"#,
            quoted(id),
            account.edition,
            areas(&account.grant.areas),
            limits(&account.grant.allowance)
        )
    });
    format!(r#"{{"revision":{},"accounts":{accounts}}}"#, ledger.revision)
}

/// What a change would do.
pub fn shown_plan(plan: &Plan) -> String {
    let steps = list(&plan.steps, |step| match step {
        Step::Add(route) => format!(r#"{{"step":"add","to":{}}}"#, row(route)),
        Step::Alter(from, to) => format!(r#"{{"step":"alter","from":{},"to":{}}}"#, row(from), row(to)),
        Step::Remove(route) => format!(r#"{{"step":"remove","from":{}}}"#, row(route)),
    });
    format!(r#"{{"base":{},"fields":{FIELDS},"steps":{steps}}}"#, plan.base)
}

/// What has changed since the edition that a stale change started from.
pub fn shown_stale(edition: u64, changed: &[(Place, Option<Route>)]) -> String {
    let changed = list(changed, |(place, route)| {
        let now = route.as_ref().map_or("null".into(), row);
        format!(r#"{{{},"now":{now}}}"#, at(&place.0, &place.1))
    });
    format!(r#"{{"edition":{edition},"fields":{FIELDS},"changed":{changed}}}"#)
}
