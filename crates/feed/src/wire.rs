//! The feed's messages as lines of JSON (docs/protocol-feed.md), both ways. No I/O: bytes come in any pieces, and
//! memory grows with what came, up to the bounds.

use fallgap_tables::{Change, Delta, Entry, Key, Version, Whole, Withdrawal};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// What binds one message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Bytes of a line.
    pub line: usize,
    /// Entries of a table, changes of a delta, or withdrawals told at once.
    pub entries: usize,
    /// Bytes of a name.
    pub name: usize,
    /// Bytes of a note's text.
    pub text: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds { line: 24 << 20, entries: 100_000, name: 1024, text: 64 << 10 }
    }
}

/// From the feed to a receiver.
#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    Whole(Whole),
    Delta(Delta),
    /// Nothing is new: the version holds.
    Same(Version),
    Withdrawn {
        epoch: u64,
        told: Withdrawal,
    },
    /// All withdrawals of an epoch up to a sequence: servers not named are not out.
    AllWithdrawn {
        epoch: u64,
        sequence: u64,
        out: Vec<Arc<str>>,
    },
}

/// From a receiver to the feed: what it holds of a table, and the epoch and sequence of the last withdrawal heard.
#[derive(Clone, Debug, PartialEq)]
pub struct Said {
    pub table: u32,
    pub holds: Option<Version>,
    pub heard: (u64, u64),
    /// What came could not be applied.
    pub rejected: bool,
}

/// Why a line is not taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unreadable {
    #[error("a line of more than {0} bytes")]
    LongLine(usize),
    #[error("{0} entries, at most {1} are taken")]
    Many(usize, usize),
    #[error("a name of {0} bytes, at most {1} are taken")]
    LongName(usize, usize),
    #[error("a note of {0} bytes, at most {1} are taken")]
    LongText(usize, usize),
    #[error("no version: {0:?}, expected EPOCH.NUMBER.DIGEST in hex")]
    Version(String),
    #[error("no message: {0}")]
    Json(String),
}

/// An entry or its removal: `["l",name]`, `["l",name,part]`, `["c",name]`, `["c",name,admit or null,policy]`,
/// `["n",name]` or `["n",name,text]`.
#[derive(Deserialize, Serialize)]
#[serde(untagged)]
enum Row {
    Level(Kind, String, Option<f64>, u8),
    Line(Kind, String, f64),
    Note(Kind, String, String),
    Gone(Kind, String),
}

#[derive(Clone, Copy, Deserialize, PartialEq, Serialize)]
enum Kind {
    #[serde(rename = "l")]
    Line,
    #[serde(rename = "c")]
    Level,
    #[serde(rename = "n")]
    Note,
}

#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
enum Spoken {
    Whole { table: u32, version: String, entries: Vec<Row> },
    Delta { table: u32, base: String, result: String, changes: Vec<Row> },
    Same { version: String },
    Withdrawn { epoch: String, sequence: u64, server: String, out: bool },
    AllWithdrawn { epoch: String, sequence: u64, out: Vec<String> },
    Holds { table: u32, version: Option<String>, epoch: String, sequence: u64, rejected: bool },
}

fn version_text(version: &Version) -> String {
    format!("{:x}.{:x}.{:x}", version.epoch, version.number, version.digest)
}

fn version(text: &str) -> Result<Version, Unreadable> {
    let odd = || Unreadable::Version(text.chars().take(80).collect());
    let [epoch, number, digest] = text.split('.').collect::<Vec<_>>()[..] else { return Err(odd()) };
    let short = |part: &str| u64::from_str_radix(part, 16).map_err(|_| odd());
    let digest = u128::from_str_radix(digest, 16).map_err(|_| odd())?;
    Ok(Version { epoch: short(epoch)?, number: short(number)?, digest })
}

fn epoch(text: &str) -> Result<u64, Unreadable> {
    u64::from_str_radix(text, 16).map_err(|_| Unreadable::Version(text.chars().take(80).collect()))
}

fn row(key: &Key, entry: Option<&Entry>) -> Row {
    let (kind, name) = match key {
        Key::Line(name) => (Kind::Line, name.to_string()),
        Key::Level(name) => (Kind::Level, name.to_string()),
        Key::Note(name) => (Kind::Note, name.to_string()),
    };
    match entry {
        None => Row::Gone(kind, name),
        Some(Entry::Part(part)) => Row::Line(kind, name, *part),
        Some(Entry::Note(text)) => Row::Note(kind, name, text.to_string()),
        // JSON knows no infinity: a level that lets all in is null.
        Some(Entry::Level { admit, policy }) => {
            Row::Level(kind, name, Some(*admit).filter(|a| a.is_finite()), *policy)
        }
    }
}

fn read_row(row: Row, bounds: &Bounds) -> Result<(Key, Option<Entry>), Unreadable> {
    let (kind, name, entry) = match row {
        Row::Gone(kind, name) => (kind, name, None),
        Row::Line(kind, name, part) => (kind, name, Some(Entry::Part(part))),
        Row::Note(_, _, text) if text.len() > bounds.text => {
            return Err(Unreadable::LongText(text.len(), bounds.text));
        }
        Row::Note(kind, name, text) => (kind, name, Some(Entry::Note(text.into()))),
        Row::Level(kind, name, admit, policy) => {
            (kind, name, Some(Entry::Level { admit: admit.unwrap_or(f64::INFINITY), policy }))
        }
    };
    if name.len() > bounds.name {
        return Err(Unreadable::LongName(name.len(), bounds.name));
    }
    let key = match kind {
        Kind::Line => Key::Line,
        Kind::Level => Key::Level,
        Kind::Note => Key::Note,
    };
    Ok((key(name.into()), entry))
}

fn few(n: usize, bounds: &Bounds) -> Result<(), Unreadable> {
    if n > bounds.entries { Err(Unreadable::Many(n, bounds.entries)) } else { Ok(()) }
}

fn line(spoken: &Spoken) -> Vec<u8> {
    // Strings, numbers and lists only: none of them can fail.
    let mut line = serde_json::to_vec(spoken).unwrap_or_default();
    line.push(b'\n');
    line
}

impl Told {
    /// One line, its end included.
    pub fn encode(&self) -> Vec<u8> {
        line(&match self {
            Told::Whole(whole) => Spoken::Whole {
                table: whole.table,
                version: version_text(&whole.version),
                entries: whole.entries.iter().map(|(key, entry)| row(key, Some(entry))).collect(),
            },
            Told::Delta(delta) => Spoken::Delta {
                table: delta.table,
                base: version_text(&delta.base),
                result: version_text(&delta.result),
                changes: delta.changes.iter().map(|c| row(&c.key, c.entry.as_ref())).collect(),
            },
            Told::Same(version) => Spoken::Same { version: version_text(version) },
            Told::Withdrawn { epoch, told } => Spoken::Withdrawn {
                epoch: format!("{epoch:x}"),
                sequence: told.sequence,
                server: told.server.to_string(),
                out: told.out,
            },
            Told::AllWithdrawn { epoch, sequence, out } => Spoken::AllWithdrawn {
                epoch: format!("{epoch:x}"),
                sequence: *sequence,
                out: out.iter().map(|server| server.to_string()).collect(),
            },
        })
    }

    /// # Errors
    /// [`Unreadable`]: the stream cannot be gone on with.
    pub fn decode(line: &[u8], bounds: &Bounds) -> Result<Told, Unreadable> {
        let whole_name = |name: String| {
            let long = name.len() > bounds.name;
            if long { Err(Unreadable::LongName(name.len(), bounds.name)) } else { Ok(name.into()) }
        };
        Ok(match read(line, bounds)? {
            Spoken::Whole { table, version: of, entries } => {
                few(entries.len(), bounds)?;
                let present = |(key, entry): (Key, Option<Entry>)| {
                    entry
                        .map(|entry| (key, entry))
                        .ok_or_else(|| Unreadable::Json("a row without a value".into()))
                };
                let entries = entries.into_iter().map(|r| read_row(r, bounds).and_then(present));
                Told::Whole(Whole {
                    table,
                    version: version(&of)?,
                    entries: entries.collect::<Result<_, _>>()?,
                })
            }
            Spoken::Delta { table, base, result, changes } => {
                few(changes.len(), bounds)?;
                let change = |(key, entry)| Change { key, entry };
                let changes = changes.into_iter().map(|r| read_row(r, bounds).map(change));
                let (base, result) = (version(&base)?, version(&result)?);
                Told::Delta(Delta { table, base, result, changes: changes.collect::<Result<_, _>>()? })
            }
            Spoken::Same { version: of } => Told::Same(version(&of)?),
            Spoken::Withdrawn { epoch: of, sequence, server, out } => {
                let told = Withdrawal { sequence, server: whole_name(server)?, out };
                Told::Withdrawn { epoch: epoch(&of)?, told }
            }
            Spoken::AllWithdrawn { epoch: of, sequence, out } => {
                few(out.len(), bounds)?;
                let out = out.into_iter().map(whole_name).collect::<Result<_, _>>()?;
                Told::AllWithdrawn { epoch: epoch(&of)?, sequence, out }
            }
            Spoken::Holds { .. } => {
                return Err(Unreadable::Json("what a receiver says, from the feed".into()));
            }
        })
    }
}

impl Said {
    /// One line, its end included.
    pub fn encode(&self) -> Vec<u8> {
        line(&Spoken::Holds {
            table: self.table,
            version: self.holds.as_ref().map(version_text),
            epoch: format!("{:x}", self.heard.0),
            sequence: self.heard.1,
            rejected: self.rejected,
        })
    }

    /// # Errors
    /// [`Unreadable`]: the stream cannot be gone on with.
    pub fn decode(line: &[u8], bounds: &Bounds) -> Result<Said, Unreadable> {
        match read(line, bounds)? {
            Spoken::Holds { table, version: of, epoch: by, sequence, rejected } => {
                let holds = of.map(|of| version(&of)).transpose()?;
                Ok(Said { table, holds, heard: (epoch(&by)?, sequence), rejected })
            }
            _ => Err(Unreadable::Json("what the feed says, from a receiver".into())),
        }
    }
}

fn read(line: &[u8], bounds: &Bounds) -> Result<Spoken, Unreadable> {
    if line.len() > bounds.line {
        return Err(Unreadable::LongLine(bounds.line));
    }
    serde_json::from_slice(line).map_err(|e| Unreadable::Json(e.to_string()))
}

/// Cuts bytes that come in any pieces into lines.
#[derive(Default)]
pub struct Lines {
    partial: Vec<u8>,
}

impl Lines {
    /// Takes bytes in, and hands each whole line on without its end; empty ones are skipped.
    ///
    /// # Errors
    /// [`Unreadable::LongLine`], also before its end has come; or what `each` refuses a line with.
    pub fn feed<E: From<Unreadable>>(
        &mut self, bytes: &[u8], bounds: &Bounds, mut each: impl FnMut(&[u8]) -> Result<(), E>,
    ) -> Result<(), E> {
        let mut pieces = bytes.split(|byte| *byte == b'\n').peekable();
        while let Some(piece) = pieces.next() {
            if self.partial.len() + piece.len() > bounds.line {
                return Err(Unreadable::LongLine(bounds.line).into());
            }
            self.partial.extend_from_slice(piece);
            if pieces.peek().is_some() {
                let line = std::mem::take(&mut self.partial);
                if !line.trim_ascii().is_empty() {
                    each(&line)?;
                }
            }
        }
        Ok(())
    }
}
