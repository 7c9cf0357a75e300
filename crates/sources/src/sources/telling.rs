//! What is to be done with each server, and what of it is told on.

use super::{Outside, Sources};
use crate::claim::{Age, Kept};
use crate::nodes::Node;
use crate::rule::{self, Course, Said};
use fallgap::{Listed, ServerState};
use std::time::Duration;

impl<O: Outside> Sources<O> {
    /// Judges every server of which something was said, and tells what changed.
    pub(super) fn settle(&mut self, now: Duration) {
        let mut touched = std::mem::take(&mut self.dirty);
        for node in &touched {
            self.judge(now, *node);
        }
        for source in &mut self.sources {
            touched.extend(source.ranks.moved());
        }
        if self.resorting != (self.serving == 0 && !self.resorts.is_empty()) {
            self.resorting = !self.resorting;
            self.outside.last_resort(self.resorting, self.resorts.len());
            touched.extend(&self.resorts);
        }
        for node in touched {
            self.tell(now, node);
        }
    }

    /// When what is kept wears out, and whether it is worn now.
    fn wears_at(&self, source: usize, kept: &Kept) -> Option<Duration> {
        let from = kept.runs_out.or(self.sources[source].failing)?;
        from.checked_add(self.terms.hold)
    }

    /// Works out what is to be done with a server, and when to look at it again.
    fn judge(&mut self, now: Duration, node: usize) {
        let Some(known) = self.nodes.get(node) else { return };
        let mut looks: Vec<Duration> = Vec::new();
        let (mut joined, mut worn, mut unranked, mut places) = (Said::Silent, false, false, Vec::new());
        let offers = || known.kept.iter().filter(|(_, kept)| kept.offers());
        for (source, kept) in &known.kept {
            let said = match kept.kind {
                Said::Ready => {
                    let wears = self.wears_at(*source, kept);
                    looks.extend(wears.filter(|at| *at > now));
                    match kept.rank {
                        Some(rank) => places.push((*source, rank)),
                        None => unranked = true,
                    }
                    let is_worn = wears.is_some_and(|at| now >= at);
                    worn |= is_worn;
                    if is_worn { Said::Worn } else { Said::Ready }
                }
                withdrawn => {
                    if offers().any(|(_, offer)| offer.lifts(kept)) {
                        Said::Silent
                    } else {
                        withdrawn
                    }
                }
            };
            joined = rule::join(joined, said);
        }
        let answers = self.answers(now, known);
        if joined == Said::Worn {
            looks.extend(self.answers_change(now, known));
        }
        let course = rule::course(joined, answers);
        looks.extend(self.forgotten_at(known).filter(|at| *at > now));
        self.enter(now, node, course, worn, unranked, places);
        if let Some(next) = looks.into_iter().min() {
            self.agenda.look(node, next);
        }
    }

    /// When a server is forgotten of which no source says anything but that it is withdrawn. `None` while one
    /// offers it, or says that it drains and is itself not worn out.
    fn forgotten_at(&self, known: &Node) -> Option<Duration> {
        let mut last = Duration::ZERO;
        for (source, kept) in &known.kept {
            let until = match kept.kind {
                Said::Ready => return None,
                Said::Draining => self.wears_at(*source, kept)?,
                _ => kept.made.saturating_add(self.terms.remember),
            };
            last = last.max(until);
        }
        Some(last)
    }

    /// Whether a server still acks ops; where none does, nobody can tell, and it is taken to.
    fn answers(&self, now: Duration, known: &Node) -> bool {
        let span = self.terms.answering;
        let Some(last) = self.heard.last else { return true };
        let telling = now >= self.heard.since + span && now < last + span;
        !telling || known.answered.is_some_and(|at| now < at + span)
    }

    /// When the answer to that may change with time alone.
    fn answers_change(&self, now: Duration, known: &Node) -> Option<Duration> {
        let span = self.terms.answering;
        let last = self.heard.last?;
        let all = [Some(self.heard.since), Some(last), known.answered];
        all.into_iter().flatten().map(|at| at + span).filter(|at| *at > now).min()
    }

    /// Enters a server in the indexes by what is to be done with it.
    fn enter(
        &mut self, now: Duration, node: usize, course: Course, worn: bool, unranked: bool,
        places: Vec<(usize, u16)>,
    ) {
        let Some(known) = self.nodes.get_mut(node) else { return };
        let before = known.course.replace(course);
        if before == Some(Course::Serve) {
            self.serving -= 1;
            for (source, rank) in &known.places {
                self.sources[*source].ranks.leave(*rank, node);
            }
        }
        if course == Course::Serve {
            self.serving += 1;
            for (source, rank) in &places {
                self.sources[*source].ranks.enter(*rank, node);
            }
        }
        self.out.remove(&(known.out_since, node));
        if course == Course::Out {
            if before != Some(Course::Out) {
                known.out_since = now;
            }
            self.out.insert((known.out_since, node));
        } else if before == Some(Course::Out) && known.told.is_some() {
            // It was away: what it was before says nothing of when it started.
            (known.first_seen, known.started) = (now, None);
        }
        (known.worn, known.unranked, known.places) = (worn, unranked, places);
        if worn {
            self.worn.insert(node)
        } else {
            self.worn.remove(&node)
        };
        if course == Course::LastResort {
            self.resorts.insert(node)
        } else {
            self.resorts.remove(&node)
        };
    }

    /// Tells on what is new of a server; one that nobody says anything of is forgotten then.
    fn tell(&mut self, now: Duration, node: usize) {
        let Some(known) = self.nodes.get(node) else { return };
        let ranked = |&(source, rank): &(usize, u16)| self.sources[source].ranks.is_open(rank);
        let was = known.told.as_ref().map(|told| told.state);
        let state = match known.course {
            None => None,
            Some(Course::Serve) if known.unranked || known.places.iter().any(ranked) => {
                Some(ServerState::Ready)
            }
            Some(Course::LastResort) if self.resorting => Some(ServerState::Ready),
            Some(Course::Serve | Course::Drain) => was.map(|_| ServerState::Draining),
            Some(Course::LastResort | Course::Out) => was.map(|_| ServerState::Gone),
        };
        if let Some(state) = state {
            self.tell_state(node, state);
        }
        let Some(known) = self.nodes.get(node) else { return };
        if self.forgotten_at(known).is_some_and(|at| now >= at) {
            if known.told.as_ref().is_some_and(|told| told.state != ServerState::Gone) {
                self.tell_state(node, ServerState::Gone);
            }
            self.enter(now, node, Course::Out, false, false, Vec::new());
            self.forget(node);
        }
    }

    fn tell_state(&mut self, node: usize, state: ServerState) {
        let Some(known) = self.nodes.get_mut(node) else { return };
        let offers = || known.kept.iter().map(|(_, kept)| kept).filter(|kept| kept.offers());
        let entry = match (&known.told, offers().next()) {
            (Some(told), _) if state != ServerState::Ready => Listed { state, ..told.clone() },
            (_, Some(first)) => {
                let age = offers().map(|kept| kept.age).find(|age| *age != Age::Unknown);
                let started = match age {
                    Some(Age::LongAgo) => None,
                    Some(Age::Since(at)) => Some(at),
                    _ => known.started.unwrap_or(Some(known.first_seen)),
                };
                known.started = Some(started);
                let size = offers().find_map(|kept| kept.size);
                Listed { server: known.id.clone(), zone: first.zone, size, state, started }
            }
            _ => return,
        };
        let same = known.told.as_ref().is_some_and(|told| {
            (told.zone, told.size, told.state, told.started)
                == (entry.zone, entry.size, entry.state, entry.started)
        });
        if same {
            return;
        }
        let open = |state: Option<ServerState>| usize::from(state == Some(ServerState::Ready));
        self.open = self.open + open(Some(state)) - open(known.told.as_ref().map(|told| told.state));
        known.told = Some(entry.clone());
        self.outside.listed(entry);
    }

    /// A server is told under another id from now on: the one before is gone.
    pub(super) fn rename(&mut self, node: usize, id: &str) {
        let told = self.nodes.get(node).and_then(|n| n.told.as_ref()).map(|told| told.state);
        if told.is_some_and(|state| state != ServerState::Gone) {
            self.tell_state(node, ServerState::Gone);
        }
        if let Some(known) = self.nodes.get_mut(node) {
            (known.id, known.told) = (id.to_owned(), None);
        }
        self.nodes.also_named(node, id);
        self.dirty.insert(node);
    }
}
