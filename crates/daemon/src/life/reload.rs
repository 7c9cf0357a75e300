//! A new configuration while serving: its addresses are taken on, and all outgoing links follow.

use crate::kept::desk::Desk;
use crate::life::configuration::{self, Told};
use crate::life::signals::Listened;
use crate::spoken::client;
use std::rc::Rc;

/// Reads the configuration again at each hangup. One that cannot be read changes nothing: the process serves
/// on with what it has.
pub async fn follow(desk: Rc<Desk>, mut hangups: Listened, held: Told) {
    loop {
        hangups.came().await;
        match configuration::read() {
            Ok(told) => {
                desk.counters.one("reloads");
                let fixed = held.fixed_unlike(&told);
                if told.to != desk.links.now().to {
                    let (discovery, relay) = (told.to.discovery, told.to.relay);
                    log::info!("new configuration: discovery {discovery}, relay {relay}");
                    desk.links.lead(told.to, client::client(&desk.limits));
                } else {
                    log::info!("new configuration: the same addresses");
                }
                if !fixed.is_empty() {
                    log::warn!("new configuration: needs a restart to change {}", fixed.join(", "));
                }
            }
            Err(why) => {
                desk.counters.one("reloads_failed");
                log::error!("new configuration not taken, the old one stays: {why}");
            }
        }
    }
}
