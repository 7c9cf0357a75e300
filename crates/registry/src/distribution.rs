//! A home: builds the table that all supervisors route by that follow it, and feeds it to each. There is one table for
//! all of them: what each holds of it, by version, and what is under way to it is the feed's. The pace, the differences
//! and the withdrawals are the feed's and the tables', too; here it is said when the table is built, and of what.

use crate::NodeId;
use crate::differences::differences;
use crate::fitness::Fit;
use crate::holders::Holders;
use crate::lives::State;
use crate::messages::{Knows, LeaseQuestion, ServerReport};
use crate::packing::Line;
use crate::registry::Registry;
use crate::sending::{SHARED, Sending, receiver_of, table_of};
use crate::servers::Servers;
use crate::terms::Terms;
use fallgap_config::Configuration;
use fallgap_feed::wire::{Said, Told};
use fallgap_feed::{Feed, Limits};
use fallgap_tables::{Entry, Kept, Key, Tables, Withdrawals};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// The note by which a home says that it knows the servers that there are.
pub(crate) const WARM: &str = "home/warm";
/// The note by which a home says that what it tells may be old: nothing is confirmed by it.
pub(crate) const UNCONFIRMED: &str = "home/unconfirmed";
/// The note by which a home says that some of its servers it has from its disk only: no other home's table is to be
/// filled up with them.
pub(crate) const REMEMBERS: &str = "home/remembers";

#[derive(Clone, Debug, PartialEq)]
pub enum Out {
    Tell(NodeId, Told),
    /// This home cannot be followed now.
    Unfit(NodeId),
    /// It can be followed again: to those that it sent away of late.
    Fit(NodeId),
    /// Followers of this home that hold an edition, to whoever asked.
    Holders {
        to: NodeId,
        id: u64,
        holders: Vec<NodeId>,
        age: Option<Duration>,
    },
    /// What this home knows, to a follower that asked.
    Lease {
        to: NodeId,
        question: LeaseQuestion,
        knows: Knows,
    },
    /// For the log.
    Note(String),
}

struct Following {
    /// When it is looked at whether it is still there.
    look: Duration,
    said: Duration,
}

/// What is new in a table that was built.
enum Built {
    /// The configuration, which is told before weights are.
    Configuration,
    Lines,
}

pub struct Distribution {
    terms: Terms,
    pub(crate) tables: Tables,
    pub(crate) feed: Feed<Sending>,
    withdrawals: Withdrawals,
    /// Servers withdrawn, since when and with which sequence.
    closed: BTreeMap<Arc<str>, (Duration, u64)>,
    servers: Servers,
    /// The registry's count up to which it was taken in.
    seen: u64,
    warm: bool,
    remembers: bool,
    configuration: Option<Arc<Configuration>>,
    /// The part of a table that is notes, and how often it changed.
    notes: BTreeMap<Key, Entry>,
    notes_count: u64,
    /// The count of notes that the table was built of.
    built_notes: u64,
    followers: BTreeMap<NodeId, Following>,
    /// When the table is built, if there is something new for it: changes are gathered a little.
    build: Option<Duration>,
    /// When it is built in any case.
    rebuild: Duration,
    looks: BTreeSet<(Duration, NodeId)>,
    step: Duration,
    rise: Option<Duration>,
    fit: bool,
    confirms: bool,
    /// Followers that were sent away as unfit, and when.
    sent_away: BTreeMap<NodeId, Duration>,
    /// Supervisors that prefer this home, and whether they have heard from it since it is fit.
    preferred_by: BTreeMap<NodeId, bool>,
    pub(crate) holders: Holders,
    /// The version of the table that brought the newest notes.
    notes_version: u64,
    pub(crate) out: Vec<Out>,
    rng: fastrand::Rng,
}

impl Distribution {
    /// `seed`: drawn anew at each start, since it names the tables' epoch.
    pub fn start(now: Duration, seed: u64, terms: Terms) -> Distribution {
        let mut rng = fastrand::Rng::with_seed(seed);
        let limits = Limits {
            receivers: terms.followers,
            lines_a_second: terms.bytes_a_second,
            head: terms.head_bytes,
            answer: terms.answer,
            answer_line: terms.answer_line,
            answer_most: terms.answer_most,
            urgent: terms.urgent,
            word: terms.word,
        };
        let kept = Kept { versions: terms.versions, bytes: terms.history, age: terms.remember };
        let epoch = rng.u64(1..);
        let step = now + terms.rebuild.mul_f64(1.0 + rng.f64());
        let rebuild = now + terms.rebuild.mul_f64(1.0 + rng.f64());
        let mut tables = Tables::start(epoch, kept);
        // Nothing is a table, too.
        tables.set(SHARED, Key::Line("".into()), None);
        tables.seal(now, SHARED);
        Distribution {
            tables,
            feed: Feed::start(Sending::default(), limits, rng.u64(..)),
            terms,
            withdrawals: Withdrawals::default(),
            closed: BTreeMap::new(),
            servers: Servers::default(),
            seen: 0,
            warm: false,
            remembers: false,
            configuration: None,
            notes: BTreeMap::new(),
            notes_count: 1,
            built_notes: 0,
            followers: BTreeMap::new(),
            build: None,
            rebuild,
            looks: BTreeSet::new(),
            step,
            rise: None,
            fit: true,
            confirms: true,
            sent_away: BTreeMap::new(),
            preferred_by: BTreeMap::new(),
            holders: Holders::default(),
            notes_version: 0,
            out: Vec::new(),
            rng,
        }
    }

    /// A follower comes, with what it holds.
    pub fn joined(&mut self, now: Duration, follower: NodeId, said: Said) {
        let known = self.followers.contains_key(&follower);
        let full = !known && self.followers.len() >= self.terms.followers;
        if !self.fit || full || said.table != table_of(follower) {
            self.send_away(now, follower);
            return;
        }
        if !known {
            let look = now + self.terms.rebuild.mul_f64(1.0 + self.rng.f64());
            self.looks.insert((look, follower));
            self.followers.insert(follower, Following { look, said: now });
            let count = self.followers.len();
            self.out.push(Out::Note(format!("roster: {follower} follows this home, {count} do")));
        }
        self.heard(now, follower);
        // What waits to be gathered it gets with the others; what there is, it gets now.
        if self.tables.version(SHARED).is_none_or(|version| version.number == 0) {
            self.build = Some(now);
            self.build_due(now);
        }
        let id = receiver_of(follower);
        self.feed.joined(now, id, SHARED, said.holds, said.heard, &self.tables, &self.withdrawals);
    }

    /// Supervisors that prefer this home to others. While it is fit it speaks first to each that is new: by the time that
    /// a follower's asking has come, the stream back to it stands, and on a full link that is a way there and back less.
    pub fn preferred_by(&mut self, nodes: Vec<NodeId>) {
        let held = std::mem::take(&mut self.preferred_by);
        let told =
            |node: &NodeId| held.get(node).copied().unwrap_or(false) || self.followers.contains_key(node);
        self.preferred_by = nodes.into_iter().map(|node| (node, told(&node))).collect();
        self.speak_first();
    }

    fn speak_first(&mut self) {
        if !self.fit {
            return;
        }
        for (node, told) in &mut self.preferred_by {
            if !std::mem::replace(told, true) {
                self.out.push(Out::Fit(*node));
            }
        }
    }

    /// A follower says what it holds now. One that is not known is one that this home forgot; one that has not heard
    /// of this home's withdrawals has begun anew, and its joining went astray.
    pub fn said(&mut self, now: Duration, follower: NodeId, said: Said) {
        if !self.followers.contains_key(&follower) || said.heard.0 != self.tables.epoch() {
            return self.joined(now, follower, said);
        }
        self.heard(now, follower);
        let id = receiver_of(follower);
        if said.rejected {
            self.feed.rejected(now, id, said.holds, said.heard, &self.tables);
        } else {
            self.feed.answered(now, id, said.holds, said.heard, &self.tables);
        }
        self.answer_questions(now);
    }

    /// A follower is gone, or follows another home.
    pub fn left(&mut self, follower: NodeId) {
        if let Some(held) = self.followers.remove(&follower) {
            self.looks.remove(&(held.look, follower));
            self.feed.left(receiver_of(follower));
        }
    }

    /// What followers saw of servers since their last report.
    pub fn reported(&mut self, now: Duration, follower: NodeId, reports: &[ServerReport]) {
        if self.followers.contains_key(&follower) {
            self.heard(now, follower);
            reports.iter().for_each(|report| self.servers.reported(report));
        }
    }

    /// A configuration was committed, or read from a majority. An older one than is held changes nothing.
    pub fn set_configuration(&mut self, now: Duration, configuration: Arc<Configuration>) {
        let held = self.configuration.as_ref();
        if held.is_some_and(|held| !configuration.follows(held) || **held == *configuration) {
            return;
        }
        self.configuration = Some(configuration);
        self.renote();
        self.build = Some(now);
        self.build_due(now);
    }

    /// Servers have changed, or the registry has become warm.
    pub fn registry_changed(&mut self, now: Duration, registry: &Registry) {
        let withdrawn = self.withdrawals.sequence();
        let before = self.seen;
        for life in registry.changed_after(before) {
            let id = &life.beat.id;
            match life.state {
                State::Open => self.servers.put(life),
                State::Lost | State::Closing | State::Gone => self.servers.remove(id),
            }
            if life.state.is_final()
                && let Some(told) = self.withdrawals.tell(id, true)
            {
                self.closed.insert(id.clone(), (now, told.sequence));
            }
        }
        self.seen = registry.count();
        if self.withdrawals.sequence() != withdrawn {
            self.feed.withdrawn(now, &self.tables, &self.withdrawals);
        }
        let warm = registry.warm(now);
        let warms = std::mem::replace(&mut self.warm, warm) != warm;
        let remembers = registry.remembers();
        let noted = warms || std::mem::replace(&mut self.remembers, remembers) != remembers;
        if noted {
            self.renote();
        }
        if noted || self.seen != before {
            self.build.get_or_insert(now + self.terms.gather);
        }
    }

    /// Cut from the majority a home is unfit: its followers are told, and nothing is confirmed any more.
    pub fn set_fit(&mut self, now: Duration, fit: bool) {
        if self.fit == fit {
            return;
        }
        self.fit = fit;
        let all: Vec<NodeId> = if fit { Vec::new() } else { self.followers.keys().copied().collect() };
        for follower in all {
            self.left(follower);
            self.send_away(now, follower);
        }
        if fit {
            // Those sent away earlier have come to ask again, or will.
            let late = |at: Duration| now <= at + self.terms.avoid.1;
            let sent_away = std::mem::take(&mut self.sent_away);
            self.out
                .extend(sent_away.into_iter().filter(|(_, at)| late(*at)).map(|(node, _)| Out::Fit(node)));
        }
        let word = if fit { "fit" } else { "unfit" };
        self.out.push(Out::Note(format!("roster: this home is {word}")));
        // Who was sent away is told; the others heard it when they came.
        self.preferred_by.values_mut().for_each(|told| *told &= fit);
        self.speak_first();
        self.woke(now);
    }

    /// Whether what it tells was at a majority since it last came into contact with one, and whether it can be followed.
    pub fn stands(&mut self, now: Duration, fit: Fit) {
        let confirms = fit == Fit::Confirms;
        if fit == Fit::No {
            self.set_fit(now, false);
        }
        // It is in the tables before anybody may come.
        if self.confirms != confirms {
            self.confirms = confirms;
            self.renote();
            self.build = Some(now);
            self.build_due(now);
        }
        self.set_fit(now, fit != Fit::No);
    }

    fn send_away(&mut self, now: Duration, follower: NodeId) {
        if !self.fit
            && (self.sent_away.len() < self.terms.followers || self.sent_away.contains_key(&follower))
        {
            self.sent_away.insert(follower, now);
        }
        self.out.push(Out::Unfit(follower));
    }

    /// Whether this home can be followed.
    pub fn is_fit(&self) -> bool {
        self.fit
    }

    /// Whether what it tells was at a majority since it last came into contact with one.
    pub(crate) fn confirms(&self) -> bool {
        self.fit && self.confirms
    }

    pub(crate) fn is_followed_by(&self, node: NodeId) -> bool {
        self.followers.contains_key(&node)
    }

    /// What a follower has to hold so that nothing is missing.
    pub(crate) fn knows(&self) -> Knows {
        let ends = self.withdrawals.sequence();
        Knows { epoch: self.tables.epoch(), version: self.notes_version, ends }
    }

    /// Whether there is anything to build tables of.
    pub fn has_configuration(&self) -> bool {
        self.configuration.is_some()
    }

    /// Whether a server's end is among those that were heard of up to that withdrawal.
    pub fn is_heard(&self, server: &str, heard: u64) -> bool {
        self.closed.get(server).is_some_and(|(_, sequence)| *sequence <= heard)
    }

    /// Since when followers are told that a server is out; `None`: they are not.
    pub fn told_out(&self, server: &str) -> Option<Duration> {
        self.closed.get(server).map(|(since, _)| *since)
    }

    pub fn followers(&self) -> impl Iterator<Item = NodeId> {
        self.followers.keys().copied()
    }

    /// Does what is due.
    pub fn woke(&mut self, now: Duration) {
        while let Some((at, follower)) = self.looks.first().copied().filter(|(at, _)| *at <= now) {
            self.looks.remove(&(at, follower));
            self.look(now, follower);
        }
        if now >= self.rebuild {
            self.rebuild = now + self.terms.rebuild;
            self.build.get_or_insert(now);
        }
        if now >= self.step {
            // Followed here or not, what was seen is of this period only.
            self.step = now + self.terms.rebuild;
            self.servers.step(now, &self.terms);
            self.forget(now);
            self.rise = Some(now);
        }
        if self.rise.is_some_and(|at| now >= at) {
            self.refresh(now);
        }
        self.feed.woke(now, &self.tables, &self.withdrawals);
        self.build_due(now);
        self.answer_questions(now);
    }

    /// When to call [`woke`](Distribution::woke) next.
    pub fn next_wake(&self) -> Duration {
        let look = self.looks.first().map(|(at, _)| *at);
        [look, self.build, self.rise, self.feed.next_wake()]
            .into_iter()
            .flatten()
            .fold(self.step.min(self.rebuild), Duration::min)
    }

    /// What is to be sent, in order.
    pub fn take(&mut self) -> Vec<Out> {
        let told = std::mem::take(&mut self.feed.out.told);
        let mut out = std::mem::take(&mut self.out);
        out.extend(told.into_iter().map(|(to, told)| Out::Tell(to, told)));
        out
    }

    /// What is told, as the bytes of [`RosterWord::Told`](crate::RosterWord::Told): made once for all that get the same.
    pub fn line(&mut self, told: &Told) -> Line {
        self.feed.out.packer.line(told)
    }

    /// How often tables and differences were put into words.
    pub fn lines_made(&self) -> u64 {
        self.feed.out.packer.made
    }

    fn heard(&mut self, now: Duration, follower: NodeId) {
        if let Some(held) = self.followers.get_mut(&follower) {
            held.said = now;
        }
    }

    /// Whether a follower is still there.
    fn look(&mut self, now: Duration, follower: NodeId) {
        let Some(held) = self.followers.get_mut(&follower) else { return };
        if now > held.said + self.terms.idle {
            self.left(follower);
            self.out.push(Out::Note(format!("roster: {follower} follows this home no more")));
            return;
        }
        held.look = now + self.terms.rebuild;
        self.looks.insert((held.look, follower));
    }

    /// The notes anew, of the configuration and of this home.
    fn renote(&mut self) {
        let notes = self.configuration.iter().flat_map(|configuration| configuration.notes());
        let note = |(name, text): (String, String)| (Key::Note(name.into()), Entry::Note(text.into()));
        self.notes = notes.map(note).collect();
        if self.warm {
            self.notes.insert(Key::Note(WARM.into()), Entry::Note("1".into()));
        }
        if !self.confirms {
            self.notes.insert(Key::Note(UNCONFIRMED.into()), Entry::Note("1".into()));
        }
        if self.remembers {
            self.notes.insert(Key::Note(REMEMBERS.into()), Entry::Note("1".into()));
        }
        self.notes_count += 1;
    }

    /// Weights anew; if any of them is to be sent the table is built.
    fn refresh(&mut self, now: Duration) {
        let rising = self.servers.refresh(now, &self.terms);
        self.rise = rising.then(|| now + self.terms.rise_look);
        if self.servers.take_moved() {
            self.build.get_or_insert(now);
        }
    }

    /// Builds the table if that is due. What is new in it is marked for all followers, by the feed, which serves marks
    /// in the order of their arrival as long as lines may leave; who waits for lines or an answer gets what is newest
    /// then.
    fn build_due(&mut self, now: Duration) {
        if self.build.is_none_or(|at| now < at) {
            return;
        }
        self.refresh(now);
        self.build = None;
        let before = self.tables.version(SHARED);
        let built = self.build_table(now);
        self.note_edition(now);
        match built {
            _ if self.tables.version(SHARED) == before => {}
            Built::Configuration => {
                self.notes_version = self.tables.version(SHARED).map_or(0, |version| version.number);
                self.feed.hastened(now, SHARED, &self.tables);
            }
            Built::Lines => self.feed.sealed(now, SHARED, &self.tables),
        }
    }

    /// The table holds the configuration that is held.
    fn note_edition(&mut self, now: Duration) {
        if let Some((configuration, version)) = self.configuration.as_ref().zip(self.tables.version(SHARED)) {
            self.holders.brought(now, configuration.edition, version.number);
        }
    }

    /// The table from the present state: only what differs is set.
    fn build_table(&mut self, now: Duration) -> Built {
        let is_note = |key: &Key| matches!(key, Key::Note(_));
        let mut changes = Vec::new();
        let mut built = Built::Lines;
        if let Some(content) = self.tables.content(SHARED) {
            let lines = content.entries().iter().filter(|(key, _)| !is_note(key));
            differences(lines, self.servers.lines().iter(), &mut changes);
            if std::mem::replace(&mut self.built_notes, self.notes_count) != self.notes_count {
                let notes = content.entries().iter().filter(|(key, _)| is_note(key));
                differences(notes, self.notes.iter(), &mut changes);
                built = Built::Configuration;
            }
        }
        changes.into_iter().for_each(|(key, entry)| self.tables.set(SHARED, key, entry));
        self.tables.seal(now, SHARED);
        built
    }

    /// Ends of servers that all have heard of, and that no registry brings up again.
    fn forget(&mut self, now: Duration) {
        let remember = self.terms.remember * 2;
        let heard = self.feed.heard_by_all(self.tables.epoch());
        let over = |at: Duration, sequence: u64| now > at + remember && sequence <= heard;
        let closed = &self.closed;
        self.withdrawals.forget(heard, |id| closed.get(id).is_some_and(|(at, seq)| !over(*at, *seq)));
        self.closed.retain(|_, (at, sequence)| !over(*at, *sequence));
    }
}
