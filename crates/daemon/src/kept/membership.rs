//! What is heard of servers comes together here, whoever says it, and goes to the decisions by one path.

use fallgap::Listed;
use fallgap_operator::{Installation, Service};
use fallgap_sources::{Outside, SourceId, Sources, Terms};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, watch};

/// What the sources tell on, until it is taken.
#[derive(Default)]
pub struct Told {
    pub entries: Vec<Listed>,
    /// Sources that are to be asked again, and when.
    pub again: Vec<(SourceId, Duration)>,
    pub held: usize,
}

impl Outside for Told {
    fn listed(&mut self, entry: Listed) {
        self.entries.push(entry);
    }
    fn ask_again(&mut self, source: SourceId, at: Duration) {
        self.again.push((source, at));
    }
    fn removal_held(&mut self, source: &str, missing: usize, open: usize) {
        self.held += 1;
        tracing::warn!(
            source,
            missing,
            open,
            "removal held: {source} lacks {missing} of {open} open servers"
        );
    }
    fn removal_settled(&mut self, source: &str, removed: usize, open: usize) {
        tracing::info!(source, removed, open, "removal settled: {source} takes away {removed} of {open}");
    }
    fn source_failing(&mut self, source: &str, named: usize) {
        tracing::warn!(source, named, "source fails: {source}; its {named} servers stand for the hold");
    }
    fn source_back(&mut self, source: &str, after: Duration) {
        let seconds = after.as_secs_f64();
        tracing::info!(source, seconds, "source is back: {source} after {seconds:.1} s");
    }
    fn last_resort(&mut self, on: bool, servers: usize) {
        if on {
            tracing::error!(
                servers,
                "last resort on: no server is open by the rule, {servers} doubtful ones are"
            );
        } else {
            tracing::info!(servers, "last resort off: {servers} doubtful servers are closed again");
        }
    }
    fn refused(&mut self, source: &str, server: &str) {
        tracing::warn!(source, server, "server not taken: as many are known as may be");
    }
}

/// Which sources there are, and what they have said.
pub struct Membership {
    pub sources: RefCell<Sources<Told>>,
    /// The platform's list, and whether it counts.
    discovery: (SourceId, Cell<bool>),
    /// By the name of the service.
    services: RefCell<BTreeMap<String, SourceId>>,
    /// What is switched on; followed by whoever asks name servers.
    pub installed: watch::Sender<Rc<Installation>>,
    /// Rung when a look at the sources is due sooner than before.
    pub looks: Notify,
    /// When discovery is to be asked for the whole list.
    pub whole_list: watch::Sender<Option<Duration>>,
    /// When which service is to be asked for.
    pub asks: watch::Sender<Vec<(SourceId, Duration)>>,
}

/// Where nothing else is switched on the platform's list is believed in all it says.
fn terms(installation: &Installation) -> Terms {
    match (&installation.membership, &installation.dns) {
        (Some(membership), _) => membership.terms.clone(),
        (None, Some(_)) => Terms::default(),
        (None, None) => Terms::one_believed_source(),
    }
}

fn list_counts(installation: &Installation) -> bool {
    installation.membership.as_ref().is_none_or(|membership| membership.discovery)
}

impl Membership {
    pub fn start(installation: Installation) -> Membership {
        let mut sources = Sources::start(Told::default(), terms(&installation));
        let discovery = (sources.open("discovery", true), Cell::new(list_counts(&installation)));
        let names: Vec<String> = installation.services().map(|service| service.name.clone()).collect();
        let services = names.into_iter().map(|name| {
            let source = sources.open(&name, false);
            (name, source)
        });
        let services = RefCell::new(services.collect());
        Membership {
            services,
            sources: RefCell::new(sources),
            discovery,
            installed: watch::Sender::new(Rc::new(installation)),
            looks: Notify::new(),
            whole_list: watch::Sender::new(None),
            asks: watch::Sender::new(Vec::new()),
        }
    }

    /// The platform's list, if it counts.
    pub fn discovery(&self) -> Option<SourceId> {
        self.discovery.1.get().then_some(self.discovery.0)
    }

    pub fn service(&self, service: &Service) -> Option<SourceId> {
        self.services.borrow().get(&service.name).copied()
    }

    /// Whether addresses tell anything: only names of other sources are matched by them.
    pub fn by_address(&self) -> bool {
        !self.services.borrow().is_empty()
    }

    /// Another file is in force: sources that it does not name are given up, new ones opened.
    pub fn install(&self, now: Duration, installation: Installation) {
        let mut sources = self.sources.borrow_mut();
        let mut services = self.services.borrow_mut();
        sources.change_terms(now, terms(&installation));
        let counts = list_counts(&installation);
        if self.discovery.1.replace(counts) && !counts {
            sources.close(now, self.discovery.0);
        }
        services.retain(|name, source| {
            let kept = installation.services().any(|service| service.name == *name);
            if !kept {
                sources.close(now, *source);
            }
            kept
        });
        for service in installation.services() {
            services.entry(service.name.clone()).or_insert_with(|| sources.open(&service.name, false));
        }
        // Rows that did not count, or were read without their addresses, are read again.
        self.whole_list.send_replace(Some(now));
        self.installed.send_replace(Rc::new(installation));
    }
}
