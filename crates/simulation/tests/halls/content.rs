//! What is put into force in the halls.

use super::{Call, MS};
use fallgap_config::{Configuration, Licences, Limits, Route, RouteClass, Service};
use std::sync::Arc;

pub(super) fn configuration(edition: u64, revision: u64) -> Arc<Configuration> {
    let route = Route {
        name: "r".into(),
        depot: "a.example".into(),
        lane_prefix: "/a/".into(),
        class: RouteClass::Safe,
        timeout: 1000 * MS,
        target: 300 * MS,
        priority: 1,
        sorting: vec![("shop".into(), 1.0)],
        attempts: 2,
        is_open: false,
    };
    let service =
        Service { name: "shop".into(), health_path: "/health".into(), line_cap: 64, dedupes: false };
    let limits = Limits { header_bytes: 16384, body_bytes: 1 << 20, header: 3000 * MS, idle: 15_000 * MS };
    let licences = Licences { revision, accounts: Vec::new(), offices: Vec::new(), owners: vec![None] };
    let licences = (revision > 0).then(|| Arc::new(licences));
    Arc::new(Configuration {
        edition,
        routes: vec![route],
        services: vec![service],
        limits,
        customers: None,
        licences,
    })
}

/// A body begins with its edition.
pub fn put(edition: u64) -> Call {
    Call::ConfigPut { edition, body: edition.to_be_bytes().to_vec() }
}
