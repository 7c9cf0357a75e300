//! What a keeper holds beside the registers: all servers, and the tables of those that follow it; and when it can be
//! followed.

use crate::ends::{Ends, FOR_FOLLOWERS};
use crate::memory::{Notebook, Remembered, Subject};
use fallgap_config::Configuration;
use fallgap_control_state::subjects;
use fallgap_health::Lightlist;
use fallgap_registry::{Distribution, Fit, Fitness, Ground, Registry, Terms};
use fallgap_tenants::Ledger;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

/// For that part of the time after which a machine is in touch a keeper that was started serves with what its disk
/// remembers, though it has heard no majority yet: what it remembers was committed, and is at worst a little old.
const YOUNG: f64 = 2.0 / 3.0;
/// What was not read at a majority since the last contact with one is asked for again this often.
const READ_AGAIN: Duration = Duration::from_millis(150);
/// Out of contact for less, others have not acknowledged a server's end without this keeper: they wait for it for 2.2 s
/// (`unfollowed`), and it knows that it is out of contact after 1.6 s.
const MISSED: Duration = Duration::from_millis(500);

pub struct Hub {
    pub registry: Registry,
    pub distribution: Distribution,
    pub lights: Lightlist,
    /// Ends of servers of which other supervisors are to be told.
    pub ends: Ends,
    fitness: Fitness,
    fit: Fit,
    /// Whether the keeper was in contact with a majority when it was looked at last.
    contact: bool,
    /// Since when it is out of contact, and whether it was in contact in this life.
    out: Option<Duration>,
    met: bool,
    /// When a read is asked for next, if it is still wanted then.
    read_at: Duration,
    /// The newest configuration that is committed: its edition and what the operator sent.
    committed: Option<(u64, Arc<[u8]>)>,
    /// What the operator has, and the accounts whose routes are joined in.
    operator: Option<Arc<Configuration>>,
    ledger: Ledger,
    accounted: Option<(u64, Arc<[u8]>)>,
    servers: Notebook,
    configuration: Notebook,
    accounts: Notebook,
}

impl Hub {
    /// `touch`: after so long a machine that was started is in touch.
    pub fn start(
        now: Duration, me: Ipv4Addr, seed: u64, terms: Terms, touch: Duration, remembered: Remembered,
    ) -> Hub {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut hub = Hub {
            registry: Registry::start(now, rng.u64(..), terms),
            distribution: Distribution::start(now, rng.u64(..), terms),
            lights: Lightlist::new(now, me, fallgap_health::Terms::default()),
            ends: Ends::default(),
            fitness: Fitness::start(now + touch.mul_f64(YOUNG)),
            fit: Fit::No,
            contact: false,
            out: None,
            met: false,
            read_at: now,
            committed: None,
            operator: None,
            ledger: Ledger::default(),
            accounted: None,
            servers: Notebook::default(),
            configuration: Notebook::default(),
            accounts: Notebook::default(),
        };
        let count = remembered.servers.len();
        hub.registry.await_ends();
        hub.registry.remember(now, remembered.servers, now + touch.mul_f64(YOUNG));
        hub.distribution.registry_changed(now, &hub.registry);
        let accounts = remembered.accounts.as_deref().and_then(|bytes| Ledger::decode(bytes).ok());
        hub.ledger = accounts.unwrap_or_default();
        let body = remembered.configuration.as_deref().map(fallgap_config::read_configuration);
        if let Some(Ok(configuration)) = body {
            let edition = configuration.edition;
            tracing::info!("roster: edition {edition} and {count} servers are remembered");
            hub.operator = Some(Arc::new(configuration));
            hub.join(now);
        }
        hub.see_whether_fit(now, false, None, None);
        hub
    }

    /// A configuration is committed: the tables of all that follow this keeper are marked.
    pub fn committed(&mut self, now: Duration, configuration: Configuration, body: &[u8]) {
        if self.committed.as_ref().is_none_or(|(edition, _)| *edition < configuration.edition) {
            self.committed = Some((configuration.edition, body.into()));
        }
        if self.operator.as_ref().is_none_or(|held| held.edition <= configuration.edition) {
            self.operator = Some(Arc::new(configuration));
            self.join(now);
        }
    }

    /// A revision of the accounts is committed.
    pub fn accounted(&mut self, now: Duration, ledger: Ledger, body: &[u8]) {
        let revision = ledger.revision;
        if self.accounted.as_ref().is_none_or(|(held, _)| *held < revision) {
            self.accounted = Some((revision, body.into()));
        }
        if self.ledger.revision < revision {
            self.ledger = ledger;
            self.join(now);
        }
    }

    /// Ends of servers are committed.
    pub fn servers_ended(&mut self, now: Duration, value: &[u8]) {
        let Some(ends) = subjects::server_ends_after(value, self.registry.newest_end()) else {
            return tracing::error!("gateway: committed ends of servers cannot be read");
        };
        let (count, at_first) = (ends.ended.len(), self.registry.awaits_ends());
        let ended = ends.ended.into_iter().map(|(number, server)| (number, server.into()));
        let changed = self.registry.ended(now, ended, ends.least);
        if count > 0 && !at_first {
            let newest = self.registry.newest_end();
            tracing::info!(
                "roster: {count} servers have ended, up to number {newest}, on a majority of disks"
            );
        }
        if changed {
            self.distribution.registry_changed(now, &self.registry);
        }
    }

    /// The ends of servers were read at a majority, and all that were read have been handed in.
    pub fn ends_are_read(&mut self, now: Duration) {
        if self.registry.awaits_ends() {
            tracing::info!("roster: {} servers that ended are known from disks", self.registry.ends_known());
        }
        if self.registry.ends_are_told(now) {
            self.distribution.registry_changed(now, &self.registry);
        }
    }

    fn join(&mut self, now: Duration) {
        let Some(operator) = &self.operator else { return };
        let joined = match self.ledger.revision {
            0 => operator.clone(),
            _ => {
                let joined = fallgap_tenants::join(operator, &self.ledger);
                let unfit = joined.unfit.len();
                if unfit > 0 {
                    tracing::info!("licence: {unfit} routes of offices do not fit, and are not in force");
                }
                Arc::new(joined.configuration)
            }
        };
        self.distribution.set_configuration(now, joined);
    }

    /// Whether the keeper is in contact with a majority of the members. Out of it servers may close without this one.
    pub fn see_contact(&mut self, now: Duration, contact: bool, others: impl FnOnce() -> Vec<Ipv4Addr>) {
        if !contact {
            if self.met && self.out.is_none() {
                self.registry.alone();
                self.out = Some(now);
            }
        } else if let Some(since) = self.out.take() {
            self.registry.back(now, (now >= since + MISSED).then(others));
        }
        self.met |= contact;
    }

    /// Whether it can be followed, and confirms what it tells. `read`: when the newest read at a majority of all that it
    /// tells of began; `ends_read`: of the ends of servers alone.
    pub fn see_whether_fit(
        &mut self, now: Duration, contact: bool, read: Option<Duration>, ends_read: Option<Duration>,
    ) {
        let knows = self.distribution.has_configuration();
        self.contact = contact;
        // Nor may it be followed while servers that it lists may have closed.
        let contact = contact && !self.registry.doubts();
        self.fit = self.fitness.judge(now, Ground { contact, read, ends_read, knows });
        self.distribution.stands(now, self.fit);
    }

    /// What it tells was at a majority since it last came into contact with one.
    pub fn confirms(&self) -> bool {
        self.fit == Fit::Confirms
    }

    /// Whether the keeper is to read anew now: it came into contact with a majority, and has not read there since.
    pub fn wants_read(&mut self, now: Duration) -> bool {
        let wants = self.contact && !self.confirms() && now >= self.read_at;
        if wants {
            self.read_at = now + READ_AGAIN;
        }
        wants
    }

    /// Whether a server's beat can be acknowledged here: others hear of it, or soon will.
    pub fn takes_beats(&self, now: Duration) -> bool {
        self.contact || self.fitness.is_young(now)
    }

    /// A supervisor waits for the word that this keeper knows of a server's end.
    pub fn owe_end(&mut self, now: Duration, to: Ipv4Addr, id: u64, server: Arc<str>) {
        let since = self.distribution.told_out(&server);
        let until = since.map_or(now, |since| since + FOR_FOLLOWERS);
        self.ends.owe(to, id, server, until);
    }

    /// Who is to be told now that this keeper knows of an end, by which number.
    pub fn ends_due(&mut self, now: Duration) -> Vec<(Ipv4Addr, u64)> {
        let Hub { ends, distribution, .. } = self;
        if ends.next_wake().is_none() {
            return Vec::new();
        }
        let heard = distribution.ends_heard();
        ends.due(now, |server| distribution.is_heard(server, heard))
    }

    /// What is to be written to the disk now, to be remembered over a start.
    pub fn take_due(&mut self, now: Duration) -> Vec<(Subject, Vec<u8>)> {
        let mut due = Vec::new();
        let count = self.registry.count();
        if self.servers.is_due(now, count)
            && let Ok(bytes) = postcard::to_stdvec(&self.registry.to_remember(now))
        {
            self.servers.wrote(now, count, bytes.len());
            due.push((Subject::Servers, bytes));
        }
        if let Some((edition, body)) = &self.committed
            && self.configuration.is_due(now, *edition)
        {
            self.configuration.wrote(now, *edition, body.len());
            due.push((Subject::Configuration, body.to_vec()));
        }
        if let Some((revision, body)) = &self.accounted
            && self.accounts.is_due(now, *revision)
        {
            self.accounts.wrote(now, *revision, body.len());
            due.push((Subject::Accounts, body.to_vec()));
        }
        due
    }
}

#[cfg(test)]
#[path = "../tests/inner/hub.rs"]
mod tests;
