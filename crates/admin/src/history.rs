//! The editions that were in force at this node, the last few.

use crate::diff::diff;
use crate::terms::Terms;
use crate::told::Edition;
use fallgap_config::Configuration;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

struct Entry {
    at: Duration,
    /// `ago_ms` is worked out when it is told.
    edition: Edition,
}

#[derive(Default)]
pub struct History {
    entries: VecDeque<Entry>,
    newest: Option<Arc<Configuration>>,
}

impl History {
    /// A view came in force. `wall_ms`: by the wall clock, asked for only if it is news.
    pub fn took(&mut self, now: Duration, configuration: &Arc<Configuration>, wall_ms: impl FnOnce() -> u64) {
        if self.newest.as_ref().is_some_and(|held| Arc::ptr_eq(held, configuration)) {
            return;
        }
        let changed = self.newest.as_ref().map(|held| diff(held, configuration).changed());
        if self.entries.len() >= Terms::USUAL.editions {
            self.entries.pop_front();
        }
        let edition = Edition {
            edition: configuration.edition,
            ago_ms: 0,
            wall_ms: wall_ms(),
            routes: configuration.routes.len() as u64,
            services: configuration.services.len() as u64,
            changed,
        };
        self.entries.push_back(Entry { at: now, edition });
        self.newest = Some(configuration.clone());
    }

    /// The newest first.
    pub fn told(&self, now: Duration) -> Vec<Edition> {
        let ago = |entry: &Entry| now.saturating_sub(entry.at).as_millis() as u64;
        self.entries.iter().rev().map(|e| Edition { ago_ms: ago(e), ..e.edition.clone() }).collect()
    }
}
