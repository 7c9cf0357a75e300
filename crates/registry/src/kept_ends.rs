//! Ends of servers that are on a majority of disks. A beat of such a server is late, whatever else this process knows of it: it may
//! have started after the end. Until it has been told which there are, it takes no server up by a beat alone.

use crate::lives::{Event, State, last_beat};
use crate::registry::{News, Registry};
use fallgap_config::Beat;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

#[derive(Default)]
pub(crate) struct KeptEnds {
    by_number: BTreeMap<u64, Arc<str>>,
    numbers: BTreeMap<Arc<str>, u64>,
    /// The newest number that was told.
    newest: u64,
    /// Beats that came after the ends of their servers.
    late_beats: u64,
    /// It has not been told yet: beats of servers that are not known, with the time at which each was heard.
    awaited: Option<BTreeMap<Arc<str>, (Duration, Beat)>>,
}

impl KeptEnds {
    fn contains(&self, server: &str) -> bool {
        self.numbers.contains_key(server)
    }

    pub(crate) fn is_awaited(&self) -> bool {
        self.awaited.is_some()
    }

    fn add(&mut self, number: u64, server: Arc<str>) {
        self.newest = self.newest.max(number);
        if let Some(before) = self.numbers.insert(server.clone(), number) {
            self.by_number.remove(&before);
        }
        self.by_number.insert(number, server);
    }

    fn drop_below(&mut self, least: u64) {
        while let Some(first) = self.by_number.first_entry().filter(|first| *first.key() < least) {
            let server = first.remove();
            self.numbers.remove(&server);
        }
    }
}

impl Registry {
    /// Which servers ended before this process started will be told: until then servers that it does not know wait.
    pub fn await_ends(&mut self) {
        self.kept_ends.awaited = Some(BTreeMap::new());
    }

    /// Whether it waits to be told which servers ended before this process started.
    pub fn awaits_ends(&self) -> bool {
        self.kept_ends.is_awaited()
    }

    /// How many ended servers it knows from disks.
    pub fn ends_known(&self) -> usize {
        self.kept_ends.by_number.len()
    }

    /// Beats that came after the ends of their servers, and brought none back.
    pub fn late_beats(&self) -> u64 {
        self.kept_ends.late_beats
    }

    /// Whether a beat comes after the end of its server.
    pub(crate) fn comes_late(&mut self, beat: &Beat) -> bool {
        let late = self.kept_ends.contains(&beat.id);
        self.kept_ends.late_beats += u64::from(late && !beat.closing);
        late
    }

    /// The highest number of an end that it was told.
    pub fn newest_end(&self) -> u64 {
        self.kept_ends.newest
    }

    /// Ends that are on a majority of disks, those with numbers above [`newest_end`](Registry::newest_end); below `least` none
    /// is kept any more. Tells whether servers to route to have changed.
    pub fn ended(
        &mut self, now: Duration, ended: impl IntoIterator<Item = (u64, Arc<str>)>, least: u64,
    ) -> bool {
        let mut changed = false;
        for (number, server) in ended {
            changed |= self.ends(now, &server);
            self.kept_ends.add(number, server);
        }
        self.kept_ends.drop_below(least);
        changed
    }

    /// One that is not known counts as closing from now on: followers may have it from a home of before.
    fn ends(&mut self, now: Duration, server: &Arc<str>) -> bool {
        if self.lives.contains_key(server) || self.lives.len() >= self.terms.servers {
            return self.turn(now, server, Event::BeatClosing);
        }
        self.add(now, last_beat(server.clone()), now, now, State::Closing);
        true
    }

    /// All ends of before the start were told: servers that waited for that are taken up, but for those that were silent since.
    pub fn ends_are_told(&mut self, now: Duration) -> bool {
        let silent = self.terms.silent();
        let mut changed = false;
        for (heard, beat) in self.kept_ends.awaited.take().into_iter().flat_map(BTreeMap::into_values) {
            if now < heard + silent {
                changed |= self.heard_of(now, beat, heard, heard).is_change();
            }
        }
        changed
    }

    /// Whether a beat waits until this process is told which servers have ended.
    pub(crate) fn waits_for_ends(&mut self, now: Duration, beat: &Beat) -> Option<News> {
        let known = self.lives.contains_key(&beat.id);
        let most = self.terms.servers;
        let awaited = self.kept_ends.awaited.as_mut().filter(|_| !beat.closing && !known)?;
        let newer = awaited.get(&beat.id).is_none_or(|(_, held)| held.postmark < beat.postmark);
        if !newer {
            return Some(News::Late);
        }
        if awaited.len() >= most && !awaited.contains_key(&beat.id) {
            return Some(News::Refused);
        }
        awaited.insert(beat.id.clone(), (now, beat.clone()));
        Some(News::Same)
    }
}
