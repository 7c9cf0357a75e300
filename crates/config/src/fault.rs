//! What is wrong with a document: all of it, each with its place.

use crate::document::Spot;
use crate::terms::TERMS;
use std::fmt;

/// What is wrong at one place.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum What {
    /// cannot be read: {0}
    Unreadable(String),
    /// larger than {0} bytes
    TooLarge(usize),
    /// nested deeper than {0}
    TooDeep(usize),
    /// more than {0}
    TooMany(usize),
    /// missing; expected {0}
    Missing(&'static str),
    /// expected {expected}, found {found}
    Unexpected { expected: &'static str, found: String },
    /// unknown service {0}
    UnknownService(String),
    /// no service to go to
    NoService,
    /// the shares add up to 0
    NoShare,
    /// stands there already, at entry {0}
    Again(usize),
    /// has a key of entry {0}
    KeyOfAnother(usize),
    /// {0}
    Against(String),
}

/// One fault and its place in the document: the steps from the top, each behind a slash.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct Fault {
    pub place: String,
    pub what: What,
}

/// All faults of a document in the order in which they were met. Past a bound they are only counted.
#[derive(Clone, Debug, Default, PartialEq, Eq, thiserror::Error)]
pub struct Faults {
    list: Vec<Fault>,
    untold: usize,
}

impl Faults {
    pub fn one(what: What) -> Self {
        Faults { list: vec![Fault { place: String::new(), what }], untold: 0 }
    }

    pub fn add(&mut self, spot: &Spot<'_>, what: What) {
        if self.list.len() < TERMS.faults {
            self.list.push(Fault { place: spot.to_string(), what });
        } else {
            self.untold += 1;
        }
    }

    /// The value, if no fault was found.
    pub fn or<T>(self, value: T) -> Result<T, Faults> {
        if self.list.is_empty() { Ok(value) } else { Err(self) }
    }

    pub fn list(&self) -> &[Fault] {
        &self.list
    }

    /// Faults that were counted and are not in the list.
    pub fn untold(&self) -> usize {
        self.untold
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.place.as_str() {
            "" => write!(f, "{}", self.what),
            place => write!(f, "{place}: {}", self.what),
        }
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.list.iter().enumerate() {
            if i > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{fault}")?;
        }
        match self.untold {
            0 => Ok(()),
            more => write!(f, "\nand {more} more"),
        }
    }
}
