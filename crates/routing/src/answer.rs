//! A server's answer, read strictly and judged before anything of it goes to a client.

use crate::chunks::{ChunkFault, Chunks};
use crate::head::{carriage_alone, concerns_connection, head_end, line_place, place_in, read_length};
use crate::terms::Terms;
use crate::unread::Unread;
use std::mem::take;
use std::ops::Range;
use std::str::from_utf8;
use std::time::Duration;

const LINES: usize = 100;

#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum AnswerFault {
    /// the bytes are no answer
    Malformed,
    /// the answer is over its bound
    TooLong,
    /// more interim answers came than may come before an answer
    TooManyInterim,
    /// the end of the answer can not be known
    Unframed,
    /// the chunks are broken: {0}
    Chunks(#[from] ChunkFault),
}

impl AnswerFault {
    /// The answer may be sound, and is longer than may be held of one.
    pub fn is_length(&self) -> bool {
        matches!(self, AnswerFault::TooLong | AnswerFault::Chunks(ChunkFault::TooLong))
    }
}

/// A whole answer.
#[derive(Debug, Default)]
pub struct Answer {
    raw: Vec<u8>,
    pub status: u16,
    reason: Range<usize>,
    id: Option<Range<usize>>,
    along: Vec<Range<usize>>,
    pub sealed: bool,
    pub not_run: bool,
    pub encoded: bool,
    /// The server ends the connection behind it.
    pub close: bool,
    /// How long the server keeps the connection at rest, if it says so.
    pub kept: Option<Duration>,
    /// The answer to a request for the head alone, and the length that it tells.
    pub bodiless: bool,
    pub told_length: Option<usize>,
    pub body: Vec<u8>,
}

/// What an answer proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Judgement {
    /// A success, whole and stamped.
    Good,
    /// Another answer that goes back as it is.
    Plain,
    /// The server failed; it goes back as it is, or another server is asked.
    Failed,
    /// The request did not run.
    NotRun,
    /// The server is not the one that was meant; the request did not run.
    Elsewhere,
    /// It belongs to another request.
    Foreign,
    /// It proves nothing.
    Void,
}

enum Reading {
    Head { seen: usize },
    Length(usize),
    Chunks(Chunks),
    Whole,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    More,
    /// The answer is whole. `surplus`: bytes came behind it.
    Whole {
        surplus: bool,
    },
}

/// Reads one answer.
pub struct AnswerReader {
    unread: Unread,
    reading: Reading,
    /// Interim answers that have come.
    interim: u32,
    /// To a request for the head alone.
    bodiless: bool,
    answer: Answer,
}

impl AnswerReader {
    pub fn new(bodiless: bool) -> Self {
        AnswerReader {
            unread: Unread::default(),
            reading: Reading::Head { seen: 0 },
            interim: 0,
            bodiless,
            answer: Answer::default(),
        }
    }

    pub fn push(&mut self, bytes: &[u8], terms: &Terms) -> Result<Progress, AnswerFault> {
        if let Reading::Head { .. } = self.reading {
            self.unread.push(bytes);
            if !self.heads(terms)? {
                return Ok(Progress::More);
            }
            let held = take(&mut self.unread);
            return self.body(held.as_slice(), terms);
        }
        self.body(bytes, terms)
    }

    /// Lets the answer fall that is whole, and reads on behind it.
    pub fn skip(&mut self, terms: &Terms) -> Result<Progress, AnswerFault> {
        self.answer = Answer::default();
        self.reading = Reading::Head { seen: 0 };
        self.push(&[], terms)
    }

    /// Nothing of an answer has come.
    pub fn is_empty(&self) -> bool {
        self.unread.is_empty() && matches!(self.reading, Reading::Head { .. })
    }

    /// Whether the answer that is whole belongs to another request.
    pub fn is_foreign(&self, id: &str) -> bool {
        self.answer.judge(id) == Judgement::Foreign
    }

    /// A success of known length that belongs to this request, whose body still comes: all that is to be checked has
    /// been checked but its end.
    pub fn is_sound(&self, id: &str) -> bool {
        matches!(self.reading, Reading::Length(left) if left > 0) && self.answer.judge(id) == Judgement::Good
    }

    /// The answer as far as it has come.
    pub fn answer(&self) -> &Answer {
        &self.answer
    }

    /// What has come of the body since it was last taken.
    pub fn take_body(&mut self) -> Vec<u8> {
        take(&mut self.answer.body)
    }

    /// Bytes held.
    pub fn held(&self) -> usize {
        self.unread.len() + self.answer.body.len()
    }

    pub fn take(&mut self) -> Answer {
        take(&mut self.answer)
    }

    /// Reads heads until one is no interim answer. `false`: more is needed.
    fn heads(&mut self, terms: &Terms) -> Result<bool, AnswerFault> {
        loop {
            let Reading::Head { seen } = self.reading else { return Ok(true) };
            let unread = self.unread.as_slice();
            let end = head_end(unread, seen).map_err(|()| AnswerFault::Malformed)?;
            if end.unwrap_or(unread.len()) > terms.answer_head {
                return Err(AnswerFault::TooLong);
            }
            let Some(end) = end else {
                self.reading = Reading::Head { seen: unread.len() };
                return Ok(false);
            };
            let raw = self.unread.take(end);
            let (answer, reading) = read_head(raw, self.bodiless, terms)?;
            if answer.status == 101 {
                return Err(AnswerFault::Malformed);
            }
            if answer.status >= 200 {
                (self.answer, self.reading) = (answer, reading);
            } else {
                self.interim += 1;
                if self.interim > terms.interim_answers {
                    return Err(AnswerFault::TooManyInterim);
                }
                self.reading = Reading::Head { seen: 0 };
            }
        }
    }

    fn body(&mut self, bytes: &[u8], terms: &Terms) -> Result<Progress, AnswerFault> {
        let body = &mut self.answer.body;
        let used = match &mut self.reading {
            Reading::Head { .. } => 0,
            Reading::Length(left) => {
                let now = bytes.get(..bytes.len().min(*left)).unwrap_or_default();
                body.extend_from_slice(now);
                *left -= now.len();
                if *left == 0 {
                    self.reading = Reading::Whole;
                }
                now.len()
            }
            Reading::Chunks(chunks) => {
                let used = chunks.feed(bytes, body, terms.answer_body)?;
                if chunks.is_done() {
                    self.reading = Reading::Whole;
                }
                used
            }
            Reading::Whole => 0,
        };
        match self.reading {
            Reading::Whole => {
                self.unread.push(bytes.get(used..).unwrap_or_default());
                Ok(Progress::Whole { surplus: !self.unread.is_empty() })
            }
            _ => Ok(Progress::More),
        }
    }
}

fn read_head(raw: Vec<u8>, bodiless: bool, terms: &Terms) -> Result<(Answer, Reading), AnswerFault> {
    let mut lines = [httparse::EMPTY_HEADER; LINES];
    let mut parsed = httparse::Response::new(&mut lines);
    match parsed.parse(&raw) {
        Ok(httparse::Status::Complete(used)) if used == raw.len() && !carriage_alone(&raw) => {}
        _ => return Err(AnswerFault::Malformed),
    }
    let (Some(status), Some(version)) = (parsed.code, parsed.version) else {
        return Err(AnswerFault::Malformed);
    };
    let mut found = Answer { status, close: version == 0, ..Answer::default() };
    found.reason = place_in(&raw, parsed.reason.unwrap_or_default().as_bytes());
    let (mut length, mut chunks) = (None, false);
    for line in parsed.headers.iter() {
        found.line(line, &raw, &mut length, &mut chunks)?;
    }
    let none = bodiless || matches!(status, 100..=199 | 204 | 304);
    let reading = match (length, chunks) {
        (Some(_), true) => return Err(AnswerFault::Unframed),
        _ if none => Reading::Length(0),
        (None, true) => Reading::Chunks(Chunks::default()),
        (Some(length), false) if length > terms.answer_body => return Err(AnswerFault::TooLong),
        (Some(length), false) => Reading::Length(length),
        (None, false) => return Err(AnswerFault::Unframed),
    };
    if let Reading::Length(length) = reading {
        found.body.reserve_exact(length.min(1 << 20));
    }
    (found.told_length, found.bodiless) = (length, bodiless);
    found.raw = raw;
    Ok((found, reading))
}

impl Answer {
    fn line(
        &mut self, line: &httparse::Header, raw: &[u8], length: &mut Option<usize>, chunks: &mut bool,
    ) -> Result<(), AnswerFault> {
        let (name, value) = (line.name, line.value.trim_ascii());
        let is = |other: &str| name.eq_ignore_ascii_case(other);
        if is("content-length") {
            let told = read_length(value).ok_or(AnswerFault::Unframed)?;
            if length.replace(told).is_some() {
                return Err(AnswerFault::Unframed);
            }
        } else if is("transfer-encoding") {
            if *chunks || !value.eq_ignore_ascii_case(b"chunked") {
                return Err(AnswerFault::Unframed);
            }
            *chunks = true;
        } else if is("connection") {
            let text = from_utf8(value).unwrap_or_default();
            self.close |= text.split(',').any(|token| token.trim().eq_ignore_ascii_case("close"));
        } else if is("keep-alive") {
            self.kept = kept(from_utf8(value).unwrap_or_default());
        } else if is("x-request-id") {
            if self.id.replace(place_in(raw, value)).is_some() {
                return Err(AnswerFault::Malformed);
            }
        } else if is("x-not-run") {
            self.not_run = true;
        } else if !concerns_connection(name) {
            self.sealed |= is("x-server-seal") && !value.is_empty();
            self.encoded |= is("content-encoding") && !value.eq_ignore_ascii_case(b"identity");
            self.along.push(line_place(&place_in(raw, name.as_bytes()), &place_in(raw, value)));
        }
        Ok(())
    }

    fn id(&self) -> Option<&[u8]> {
        self.id.as_ref().and_then(|place| self.raw.get(place.clone()))
    }

    pub fn judge(&self, id: &str) -> Judgement {
        match self.status {
            _ if self.id().is_none() => Judgement::Void,
            _ if self.id() != Some(id.as_bytes()) => Judgement::Foreign,
            421 => Judgement::Elsewhere,
            200..=299 if self.sealed && !self.encoded && !self.not_run => Judgement::Good,
            200..=299 => Judgement::Void,
            _ if self.not_run => Judgement::NotRun,
            // Only its promise is missing: as the answer of a gateway it would make one.
            503 | 429 | 408 => Judgement::Void,
            500..=599 => Judgement::Failed,
            _ => Judgement::Plain,
        }
    }

    pub(crate) fn reason(&self) -> &[u8] {
        self.raw.get(self.reason.clone()).unwrap_or_default()
    }

    pub(crate) fn along(&self) -> impl Iterator<Item = &[u8]> {
        self.along.iter().filter_map(|line| self.raw.get(line.clone()))
    }
}

/// The time of a `Keep-Alive` line.
fn kept(value: &str) -> Option<Duration> {
    let mut parts = value.split(',').filter_map(|part| part.trim().split_once('='));
    let (_, time) = parts.find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"))?;
    time.trim().parse::<f64>().ok().filter(|s| (0.0..1e6).contains(s)).map(Duration::from_secs_f64)
}
