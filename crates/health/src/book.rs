//! What a supervisor was told of servers. The highest number holds; of two with the same number the more careful
//! stands; what loosens takes hold at its moment, what tightens at once. Without news a verdict is dropped.

use crate::terms::Terms;
use crate::words::{Kind, Stand, Verdict};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

#[derive(Clone, Debug)]
struct Page {
    verdict: Verdict,
    /// When it was heard last, and when it was decided, by the own clock.
    heard: Duration,
    decided: Duration,
    /// The stands up to the moment at which the verdict takes hold whole.
    until: Duration,
    before: [Stand; 3],
}

/// Bounded by [`Terms::cases`].
#[derive(Clone, Debug, Default)]
pub struct Book {
    pages: BTreeMap<Arc<str>, Page>,
}

impl Book {
    /// Verdicts are told. Gives the servers whose stands may differ from now on.
    pub fn told(&mut self, now: Duration, verdicts: &[Verdict], terms: &Terms) -> Vec<Arc<str>> {
        let mut news = Vec::new();
        for verdict in verdicts {
            if self.take(now, verdict, terms) {
                news.push(verdict.server.clone());
            }
        }
        news
    }

    fn take(&mut self, now: Duration, told: &Verdict, terms: &Terms) -> bool {
        let until = now + Duration::from_millis(told.eases_in_ms.into()).min(terms.together * 2);
        let decided = now.saturating_sub(Duration::from_millis(told.age_ms.into()));
        let Some(page) = self.pages.get_mut(&told.server) else {
            let room = self.pages.len() < terms.cases;
            if room {
                let before = told.stands;
                let page = Page { verdict: told.clone(), heard: now, decided, until, before };
                self.pages.insert(told.server.clone(), page);
            }
            return room;
        };
        let mut verdict = told.clone();
        if told.number < page.verdict.number {
            return false;
        }
        if told.number == page.verdict.number {
            page.heard = now;
            for (stand, held) in verdict.stands.iter_mut().zip(page.verdict.stands) {
                *stand = held.max(*stand);
            }
            let same = verdict.stands == page.verdict.stands;
            page.verdict.stands = verdict.stands;
            return !same;
        }
        let now_held = page.stands(now);
        *page = Page { verdict, heard: now, decided, until, before: now_held };
        true
    }

    /// Drops what was not heard of for long. Gives the servers that stand otherwise for it.
    pub fn expire(&mut self, now: Duration, terms: &Terms) -> Vec<Arc<str>> {
        let over = |page: &Page| now >= page.heard + terms.expires;
        let gone: Vec<Arc<str>> =
            self.pages.iter().filter(|(_, page)| over(page)).map(|(server, _)| server.clone()).collect();
        gone.iter().for_each(|server| _ = self.pages.remove(server));
        gone
    }

    pub fn is_empty(&self) -> bool {
        self.pages.is_empty()
    }

    pub fn stands(&self, now: Duration, server: &str) -> [Stand; 3] {
        self.pages.get(server).map(|page| page.stands(now)).unwrap_or_default()
    }

    pub fn stand(&self, now: Duration, server: &str, kind: Kind) -> Stand {
        let [lookup, order, download] = self.stands(now, server);
        match kind {
            Kind::Lookup => lookup,
            Kind::Order => order,
            Kind::Download => download,
        }
    }

    /// When a stand loosens next by itself.
    pub fn next_ease(&self, now: Duration) -> Option<Duration> {
        self.pages.values().map(|page| page.until).filter(|until| *until > now).min()
    }

    /// All that is held, as it would be told on now.
    pub fn verdicts(&self, now: Duration) -> impl Iterator<Item = Verdict> {
        self.pages.values().map(move |page| page.told(now))
    }

    pub fn verdict(&self, now: Duration, server: &str) -> Option<Verdict> {
        self.pages.get(server).map(|page| page.told(now))
    }

    pub(crate) fn number(&self, server: &str) -> u32 {
        self.pages.get(server).map_or(0, |page| page.verdict.number)
    }
}

impl Page {
    fn stands(&self, now: Duration) -> [Stand; 3] {
        let [a, b, c] = self.verdict.stands;
        let [x, y, z] = self.before;
        if now < self.until { [a.max(x), b.max(y), c.max(z)] } else { [a, b, c] }
    }

    fn told(&self, now: Duration) -> Verdict {
        Verdict {
            age_ms: now.saturating_sub(self.decided).as_millis().min(u32::MAX.into()) as u32,
            eases_in_ms: self.until.saturating_sub(now).as_millis().min(u16::MAX.into()) as u16,
            ..self.verdict.clone()
        }
    }
}
