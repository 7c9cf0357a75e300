//! Whom ops are sent to.

pub mod framed;
pub mod http;

use crate::clients::Ended;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::sync::Notify;

/// How one try ended, as its target tells.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Heard {
    pub id: u64,
    pub tries: u8,
    pub ended: Ended,
}

/// What targets have heard and nobody has looked at yet.
#[derive(Clone, Default)]
pub struct Inbox {
    heard: Rc<RefCell<VecDeque<Heard>>>,
    pub bell: Rc<Notify>,
}

impl Inbox {
    /// Another inbox that rings the same bell.
    pub fn beside(&self) -> Inbox {
        Inbox { heard: Rc::default(), bell: self.bell.clone() }
    }
    pub fn put(&self, id: u64, tries: u8, ended: Ended) {
        self.heard.borrow_mut().push_back(Heard { id, tries, ended });
        self.bell.notify_one();
    }
    pub fn take(&self) -> Option<Heard> {
        self.heard.borrow_mut().pop_front()
    }
}
