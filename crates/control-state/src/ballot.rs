//! What orders the attempts to write one register.

use serde::{Deserialize, Serialize};

use crate::types::NodeId;

/// One attempt's place among all attempts. The epoch weighs most: whatever was written in a newer epoch stands above
/// everything written before. `life` is drawn at each start of a process, so that no attempt is made twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    pub epoch: u64,
    pub count: u64,
    pub node: NodeId,
    pub life: u64,
}

impl Ballot {
    /// The attempt after this one by the same process.
    pub fn following(self) -> Ballot {
        Ballot { count: self.count.saturating_add(1), ..self }
    }
}
