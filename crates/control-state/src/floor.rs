//! What stands in place of registers that are not kept any more.
//!
//! A register that is not there counts as one that promised the floor's ballot and holds nothing, or, if registers
//! of its kind were given up, a free lock with the floor's fence, or the floor's number. So no attempt, fence or
//! number of a register that was given up comes again, whatever its name was.

use serde::{Deserialize, Serialize};

use crate::ballot::Ballot;
use crate::subjects;
use crate::types::{Key, NodeId};
use crate::value::Value;

/// Below every ballot of an attempt: the value of a register that is not kept.
pub(crate) const NEVER: Ballot = Ballot { epoch: 0, count: 0, node: NodeId::UNSPECIFIED, life: 0 };

/// It never falls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Floor {
    pub ballot: Option<Ballot>,
    /// At least the last fence of each lock that was given up.
    pub fence: u64,
    /// At least the last number of each that was given up.
    pub number: u64,
}

impl Floor {
    pub fn raised(self, other: Floor) -> Floor {
        Floor {
            ballot: self.ballot.max(other.ballot),
            fence: self.fence.max(other.fence),
            number: self.number.max(other.number),
        }
    }

    /// Raised over what a register holds that is given up. None: it cannot be read, so it stays.
    pub(crate) fn over(self, key: &Key, value: &[u8]) -> Option<Floor> {
        match key {
            Key::Lock(_) => Some(Floor { fence: self.fence.max(subjects::fence_seen(value)?), ..self }),
            Key::Number(_) => Some(Floor { number: self.number.max(subjects::number_seen(value)?), ..self }),
            Key::Config | Key::Accounts | Key::ServerEnds | Key::Group(_) => None,
        }
    }

    /// What a register that is not there holds.
    pub(crate) fn value(&self, key: &Key) -> Option<Value> {
        match key {
            Key::Lock(_) if self.fence > 0 => subjects::free_lock(self.fence).map(Value::from),
            Key::Number(_) if self.number > 0 => subjects::number(self.number).map(Value::from),
            _ => None,
        }
    }
}
