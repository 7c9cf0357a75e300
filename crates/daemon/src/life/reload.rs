//! A new configuration while serving: its addresses are taken on, and all outgoing links follow.

use crate::kept::desk::Desk;
use crate::life::configuration::{self, Told};
use crate::life::signals::Listened;
use crate::spoken::client;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// Reads the configuration again at each hangup. One that cannot be read changes nothing: the process serves
/// on with what it has.
pub async fn follow(desk: Rc<Desk>, mut hangups: Listened, held: Told, operator: Option<PathBuf>) {
    loop {
        hangups.came().await;
        if operator.is_some() {
            install(&desk, operator.as_deref());
        }
        match configuration::read() {
            Ok(told) => {
                desk.counters.one("reloads");
                let fixed = held.fixed_unlike(&told);
                if told.to != desk.links.now().to {
                    let (discovery, relay) = (told.to.discovery, told.to.relay);
                    tracing::info!("new configuration: discovery {discovery}, relay {relay}");
                    desk.links.lead(told.to, client::client(&desk.limits));
                } else {
                    tracing::info!("new configuration: the same addresses");
                }
                if !fixed.is_empty() {
                    tracing::warn!("new configuration: needs a restart to change {}", fixed.join(", "));
                }
            }
            Err(why) => {
                desk.counters.one("reloads_failed");
                tracing::error!("new configuration not taken, the old one stays: {why}");
            }
        }
    }
}

/// The operator's file again: it is taken whole, or not at all.
fn install(desk: &Desk, operator: Option<&Path>) {
    match configuration::installed(operator) {
        Ok(installation) if installation == **desk.membership.installed.borrow() => {
            tracing::info!("operator's file: the same");
        }
        Ok(installation) => {
            let services = installation.services().count();
            tracing::info!(services, "operator's file: taken, {services} services from DNS");
            desk.membership.install(desk.clock.now(), installation);
            // What follows from other terms and sources is told on.
            desk.sources(|sources, now| sources.woke(now));
        }
        Err(faults) => {
            desk.counters.one("operator_files_failed");
            faults.iter().for_each(|fault| tracing::error!("{fault}"));
            tracing::error!(faults = faults.len(), "operator's file not taken, the old one stays");
        }
    }
}
