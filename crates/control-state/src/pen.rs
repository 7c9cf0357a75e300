//! What goes out: messages, records, answers. Replies that rest on a record wait here until it is durable.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::messages::{Message, Record};
use crate::types::{Answer, NodeId};
use crate::value::Value;
use crate::{Key, Out};

#[derive(Clone, Hash)]
pub(crate) struct Pen {
    me: NodeId,
    outs: Vec<Out>,
    /// To this node itself.
    own: VecDeque<Message>,
    written: u64,
    synced: u64,
    held: BTreeMap<u64, Vec<(NodeId, Message)>>,
    holding: usize,
    most: usize,
    /// To whom something went since the last pulse.
    spoken: BTreeSet<NodeId>,
    /// Records that could not be put into bytes: only want of memory does that.
    broken: bool,
}

impl Pen {
    pub fn new(me: NodeId, most: usize) -> Pen {
        Pen {
            me,
            outs: Vec::new(),
            own: VecDeque::new(),
            written: 0,
            synced: 0,
            held: BTreeMap::new(),
            holding: 0,
            most,
            spoken: BTreeSet::new(),
            broken: false,
        }
    }

    /// Writes a record. What it says is durable once its number is synced.
    pub fn log(&mut self, record: &Record) -> u64 {
        self.written += 1;
        match postcard::to_stdvec(record) {
            Ok(record) => self.outs.push(Out::Log { number: self.written, record }),
            Err(_) => self.broken = true,
        }
        self.written
    }

    /// The newest record's number.
    pub fn written(&self) -> u64 {
        self.written
    }

    pub fn is_synced(&self, number: u64) -> bool {
        number <= self.synced
    }

    pub fn send(&mut self, to: NodeId, message: Message) {
        if to == self.me {
            self.own.push_back(message);
        } else {
            self.spoken.insert(to);
            self.outs.push(Out::Send(to, message));
        }
    }

    /// Sends once all records up to `number` are durable. After a record that was never written nothing is sent.
    pub fn reply(&mut self, number: u64, to: NodeId, message: Message) {
        if self.is_synced(number) {
            self.send(to, message);
        } else if self.holding < self.most && !self.broken {
            self.holding += 1;
            self.held.entry(number).or_default().push((to, message));
        }
    }

    pub fn synced(&mut self, number: u64) {
        self.synced = self.synced.max(number.min(self.written));
        if self.broken {
            return;
        }
        while let Some(entry) = self.held.first_entry() {
            if *entry.key() > self.synced {
                break;
            }
            for (to, message) in entry.remove() {
                self.holding -= 1;
                self.send(to, message);
            }
        }
    }

    pub fn answer(&mut self, id: u64, answer: Answer) {
        self.outs.push(Out::Answer(id, answer));
    }

    pub fn committed(&mut self, key: Key, value: &Value) {
        self.outs.push(Out::Committed { key, value: value.0.clone() });
    }

    /// For whoever attempts here, which is no keeper's matter.
    pub fn voted(&mut self, vote: Out) {
        self.outs.push(vote);
    }

    pub fn note(&mut self, note: String) {
        self.outs.push(Out::Note(note));
    }

    /// To whom something went since this was asked last.
    pub fn spoken(&mut self) -> BTreeSet<NodeId> {
        std::mem::take(&mut self.spoken)
    }

    pub fn next_own(&mut self) -> Option<Message> {
        self.own.pop_front()
    }

    pub fn take(&mut self) -> Vec<Out> {
        std::mem::take(&mut self.outs)
    }
}
