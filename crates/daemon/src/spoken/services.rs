//! Servers from DNS: follows the services that the operator's file names, and tells what they say.

use crate::kept::desk::Desk;
use fallgap_dns::shell::{Hears, Shell};
use fallgap_dns::{Answer, Counts, Failure, Followed};
use fallgap_operator::{NameServers, Service};
use fallgap_sources::{Record, SourceId};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

type Known = Rc<RefCell<BTreeMap<Followed, (SourceId, Service)>>>;

struct Tells {
    desk: Rc<Desk>,
    known: Known,
    stands: Rc<Notify>,
}

impl Hears for Tells {
    fn answered(&mut self, service: Followed, answer: Answer) {
        let Some((source, Service { name, mapping })) = self.known.borrow().get(&service).cloned() else {
            return;
        };
        self.desk.counters.one("dns_answers");
        let empty = answer.rows.is_empty();
        let records: Vec<Record> = answer
            .rows
            .into_iter()
            .map(|row| {
                let (priority, weight, port, addresses) = (row.priority, row.weight, row.port, row.addresses);
                Record { priority, weight, port, target: row.target, addresses }
            })
            .collect();
        let (claims, skipped) = mapping.claims(&records, |zone| self.desk.names.zone(zone));
        if skipped > 0 {
            self.desk.odd(
                "dns_skipped",
                &format!("{skipped} records of {name} in no known zone or without address"),
            );
        }
        if claims.is_empty() && !empty {
            // Records that cannot be used say nothing of servers; none at all says that there are none.
            return self.desk.sources(|sources, now| sources.failed(now, source));
        }
        let (oldest, lifetime) = (answer.oldest, answer.lifetime);
        self.desk.sources(|sources, now| sources.whole(now, source, oldest, Some(lifetime), claims));
        self.stands.notify_one();
    }

    fn failed(&mut self, service: Followed, why: Failure, _again: Duration) {
        let Some((source, Service { name, .. })) = self.known.borrow().get(&service).cloned() else { return };
        let counter = if why.is_nothing() { "dns_nothing" } else { "dns_failed" };
        self.desk.odd(counter, &format!("{name}: {why}"));
        self.desk.sources(|sources, now| sources.failed(now, source));
    }
}

/// Follows what is installed, for ever; `stands` is told of each answer.
pub async fn follow(desk: Rc<Desk>, stands: Rc<Notify>) {
    let mut installed = desk.membership.installed.subscribe();
    loop {
        let here = installed.borrow_and_update().clone();
        let asking = async {
            match &here.dns {
                Some(dns) => ask(&desk, dns, &stands).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = asking => {}
            _ = installed.changed() => {}
        }
    }
}

/// Asks name servers, until something else is installed.
async fn ask(desk: &Rc<Desk>, dns: &NameServers, stands: &Rc<Notify>) {
    let known = Known::default();
    let tells = Tells { desk: desk.clone(), known: known.clone(), stands: stands.clone() };
    let (clock, seed) = (desk.clock, fastrand::u64(..));
    let mut shell = Shell::start(tells, move || clock.now(), &dns.servers, dns.ask, dns.lifetimes, seed);
    for service in &dns.services {
        let Some(source) = desk.membership.service(service) else { continue };
        let now = shell.now();
        match shell.resolver.follow(now, &service.name, service.mapping.wants_addresses()) {
            Some(followed) => _ = known.borrow_mut().insert(followed, (source, service.clone())),
            None => desk.odd("dns_failed", &format!("{} is no domain name", service.name)),
        }
    }
    let mut asks = desk.membership.asks.subscribe();
    let mut counted = Counts::default();
    loop {
        tokio::select! {
            () = shell.step() => {}
            _ = asks.changed() => {}
        }
        let wanted = desk.membership.asks.borrow().clone();
        if !wanted.is_empty() {
            desk.membership.asks.send_if_modified(|asks| {
                asks.clear();
                false
            });
        }
        asks.mark_unchanged();
        for (source, at) in wanted {
            let followed = known.borrow().iter().find(|(_, (of, _))| *of == source).map(|(f, _)| *f);
            followed.into_iter().for_each(|followed| shell.resolver.ask_again(followed, at));
        }
        let counts = shell.resolver.counts();
        count(desk, &counted, &counts);
        counted = counts;
    }
}

fn count(desk: &Desk, before: &Counts, now: &Counts) {
    let counts = [
        ("dns_queries_udp", now.over_udp - before.over_udp),
        ("dns_queries_tcp", now.over_tcp - before.over_tcp),
        ("dns_timed_out", now.timed_out - before.timed_out),
        ("dns_not_ours", now.not_ours - before.not_ours),
        ("dns_unreadable", now.unreadable - before.unreadable),
    ];
    let some = counts.into_iter().filter(|(_, n)| *n > 0);
    some.for_each(|(name, n)| desk.counters.add(name, n as usize));
}

/// Looks at the sources when something runs out there.
pub async fn look(desk: Rc<Desk>) {
    loop {
        let next = desk.membership.sources.borrow().next_look();
        let due = async {
            match next {
                Some(at) => tokio::time::sleep(at.saturating_sub(desk.clock.now())).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = due => desk.sources(|sources, now| sources.woke(now)),
            () = desk.membership.looks.notified() => {}
        }
    }
}
