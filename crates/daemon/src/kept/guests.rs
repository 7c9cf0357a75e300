//! Who is connected at the listen address. When it is full, strangers make room first and collectors that
//! have reported last.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

#[derive(Clone, Copy, PartialEq, PartialOrd, Eq, Ord)]
enum Rank {
    Stranger,
    /// Named itself a collector: anyone can.
    Named,
    /// A collector that has reported.
    Reporting,
}

struct Guest {
    rank: Rank,
    /// When it came or was last heard, counted in things heard.
    heard: u64,
    leave: Rc<Notify>,
}

#[derive(Default)]
struct Book {
    guests: BTreeMap<u64, Guest>,
    count: u64,
}

/// One connection's place; given back when dropped.
pub struct Place {
    book: Rc<RefCell<Book>>,
    id: u64,
    /// Told when the place is needed for another.
    pub leave: Rc<Notify>,
}

#[derive(Clone)]
pub struct Guests {
    book: Rc<RefCell<Book>>,
    most: usize,
    collectors: usize,
}

impl Guests {
    pub fn new(most: usize, collectors: usize) -> Self {
        Guests { book: Rc::default(), most, collectors }
    }

    /// A place for one more; the guest heard of longest ago goes if all are taken.
    pub fn enter(&self) -> Place {
        let mut book = self.book.borrow_mut();
        if book.guests.len() >= self.most {
            book.send_off(|_| true);
        }
        book.count += 1;
        let (id, leave) = (book.count, Rc::new(Notify::new()));
        book.guests.insert(id, Guest { rank: Rank::Stranger, heard: id, leave: leave.clone() });
        Place { book: self.book.clone(), id, leave }
    }

    /// Notes that a guest named itself a collector.
    pub fn collects(&self, place: &Place) {
        let mut book = self.book.borrow_mut();
        if book.guests.values().filter(|g| g.rank > Rank::Stranger).count() >= self.collectors {
            book.send_off(|g| g.rank > Rank::Stranger);
        }
        book.guests.entry(place.id).and_modify(|g| g.rank = Rank::Named);
    }
}

impl Book {
    fn send_off(&mut self, of: impl Fn(&Guest) -> bool) {
        let first = self.guests.iter().filter(|(_, g)| of(g)).min_by_key(|(_, g)| (g.rank, g.heard));
        if let Some(id) = first.map(|(id, _)| *id)
            && let Some(guest) = self.guests.remove(&id)
        {
            guest.leave.notify_one();
        }
    }
}

impl Place {
    /// Notes that something whole was heard from it.
    pub fn heard(&self) {
        let mut book = self.book.borrow_mut();
        book.count += 1;
        let count = book.count;
        book.guests.entry(self.id).and_modify(|g| g.heard = count);
    }
    /// Notes that what was heard is a report.
    pub fn reported(&self) {
        self.book.borrow_mut().guests.entry(self.id).and_modify(|g| g.rank = Rank::Reporting);
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.book.borrow_mut().guests.remove(&self.id);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::future::Future;
    use std::pin::pin;
    use std::task::{Context, Waker};

    fn sent_off(place: &Place) -> bool {
        pin!(place.leave.notified()).poll(&mut Context::from_waker(Waker::noop())).is_ready()
    }

    /// Guards against strangers who fill the house and keep collectors out.
    #[test]
    fn strangers_make_room_before_collectors() {
        let guests = Guests::new(3, 2);
        let (collector, quiet, pinging) = (guests.enter(), guests.enter(), guests.enter());
        guests.collects(&collector);
        quiet.heard();
        pinging.heard();
        let late = guests.enter();
        assert!(sent_off(&quiet) && !sent_off(&collector) && !sent_off(&pinging));
        drop(late);
        let _free = guests.enter();
        assert!(!sent_off(&pinging), "a place given back is free");
    }

    /// Guards against collectors that dial again and again from connections that fell silent.
    #[test]
    fn the_collector_silent_longest_makes_room() {
        let guests = Guests::new(9, 2);
        let collectors = [guests.enter(), guests.enter(), guests.enter()];
        guests.collects(&collectors[0]);
        guests.collects(&collectors[1]);
        collectors[0].heard();
        guests.collects(&collectors[2]);
        assert!(sent_off(&collectors[1]) && !sent_off(&collectors[0]));
    }

    /// Guards against strangers who name themselves collectors and so push the true ones out.
    #[test]
    fn collectors_that_have_reported_stay() {
        let guests = Guests::new(9, 2);
        let (collector, false_one, next) = (guests.enter(), guests.enter(), guests.enter());
        guests.collects(&collector);
        collector.reported();
        guests.collects(&false_one);
        false_one.heard();
        guests.collects(&next);
        assert!(sent_off(&false_one) && !sent_off(&collector));
    }
}
