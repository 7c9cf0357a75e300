//! The configuration: the highest edition holds, and an edition has one content. The value is the edition, eight bytes,
//! then the body, then what is remembered of those that were overtaken (`taken`).
//!
//! The accounts stand as edition and body alone, with a revision that rises by one with each put.

use crate::fault::{self, Fault};
use crate::subjects::Verdict;
use crate::subjects::taken::{Digest, Taken};
use crate::types::Answer;

/// The edition that is held, or the revision of the accounts.
pub fn config_edition(held: Option<&[u8]>) -> Option<u64> {
    held?.first_chunk::<8>().map(|edition| u64::from_le_bytes(*edition))
}

/// The configuration that is held, as it was put.
pub fn config_body(held: Option<&[u8]>) -> Option<&[u8]> {
    accounts_body(held).map(|rest| Taken::split(rest).0)
}

/// The accounts that are held, as they were put.
pub fn accounts_body(held: Option<&[u8]>) -> Option<&[u8]> {
    held?.get(8..)
}

/// Above the edition held: written. Content that was acknowledged under its edition: acknowledged again, whoever has
/// overtaken it. Other content under such an edition: refused. An older edition under which nothing came yet is
/// acknowledged and changes nothing but what is remembered; one before all that is remembered changes nothing at all.
pub(super) fn put(edition: u64, body: &[u8], held: Option<&[u8]>, most: usize) -> Verdict {
    if body.len() > most {
        return Verdict::busy();
    }
    let write = |edition, body: &[u8], taken: &Taken| Verdict::Write {
        value: value(edition, body, taken),
        answer: Answer::Done,
    };
    let Some(held) = held else { return write(edition, body, &Taken::default()) };
    let (Some(present), Some(rest)) = (config_edition(Some(held)), accounts_body(Some(held))) else {
        return Verdict::busy();
    };
    let (content, taken) = Taken::split(rest);
    let mut taken = taken.unwrap_or_else(|| Taken::from(present));
    if edition > present || fault::is(Fault::EditionFalls) {
        if !fault::is(Fault::TakenForgotten) {
            taken.remember(present, Digest::of(content));
        }
        return write(edition, body, &taken);
    }
    let same = if edition == present {
        content == body || fault::is(Fault::ContentNotAsked)
    } else if edition < taken.from || fault::is(Fault::TakenForgotten) {
        true
    } else {
        let digest = Digest::of(body);
        let Some(known) = taken.get(edition) else {
            taken.remember(edition, digest);
            return write(present, content, &taken);
        };
        known == digest
    };
    Verdict::Answer(if same { Answer::Done } else { Answer::Differs { edition: present } })
}

fn value(edition: u64, body: &[u8], taken: &Taken) -> Vec<u8> {
    let mut value = numbered(edition, body);
    taken.append(&mut value);
    value
}

/// Written only over the revision that it was made from. One that comes again, with nothing written since, is told
/// its first revision.
pub(super) fn swap(base: u64, body: &[u8], held: Option<&[u8]>, most: usize) -> Verdict {
    if body.len() > most || (held.is_some() && config_edition(held).is_none()) {
        return Verdict::busy();
    }
    let present = config_edition(held).unwrap_or(0);
    let Some(next) = base.checked_add(1) else { return Verdict::busy() };
    if present == next && accounts_body(held) == Some(body) {
        return Verdict::Answer(Answer::Revision(next));
    }
    if present != base {
        return Verdict::Answer(Answer::Conflict { revision: present });
    }
    Verdict::Write { value: numbered(next, body), answer: Answer::Revision(next) }
}

fn numbered(number: u64, body: &[u8]) -> Vec<u8> {
    let mut value = Vec::with_capacity(8 + body.len());
    value.extend_from_slice(&number.to_le_bytes());
    value.extend_from_slice(body);
    value
}

pub(super) fn get(held: Option<&[u8]>) -> Verdict {
    got(held, config_body(held))
}

pub(super) fn accounts(held: Option<&[u8]>) -> Verdict {
    got(held, accounts_body(held))
}

fn got(held: Option<&[u8]>, body: Option<&[u8]>) -> Verdict {
    match (held, body) {
        (None, _) => Verdict::Answer(Answer::Missing),
        (Some(_), Some(body)) => Verdict::Answer(Answer::Config(body.to_vec())),
        (Some(_), None) => Verdict::busy(),
    }
}
