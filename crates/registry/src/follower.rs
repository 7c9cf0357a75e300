//! The receiving side, on every supervisor: follows one home, changes it when it is silent or unfit, and hands out
//! the view to route by. What it has it keeps until something better is there: never an older edition, never a
//! server that it heard is out.

use crate::NodeId;
use crate::distribution::UNCONFIRMED;
use crate::homes::{Choice, Homes};
use crate::leases::{ViewLease, ViewTimes};
use crate::messages::{Knows, LeaseQuestion};
use crate::sending::table_of;
use crate::terms::Terms;
use crate::views::Views;
use fallgap_config::View;
use fallgap_feed::wire::{Said, Told};
use fallgap_tables::{Key, Receiver, Reject};
use std::sync::Arc;
use std::time::Duration;

#[derive(Clone, Debug, PartialEq)]
pub enum FollowerOut {
    Join(NodeId, Said),
    Say(NodeId, Said),
    /// A home is asked how current the view is.
    WantLease(NodeId, LeaseQuestion),
    /// To a home that is followed no more.
    Leave(NodeId),
    NewView(Arc<View>),
    /// For the log.
    Note(String),
}

/// Where a follower stands with its home.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    /// There is no home to follow now.
    Homeless,
    /// It has asked, and heard nothing yet.
    Joining(NodeId),
    Following(NodeId),
}

/// What can happen to that.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    /// A home is asked.
    Asked(NodeId),
    /// The home has a word.
    Told,
    /// A home that was taken for silent has a word, before the one that was asked in its place has a table.
    Back(NodeId),
    /// The home is silent, unfit, gone, or sends what cannot be applied.
    Lost,
}

impl Standing {
    /// The one place where it changes.
    fn after(self, event: Event) -> Standing {
        match (self, event) {
            (_, Event::Asked(home)) => Standing::Joining(home),
            (_, Event::Back(home)) => Standing::Following(home),
            (Standing::Joining(home), Event::Told) => Standing::Following(home),
            (held, Event::Told) => held,
            (_, Event::Lost) => Standing::Homeless,
        }
    }

    fn home(self) -> Option<NodeId> {
        match self {
            Standing::Homeless => None,
            Standing::Joining(home) | Standing::Following(home) => Some(home),
        }
    }
}

pub struct Follower {
    me: NodeId,
    terms: Terms,
    homes: Homes,
    standing: Standing,
    /// When it came to its home, and when that last had a word.
    came: Duration,
    heard: Duration,
    /// What it holds, and of which home.
    receiver: Receiver,
    of: Option<NodeId>,
    /// Homes that were taken for silent since the last table came, and what was held of the one before all of them.
    silent: Vec<NodeId>,
    before: Option<(NodeId, Receiver)>,
    /// Updates in a row that could not be applied.
    rejects: u32,
    confirmed: Option<Duration>,
    /// The first word of a home after nothing was confirmed for so long that ends of servers may have been missed.
    missed: Option<Duration>,
    say: Duration,
    lease: ViewLease,
    /// A home has had a word, and none since that it cannot be followed.
    spoken: bool,
    /// The last word of anybody.
    met: Duration,
    retry: Option<Duration>,
    views: Views,
    out: Vec<FollowerOut>,
    rng: fastrand::Rng,
}

fn receiver(me: NodeId, terms: &Terms) -> Receiver {
    let most = terms.wire.entries;
    let terms =
        fallgap_tables::Terms { entries: most, withdrawals: most, ..fallgap_tables::Terms::default() };
    Receiver::new(table_of(me), terms)
}

impl Follower {
    /// `seed`: for when it goes back to the home that it prefers.
    pub fn start(now: Duration, seed: u64, me: NodeId, terms: Terms) -> Follower {
        let mut rng = fastrand::Rng::with_seed(seed);
        Follower {
            me,
            receiver: receiver(me, &terms),
            views: Views::new(terms.withdrawn, terms.remember),
            terms,
            homes: Homes::default(),
            standing: Standing::Homeless,
            came: now,
            heard: now,
            of: None,
            silent: Vec::new(),
            before: None,
            rejects: 0,
            confirmed: None,
            missed: None,
            say: now,
            lease: ViewLease::start(now, rng.u64(..), terms.lease),
            spoken: false,
            met: now,
            retry: None,
            out: Vec::new(),
            rng,
        }
    }

    /// The keepers that are believed to be here, the preferred one first.
    pub fn homes(&mut self, now: Duration, list: Vec<NodeId>) {
        self.homes.set(list);
        match self.standing.home() {
            Some(home) if !self.homes.has(home) => self.lose(now, "is gone", Duration::ZERO),
            Some(_) => {}
            None => self.find(now),
        }
    }

    /// A word from a home. From another one than is followed only ends of servers are heard.
    pub fn told(&mut self, now: Duration, from: NodeId, told: Told) {
        self.hear_ends(now, &told);
        self.spoken = true;
        if self.standing.home() != Some(from) && !self.comes_back(now, from) {
            // It goes on telling: the word that it was left has not come through.
            if matches!(told, Told::Whole(_) | Told::Delta(_)) {
                self.out.push(FollowerOut::Leave(from));
            }
            return;
        }
        self.standing = self.standing.after(Event::Told);
        self.heard = now;
        if self.confirmed.is_some_and(|at| now.saturating_sub(at) > self.terms.missed) {
            self.missed.get_or_insert(now);
        }
        match told {
            Told::Whole(whole) => {
                let taken = self.receiver.take_whole(now, &whole).map(|_| true);
                self.applied(now, from, taken);
            }
            Told::Delta(delta) => {
                let notes = delta.changes.iter().any(|change| matches!(change.key, Key::Note(_)));
                let taken = self.receiver.take_delta(now, &delta).map(|_| notes);
                self.applied(now, from, taken);
            }
            Told::Same(version) => {
                if self.receiver.confirmed(now, version) {
                    self.confirm(now);
                } else if !self.receiver.is_past(version) {
                    self.answer(now, from, true);
                }
            }
            Told::Withdrawn { epoch, told } => {
                self.receiver.take_withdrawal(now, epoch, &told);
                self.answer(now, from, false);
            }
            Told::AllWithdrawn { epoch, sequence, out } => {
                self.receiver.take_withdrawals(now, epoch, sequence, out);
                self.answer(now, from, false);
            }
        }
    }

    /// A home that was taken for silent has a word: if the one asked in its place has no table yet, it is followed
    /// again. On a link that others fill a word may take longer than silence is borne, and to ask a third home for a
    /// whole table would only fill it more.
    fn comes_back(&mut self, now: Duration, from: NodeId) -> bool {
        if !self.silent.contains(&from) || self.receiver.version().is_some() {
            return false;
        }
        self.silent.retain(|home| *home != from);
        if let Some(asked) = self.standing.home() {
            self.out.push(FollowerOut::Leave(asked));
        }
        self.receiver = match self.before.take_if(|(home, _)| *home == from) {
            Some((_, held)) => held,
            None => receiver(self.me, &self.terms),
        };
        self.lease.moves();
        self.of = Some(from);
        self.homes.welcome(from);
        self.standing = self.standing.after(Event::Back(from));
        self.settles(now);
        self.out.push(FollowerOut::Note(format!("roster: home {from} has a word again")));
        true
    }

    /// A home has given a table: those that were left for it are told so.
    fn arrived(&mut self, at: NodeId) {
        self.before = None;
        let silent = std::mem::take(&mut self.silent);
        self.out.extend(silent.into_iter().filter(|home| *home != at).map(FollowerOut::Leave));
    }

    /// A home says that it cannot be followed.
    pub fn unfit(&mut self, now: Duration, from: NodeId) {
        self.spoken = false;
        self.silent.retain(|home| *home != from);
        if self.standing.home() == Some(from) {
            self.lose(now, "is unfit", self.terms.avoid.1);
        }
    }

    /// What was said to a home is lost: one that was asked is not waited for.
    pub fn unreached(&mut self, now: Duration, home: NodeId) {
        if self.standing == Standing::Joining(home) {
            self.lose(now, "is not reached", self.terms.avoid.1 / 2);
        }
    }

    /// A home that sent this follower away can be followed again, or one that this follower prefers is there. If it is the
    /// one that was asked, its table is waited for.
    pub fn fit(&mut self, now: Duration, from: NodeId) {
        self.homes.welcome(from);
        match self.standing {
            Standing::Homeless => self.find(now),
            Standing::Joining(home) if home == from => {
                self.standing = self.standing.after(Event::Told);
                self.heard = now;
            }
            Standing::Joining(_) | Standing::Following(_) => {}
        }
    }

    /// Does what is due.
    pub fn woke(&mut self, now: Duration) {
        match self.standing {
            Standing::Homeless if self.retry.is_some_and(|at| now >= at) => self.find(now),
            Standing::Homeless => {}
            Standing::Joining(home) | Standing::Following(home) if now >= self.patience() => {
                if !self.silent.contains(&home) {
                    self.silent.push(home);
                }
                if self.receiver.version().is_some() && self.of == Some(home) {
                    let held = std::mem::replace(&mut self.receiver, receiver(self.me, &self.terms));
                    (self.before, self.of) = (Some((home, held)), None);
                }
                self.lose(now, "is silent", self.terms.avoid.0);
            }
            Standing::Joining(_) => {}
            Standing::Following(home) => {
                if now >= self.say {
                    self.answer(now, home, false);
                }
                if now >= self.lease.next_ask() {
                    self.ask_for_lease(now, home);
                }
                if now >= self.came + self.terms.settle {
                    self.settle(now, home);
                }
            }
        }
        let view = self.views.without_earlier(now);
        self.out.extend(view.map(FollowerOut::NewView));
        self.views.forget(now);
    }

    /// When to call [`woke`](Follower::woke) next.
    pub fn next_wake(&self) -> Option<Duration> {
        let silent = self.patience();
        let next = match self.standing {
            Standing::Homeless => self.retry,
            Standing::Joining(_) => Some(silent),
            Standing::Following(_) => {
                let words = self.say.min(self.lease.next_ask());
                Some(silent.min(words).min(self.came + self.terms.settle))
            }
        };
        next.into_iter().chain(self.views.next_wake()).min()
    }

    /// What is to be done, in order.
    pub fn take(&mut self) -> Vec<FollowerOut> {
        std::mem::take(&mut self.out)
    }

    /// The home that is followed or asked.
    pub fn home(&self) -> Option<NodeId> {
        self.standing.home()
    }

    /// Time since the home confirmed what is held; `None`: no home ever did.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed.map(|at| now.saturating_sub(at))
    }

    /// Another supervisor has said something, whatever it was.
    pub fn met(&mut self, now: Duration) {
        self.met = now;
    }

    /// A home has answered what it knows.
    pub fn lease_answered(
        &mut self, now: Duration, from: NodeId, question: LeaseQuestion, knows: Knows, read_age: Duration,
    ) {
        if self.standing.home() == Some(from) {
            self.lease.answered(now, question, knows, read_age);
            self.see_lease();
        }
    }

    /// What is held may be all that the home knew by some moment.
    fn see_lease(&mut self) {
        if let Some(version) = self.receiver.version() {
            let (epoch, ends) = self.receiver.heard();
            let ends = if epoch == version.epoch { ends } else { 0 };
            self.lease.holds(version.epoch, version.number, ends);
        }
    }

    /// Up to when the view is known to be complete.
    pub fn view_times(&self, now: Duration) -> ViewTimes {
        let met = now <= self.met + self.terms.silent_home;
        let homes_speak = self.spoken && !self.homes.is_empty() && self.is_confirming();
        self.lease.times(met && homes_speak)
    }

    pub fn view(&self) -> Option<&Arc<View>> {
        self.views.newest()
    }

    /// Until when the home may be silent. One that has a word, but no table yet, may have many to send.
    fn patience(&self) -> Duration {
        let waits = matches!(self.standing, Standing::Following(_)) && self.receiver.version().is_none();
        self.heard + self.terms.silent_home * if waits { 3 } else { 1 }
    }

    /// Ends of servers hold, whoever tells of them.
    fn hear_ends(&mut self, now: Duration, told: &Told) {
        let new = match told {
            Told::Withdrawn { told, .. } if told.out => self.views.ended(now, [&told.server]),
            Told::AllWithdrawn { out, .. } => self.views.ended(now, out),
            _ => false,
        };
        if new {
            let view = self.views.without_ended();
            self.out.extend(view.map(FollowerOut::NewView));
        }
    }

    /// An update was applied, with new notes or not, or could not be.
    fn applied(&mut self, now: Duration, home: NodeId, taken: Result<bool, Reject>) {
        match taken {
            Ok(notes) => {
                self.rejects = 0;
                self.arrived(home);
                let unsure_until = self.missed.take().map(|since| since + self.terms.unsure);
                self.confirm(now);
                self.answer(now, home, false);
                let before = self.views.edition();
                let epoch = self.receiver.version().map_or(0, |version| version.epoch);
                let view = self.views.built(
                    epoch,
                    self.receiver.content(),
                    self.receiver.out(),
                    notes,
                    unsure_until,
                );
                if let Some(edition) = self.views.edition().filter(|edition| before != Some(*edition)) {
                    self.out.push(FollowerOut::Note(format!("roster: edition {edition} is in force")));
                }
                self.out.extend(view.map(FollowerOut::NewView));
            }
            // The withdrawals went astray: the home sends both again after its answer wait.
            Err(Reject::Unheard) => {}
            Err(_) => {
                self.rejects += 1;
                if self.rejects >= self.terms.rejects {
                    // Nothing of it is worth building on.
                    self.of = None;
                    self.out.push(FollowerOut::Leave(home));
                    self.lose(now, "sends what cannot be applied", self.terms.avoid.0);
                } else {
                    self.answer(now, home, true);
                }
            }
        }
    }

    /// The home has said what is held, or that it is what is held; unless it says with it that it may be old itself.
    fn confirm(&mut self, now: Duration) {
        if self.is_confirming() {
            self.confirmed = Some(now);
        }
    }

    /// The home's table does not say that it may be old.
    fn is_confirming(&self) -> bool {
        self.receiver.content().get(&Key::Note(UNCONFIRMED.into())).is_none()
    }

    fn ask_for_lease(&mut self, now: Duration, home: NodeId) {
        let question = self.lease.asks(now);
        self.out.push(FollowerOut::WantLease(home, question));
    }

    fn answer(&mut self, now: Duration, home: NodeId, rejected: bool) {
        self.see_lease();
        self.say = now + self.terms.say;
        let said = self.holds(rejected);
        self.out.push(FollowerOut::Say(home, said));
    }

    fn holds(&self, rejected: bool) -> Said {
        let (holds, heard) = (self.receiver.version(), self.receiver.heard());
        Said { table: table_of(self.me), holds, heard, rejected }
    }

    fn lose(&mut self, now: Duration, why: &str, avoid: Duration) {
        if let Some(home) = self.standing.home() {
            self.homes.avoid(home, now + avoid);
            self.out.push(FollowerOut::Note(format!("roster: home {home} {why}")));
        }
        self.standing = self.standing.after(Event::Lost);
        self.find(now);
    }

    /// Goes to the first home that is not avoided.
    fn find(&mut self, now: Duration) {
        self.retry = None;
        match self.homes.choose(now) {
            Choice::Home(home) => self.join(now, home),
            Choice::Wait(until) => self.retry = Some(until),
            Choice::None => {}
        }
    }

    fn join(&mut self, now: Duration, home: NodeId) {
        if self.of != Some(home) {
            self.receiver = match self.before.take_if(|(before, _)| *before == home) {
                Some((_, held)) => held,
                None => receiver(self.me, &self.terms),
            };
            self.of = Some(home);
        }
        self.lease.moves();
        self.standing = self.standing.after(Event::Asked(home));
        self.silent.retain(|silent| *silent != home);
        self.settles(now);
        let said = self.holds(false);
        self.out.push(FollowerOut::Join(home, said));
        self.ask_for_lease(now, home);
    }

    fn settles(&mut self, now: Duration) {
        (self.heard, self.say, self.rejects) = (now, now + self.terms.say, 0);
        self.came = now + self.terms.settle.mul_f64(0.5 * self.rng.f64());
    }

    /// Back to the home that it prefers, if that is another one by now.
    fn settle(&mut self, now: Duration, home: NodeId) {
        self.came = now;
        if let Choice::Home(better) = self.homes.choose(now)
            && better != home
        {
            self.out.push(FollowerOut::Leave(home));
            self.join(now, better);
        }
    }
}
