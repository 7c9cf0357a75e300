//! The view that a supervisor routes by, from what its homes sent over time.

use crate::distribution::{REMEMBERS, UNCONFIRMED, WARM};
use fallgap_config::{Berth, Configuration, View};
use fallgap_tables::{Content, Entry, Key};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

pub(crate) struct Views {
    /// Most ends that are remembered, and for how long. What is over is known by the home's own list only.
    most: usize,
    remember: Duration,
    configuration: Option<Arc<Configuration>>,
    /// The home's life that tables come from, by their epoch.
    epoch: u64,
    /// Servers of the home before this one, or of its life before this one: in use until this one knows what there
    /// is. Never those of a table in which a disk's memory may stand: the next home's says itself what is
    /// remembered, and for how long.
    earlier: Vec<Berth>,
    /// Until when they are used at most.
    earlier_until: Option<Duration>,
    /// Servers of the table that was built last.
    own: BTreeSet<Arc<str>>,
    /// The table that was built last may hold such servers.
    remembers: bool,
    /// Lives that ended, by when they may be forgotten.
    ended: BTreeMap<Arc<str>, Duration>,
    forget: Duration,
    newest: Option<Arc<View>>,
}

impl Views {
    pub(crate) fn new(most: usize, remember: Duration) -> Views {
        Views {
            most,
            remember,
            configuration: None,
            epoch: 0,
            earlier: Vec::new(),
            earlier_until: None,
            own: BTreeSet::new(),
            remembers: false,
            ended: BTreeMap::new(),
            forget: Duration::ZERO,
            newest: None,
        }
    }

    pub(crate) fn newest(&self) -> Option<&Arc<View>> {
        self.newest.as_ref()
    }
    pub(crate) fn edition(&self) -> Option<u64> {
        self.configuration.as_ref().map(|configuration| configuration.edition)
    }

    /// Servers have ended; tells whether that is news.
    pub(crate) fn ended<'a>(
        &mut self, now: Duration, servers: impl IntoIterator<Item = &'a Arc<str>>,
    ) -> bool {
        let until = now + self.remember;
        let mut news = false;
        for server in servers {
            if let Some(held) = self.ended.get_mut(server) {
                *held = until;
            } else if self.ended.len() < self.most {
                self.ended.insert(server.clone(), until);
                news = true;
            }
        }
        news
    }

    pub(crate) fn forget(&mut self, now: Duration) {
        if now >= self.forget {
            self.forget = now + self.remember / 4;
            self.ended.retain(|_, until| now < *until);
        }
    }

    /// The newest view without servers that have ended since; `None`: it has none of them.
    pub(crate) fn without_ended(&mut self) -> Option<Arc<View>> {
        let view = self.newest.as_ref()?;
        let ended = |berth: &&Berth| self.ended.contains_key(&berth.id);
        view.berths.iter().find(ended)?;
        let berths = view.berths.iter().filter(|berth| !ended(berth)).cloned().collect();
        self.replace(berths)
    }

    /// When servers of the home before are used no more, should that be so before this one knows all.
    pub(crate) fn next_wake(&self) -> Option<Duration> {
        self.earlier_until
    }

    /// The view without them, once that is due.
    pub(crate) fn without_earlier(&mut self, now: Duration) -> Option<Arc<View>> {
        self.earlier_until.take_if(|until| now >= *until)?;
        let earlier: BTreeSet<_> =
            std::mem::take(&mut self.earlier).into_iter().map(|berth| berth.id).collect();
        let view = self.newest.as_ref()?;
        let own = |berth: &&Berth| self.own.contains(&berth.id) || !earlier.contains(&berth.id);
        let berths = view.berths.iter().filter(own).cloned().collect();
        self.replace(berths)
    }

    /// The view of a home's table; `None`: nothing has changed. `unsure_until`: servers of the home before may have closed
    /// unheard, and are used until then.
    pub(crate) fn built(
        &mut self, epoch: u64, content: &Content, out: &BTreeSet<Arc<str>>, notes: bool,
        unsure_until: Option<Duration>,
    ) -> Option<Arc<View>> {
        if std::mem::replace(&mut self.epoch, epoch) != epoch && !self.remembers {
            self.earlier = self.newest.as_ref().map(|view| view.berths.clone()).unwrap_or_default();
            // What was unsure stays so from home to home.
            self.earlier_until = self.earlier_until.into_iter().chain(unsure_until).min();
        }
        if notes {
            self.configure(content);
        }
        let mut berths: Vec<Berth> = Vec::new();
        for (key, entry) in content.entries() {
            let (Key::Line(line), Entry::Part(part)) = (key, entry) else { continue };
            let berth = Berth::from_line(line, *part);
            berths.extend(
                berth.filter(|berth| !self.ended.contains_key(&berth.id) && !out.contains(&berth.id)),
            );
        }
        let says = |note: &str| content.get(&Key::Note(note.into())).is_some();
        self.remembers = says(REMEMBERS);
        if says(WARM) {
            (self.earlier, self.earlier_until) = (Vec::new(), None);
        }
        self.own = berths.iter().map(|berth| berth.id.clone()).collect();
        self.add_earlier(&mut berths);
        self.replace(berths)
    }

    /// The table's configuration, unless it is older than what is held.
    fn configure(&mut self, content: &Content) {
        let notes = content.entries().iter().filter_map(|(key, entry)| match (key, entry) {
            (Key::Note(name), Entry::Note(text)) if ![WARM, REMEMBERS, UNCONFIRMED].contains(&&**name) => {
                Some((&**name, &**text))
            }
            _ => None,
        });
        let Some(told) = Configuration::from_notes(notes) else { return };
        let held = self.configuration.as_ref();
        if held.is_none_or(|held| told.follows(held) && **held != told) {
            self.configuration = Some(Arc::new(told));
        }
    }

    /// Servers of the home before, as long as this one may not know them yet. Those at whose address there is
    /// another life by now are over.
    fn add_earlier(&self, berths: &mut Vec<Berth>) {
        if self.earlier.is_empty() {
            return;
        }
        let ids: BTreeSet<Arc<str>> = berths.iter().map(|berth| berth.id.clone()).collect();
        let addresses: BTreeSet<_> = berths.iter().map(|berth| berth.address).collect();
        let still = |berth: &&Berth| {
            !ids.contains(&berth.id)
                && !addresses.contains(&berth.address)
                && !self.ended.contains_key(&berth.id)
        };
        berths.extend(self.earlier.iter().filter(still).cloned());
        berths.sort_by(|a, b| a.id.cmp(&b.id));
    }

    fn replace(&mut self, berths: Vec<Berth>) -> Option<Arc<View>> {
        let configuration = self.configuration.clone()?;
        let same =
            |held: &Arc<View>| Arc::ptr_eq(&held.configuration, &configuration) && held.berths == berths;
        if self.newest.as_ref().is_some_and(same) {
            return None;
        }
        let view = Arc::new(View { configuration, berths });
        self.newest = Some(view.clone());
        Some(view)
    }
}
