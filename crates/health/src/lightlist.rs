//! A keeper's whole part: what its followers saw, whom it tells, what it judges, and what it tells its followers.

use crate::NodeId;
use crate::Roll;
use crate::book::Book;
use crate::judge::Judge;
use crate::tally::Tally;
use crate::terms::Terms;
use crate::words::{Count, KINDS, LightWord, Sight, Stand, Verdict};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

#[derive(Clone, Debug, PartialEq)]
pub enum Out {
    /// To another keeper.
    Keeper(NodeId, LightWord),
    /// To all that follow this home.
    Followers(LightWord),
    /// For the log.
    Note(String),
}

#[derive(Default)]
struct Seen {
    kinds: [Tally; 3],
}

pub struct Lightlist {
    terms: Terms,
    me: NodeId,
    keepers: Vec<NodeId>,
    seen: BTreeMap<Arc<str>, Seen>,
    /// When each follower last told.
    told: BTreeMap<NodeId, Duration>,
    /// Servers of which there is something new for the judge.
    fresh: BTreeSet<Arc<str>>,
    judge: Judge,
    book: Book,
    look: Option<Duration>,
    renew: Duration,
    /// When evidence that faded is next let go of.
    tidy: Duration,
    out: Vec<Out>,
}

impl Lightlist {
    pub fn new(now: Duration, me: NodeId, terms: Terms) -> Lightlist {
        Lightlist {
            terms,
            me,
            keepers: vec![me],
            seen: BTreeMap::new(),
            told: BTreeMap::new(),
            fresh: BTreeSet::new(),
            judge: Judge::default(),
            book: Book::default(),
            look: None,
            renew: now,
            tidy: now,
            out: Vec::new(),
        }
    }

    /// The keepers that are here, this one among them.
    pub fn keepers(&mut self, keepers: Vec<NodeId>) {
        self.keepers = keepers;
    }

    /// A follower tells what it saw since it last did. `zone`: where it stands.
    pub fn reported<'a>(
        &mut self, now: Duration, from: NodeId, zone: &Arc<str>,
        counts: impl Iterator<Item = (&'a Arc<str>, &'a [Count; 3])> + Clone,
    ) {
        if self.told.len() >= self.terms.servers {
            self.told.retain(|_, at| now < *at + self.terms.fresh);
        }
        let span = now.saturating_sub(self.told.insert(from, now).unwrap_or_default());
        let fails = |count: &&[Count; 3]| {
            let (runs, failed) = count.iter().fold((0, 0), |sum, c| (sum.0 + c.runs, sum.1 + c.failed));
            f64::from(failed) >= self.terms.zone_share * f64::from(runs) && failed > 0
        };
        let asked = counts.clone().count();
        let failing = counts.clone().filter(|(_, count)| fails(count)).count();
        if asked >= self.terms.asked && failing * 2 > asked {
            return;
        }
        for (server, count) in counts {
            if !self.seen.contains_key(server) && self.seen.len() >= self.terms.servers {
                continue;
            }
            let seen = self.seen.entry(server.clone()).or_default();
            for (tally, count) in seen.kinds.iter_mut().zip(count) {
                if count.runs > 0 {
                    tally.add(now, (from, zone), *count, span, &self.terms);
                }
            }
            // What is well is remembered and told to nobody.
            let failed = count.iter().any(|count| count.failed > 0);
            if failed || !self.book.is_empty() && self.book.verdict(now, server).is_some() {
                self.fresh.insert(server.clone());
            }
        }
        if !self.fresh.is_empty() {
            self.look.get_or_insert(now);
        }
        if now >= self.tidy {
            self.tidy = now + self.terms.fresh;
            let terms = &self.terms;
            self.seen.retain(|_, seen| seen.kinds.iter_mut().any(|tally| tally.sum(now, terms).0 > 0.1));
        }
    }

    /// Another keeper tells.
    pub fn heard(&mut self, now: Duration, from: NodeId, word: LightWord) {
        match word {
            LightWord::Sights(sights) => {
                for sight in sights {
                    self.judge.told(now, from, sight, &self.book, &self.terms);
                }
                self.look.get_or_insert(now);
            }
            LightWord::Decided(verdicts) => self.take(now, verdicts),
            LightWord::Told(_) => {}
        }
    }

    /// Verdicts hold here, and are told to those that follow.
    fn take(&mut self, now: Duration, verdicts: Vec<Verdict>) {
        let before: Vec<[Stand; 3]> =
            verdicts.iter().map(|told| self.book.stands(now, &told.server)).collect();
        let news = self.book.told(now, &verdicts, &self.terms);
        if verdicts.is_empty() {
            return;
        }
        for (verdict, before) in verdicts.iter().zip(before).filter(|(v, _)| news.contains(&v.server)) {
            self.note(verdict, before);
            if let Some(seen) = self.seen.get_mut(&verdict.server) {
                let starts =
                    |kind: usize| verdict.stands[kind] == Stand::Trial && before[kind] != Stand::Trial;
                let kinds = seen.kinds.iter_mut().enumerate();
                kinds.filter(|(kind, _)| starts(*kind)).for_each(|(_, tally)| *tally = Tally::default());
            }
            self.fresh.insert(verdict.server.clone());
        }
        self.look.get_or_insert(now);
        let told = verdicts.iter().filter_map(|told| self.book.verdict(now, &told.server)).collect();
        self.out.push(Out::Followers(LightWord::Told(told)));
    }

    fn note(&mut self, verdict: &Verdict, before: [Stand; 3]) {
        for kind in KINDS {
            let (from, to) = (before[kind as usize], verdict.stands[kind as usize]);
            if from != to {
                let (server, number) = (&verdict.server, verdict.number);
                let why = verdict.reasons[kind as usize];
                let (kind, from, to) = (kind.name(), from.name(), to.name());
                self.out.push(Out::Note(format!(
                    "lightlist: {server} is {to} for {kind}, was {from}, verdict {number}: {why}"
                )));
            }
        }
    }

    /// What a follower is told that comes.
    pub fn joined(&self, now: Duration) -> Option<LightWord> {
        let all: Vec<Verdict> = self.book.verdicts(now).collect();
        (!all.is_empty()).then_some(LightWord::Told(all))
    }

    /// Does what is due.
    pub fn woke(&mut self, now: Duration, roll: &dyn Roll) {
        if self.look.is_none_or(|at| now < at) {
            return;
        }
        self.look = None;
        self.tell_judges(now, roll);
        let (me, keepers) = (self.me, &self.keepers);
        let judged = |service: &str| judge_of(service, keepers) == Some(me);
        let mut decided = self.judge.look(now, roll, judged, &self.book, &self.terms);
        let renews = now >= self.renew;
        let known: BTreeSet<Arc<str>> = decided.iter().map(|verdict| verdict.server.clone()).collect();
        let judge = &self.judge;
        let again = if renews { judge.renewals(now, &self.terms) } else { judge.again(now, &self.terms) };
        decided.extend(again.into_iter().filter(|verdict| !known.contains(&verdict.server)));
        if renews {
            self.renew = now + self.terms.renew;
            self.book.expire(now, &self.terms);
        }
        if !decided.is_empty() {
            for keeper in self.keepers.iter().filter(|keeper| **keeper != self.me) {
                self.out.push(Out::Keeper(*keeper, LightWord::Decided(decided.clone())));
            }
            self.take(now, decided);
        }
        let rest = self.judge.is_idle() && self.book.is_empty();
        self.look = (!rest).then(|| now + self.terms.look);
    }

    /// Suspicions go to the judges of their services, and so does what is known of servers under a verdict.
    fn tell_judges(&mut self, now: Duration, roll: &dyn Roll) {
        let mut telling: BTreeMap<NodeId, Vec<Sight>> = BTreeMap::new();
        for server in std::mem::take(&mut self.fresh) {
            let Some(seen) = self.seen.get_mut(&server) else { continue };
            let Some((service, _)) = roll.berth(&server) else { continue };
            let suspects = seen.kinds.iter_mut().any(|tally| {
                let (runs, failed) = tally.sum(now, &self.terms);
                failed >= self.terms.suspect_failed && failed >= self.terms.suspect_share * runs
            });
            let under = self.book.stands(now, &server) != [Stand::Well; 3];
            if !(suspects || under) {
                continue;
            }
            let Some(judge) = judge_of(&service, &self.keepers) else { continue };
            let kinds = seen.kinds.each_mut().map(|tally| tally.told(now, &self.terms));
            telling.entry(judge).or_default().push(Sight { server, kinds });
        }
        for (judge, sights) in telling {
            if judge == self.me {
                for sight in sights {
                    self.judge.told(now, self.me, sight, &self.book, &self.terms);
                }
            } else {
                self.out.push(Out::Keeper(judge, LightWord::Sights(sights)));
            }
        }
    }

    /// When to call [`woke`](Lightlist::woke) next; `None`: nothing is suspected.
    pub fn next_wake(&self) -> Option<Duration> {
        self.look
    }

    /// What is to be sent, in order.
    pub fn take_out(&mut self) -> Vec<Out> {
        std::mem::take(&mut self.out)
    }

    pub fn book(&self) -> &Book {
        &self.book
    }
}

/// The keeper that judges a service: all keepers that know the same keepers name the same one.
fn judge_of(service: &str, keepers: &[NodeId]) -> Option<NodeId> {
    let weight = |keeper: &&NodeId| {
        let mut hasher = DefaultHasher::new();
        (service, keeper).hash(&mut hasher);
        hasher.finish()
    };
    keepers.iter().max_by_key(weight).copied()
}
