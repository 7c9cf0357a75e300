//! Words of supervisors on servers and tables, handed to the follower and to the home.

use crate::engine::Engine;
use crate::words::Word;
use fallgap_health::LightWord;
use fallgap_registry::RosterWord;
use std::net::Ipv4Addr;
use std::time::Duration;

impl Engine {
    /// A word on servers and tables.
    pub fn roster(&mut self, now: Duration, from: Ipv4Addr, word: RosterWord) {
        let word = match word {
            RosterWord::Told(line) => {
                return match RosterWord::read_told(&line, &self.roster_terms) {
                    Ok(told) => self.follower.told(now, from, told),
                    Err(odd) => tracing::info!("follower: {from} tells what cannot be read: {odd}"),
                };
            }
            RosterWord::Unfit => return self.follower.unfit(now, from),
            RosterWord::Fit => return self.follower.fit(now, from),
            RosterWord::Lease { question, knows, read_age } => {
                return self.follower.lease_answered(now, from, question, knows, read_age);
            }
            RosterWord::Holders { id, holders, age } => {
                return self.rollouts.holders(now, id, &holders, age);
            }
            // Verdicts and what they rest on come from keepers only.
            RosterWord::Lights(_) if !self.keepers().contains(&from) => return,
            RosterWord::Lights(LightWord::Told(verdicts)) => {
                self.quay.iter_mut().for_each(|quay| quay.verdicts(now, &verdicts));
                return;
            }
            word => word,
        };
        let Some(hub) = &mut self.hub else { return };
        let changed = match word {
            RosterWord::Beat(beat) => {
                let (server, late) = (beat.id.clone(), hub.registry.late_beats());
                let changed = hub.registry.beat(now, beat).is_change();
                if hub.registry.late_beats() > late && self.late_beats.may_tell(now) {
                    tracing::info!("roster: a beat of {server} comes after its end, and brings it not back");
                }
                changed
            }
            RosterWord::Left(server) => hub.registry.left(now, &server).is_change(),
            RosterWord::Join(line) => {
                self.links.drop_tables(from);
                let said = RosterWord::read_said(&line, &self.roster_terms);
                said.into_iter().for_each(|said| hub.distribution.joined(now, from, said));
                let held = hub.lights.joined(now);
                held.into_iter().for_each(|word| self.say(now, from, Word::Roster(RosterWord::Lights(word))));
                return;
            }
            RosterWord::Said(line) => {
                let said = RosterWord::read_said(&line, &self.roster_terms);
                said.into_iter().for_each(|said| hub.distribution.said(now, from, said));
                false
            }
            RosterWord::HoldersWanted { id, edition } => {
                hub.distribution.holders_wanted(now, from, id, edition);
                false
            }
            RosterWord::LeaseWanted(question) => {
                hub.distribution.lease_wanted(from, question);
                false
            }
            RosterWord::Leave => {
                self.links.drop_tables(from);
                hub.distribution.left(from);
                false
            }
            RosterWord::Report(reports) => {
                hub.distribution.reported(now, from, &reports);
                let peer = self.beacon.peers().find(|p| p.card.node == from);
                let own = (from == self.me).then_some(&self.settings.zone);
                if let Some(zone) = own.or(peer.map(|p| &p.card.zone)) {
                    let counts = reports.iter().map(|report| (&report.server, &report.kinds));
                    hub.lights.reported(now, from, zone, counts);
                }
                false
            }
            RosterWord::Lights(word) => {
                hub.lights.heard(now, from, word);
                false
            }
            word => hub.registry.heard(now, from, word),
        };
        if changed {
            hub.distribution.registry_changed(now, &hub.registry);
        }
    }
}
