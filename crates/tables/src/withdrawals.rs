//! Servers that are out, whatever any table says: their own sequence beside the tables.

use std::collections::BTreeMap;
use std::sync::Arc;

/// A server goes out, or comes back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Withdrawal {
    /// Of one epoch; each is told once, in order.
    pub sequence: u64,
    pub server: Arc<str>,
    pub out: bool,
}

/// The newest word on each server. One that is back is remembered until whoever joined earlier has heard it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Withdrawals {
    sequence: u64,
    by_server: BTreeMap<Arc<str>, (u64, bool)>,
    by_sequence: BTreeMap<u64, Arc<str>>,
}

impl Withdrawals {
    /// Goes on after a sequence that was told in an earlier life.
    pub fn after(sequence: u64) -> Withdrawals {
        Withdrawals { sequence, ..Withdrawals::default() }
    }

    /// As they were kept: the last sequence, and the newest word on each server.
    pub fn restore(sequence: u64, all: impl IntoIterator<Item = Withdrawal>) -> Withdrawals {
        let mut withdrawals = Withdrawals::after(sequence);
        for Withdrawal { sequence, server, out } in all {
            withdrawals.by_server.insert(server.clone(), (sequence, out));
            withdrawals.by_sequence.insert(sequence, server);
        }
        withdrawals
    }

    /// `None`: that was the newest word already.
    pub fn tell(&mut self, server: &str, out: bool) -> Option<Withdrawal> {
        let known = self.by_server.get(server).copied();
        if known.map_or(!out, |(_, is_out)| is_out == out) {
            return None;
        }
        if let Some((old, _)) = known {
            self.by_sequence.remove(&old);
        }
        self.sequence += 1;
        let server: Arc<str> = server.into();
        self.by_server.insert(server.clone(), (self.sequence, out));
        self.by_sequence.insert(self.sequence, server.clone());
        Some(Withdrawal { sequence: self.sequence, server, out })
    }

    pub fn is_out(&self, server: &str) -> bool {
        self.by_server.get(server).is_some_and(|(_, out)| *out)
    }
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// All that one does not know who has heard up to a sequence; 0: nothing.
    pub fn since(&self, heard: u64) -> Vec<Withdrawal> {
        let told = self.by_sequence.range(heard + 1..).map(|(sequence, server)| {
            let out = self.by_server.get(server).is_some_and(|(_, out)| *out);
            Withdrawal { sequence: *sequence, server: server.clone(), out }
        });
        told.collect()
    }

    /// Forgets servers that no version in use names and that everyone has heard of, by what `heard` says that
    /// all have.
    pub fn forget(&mut self, heard: u64, names: impl Fn(&str) -> bool) {
        let over = |(server, (sequence, _)): (&Arc<str>, &(u64, bool))| {
            (*sequence <= heard && !names(server)).then(|| (server.clone(), *sequence))
        };
        let over: Vec<(Arc<str>, u64)> = self.by_server.iter().filter_map(over).collect();
        for (server, sequence) in over {
            self.by_server.remove(&server);
            self.by_sequence.remove(&sequence);
        }
    }

    pub fn len(&self) -> usize {
        self.by_server.len()
    }
    pub fn is_empty(&self) -> bool {
        self.by_server.is_empty()
    }
}
