//! What is wrong with a file, and where.

use kdl::KdlError;
use miette::{SourceCode, SourceSpan};
use std::fmt;

/// One thing that cannot be used. Shown as `line:column: found ...; expected ...`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Counted from 1, in lines.
    pub line: usize,
    /// Counted from 1, in characters.
    pub column: usize,
    pub found: String,
    pub expected: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: found {}; expected {}", self.line, self.column, self.found, self.expected)
    }
}

impl std::error::Error for Fault {}

/// Gathers the faults of one file.
pub struct Faults<'a> {
    text: &'a str,
    found: Vec<Fault>,
}

impl<'a> Faults<'a> {
    pub fn of(text: &'a str) -> Self {
        Faults { text, found: Vec::new() }
    }

    pub fn add(&mut self, at: SourceSpan, found: impl Into<String>, expected: impl Into<String>) {
        // A span that lies outside is one of an empty file: its start is meant.
        let place = self.text.read_span(&at, 0, 0).map(|part| (part.line(), part.column()));
        let (line, column) = place.unwrap_or_default();
        let (found, expected) = (found.into(), expected.into());
        self.found.push(Fault { line: line + 1, column: column + 1, found, expected });
    }

    /// A file that is no KDL: everything that its parser found.
    pub fn not_kdl(mut self, error: &KdlError) -> Vec<Fault> {
        for one in &error.diagnostics {
            let said = one.message.as_deref().or(one.label.as_deref()).unwrap_or("what is no KDL");
            let help = one.help.as_deref().unwrap_or("a document of KDL 2");
            self.add(one.span, said.trim_end_matches('.'), help);
        }
        self.sorted()
    }

    pub fn sorted(mut self) -> Vec<Fault> {
        self.found.sort_by_key(|fault| (fault.line, fault.column));
        self.found
    }
}
