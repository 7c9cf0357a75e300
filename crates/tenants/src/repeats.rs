//! Orders that come again: an answer that was lost on its way makes its caller send the same order anew, perhaps to
//! another supervisor. It is known by its content, and told what the first one was told.

use crate::ledger::{Ledger, Place};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// The first half of the SHA-256 of an order of the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest([u8; 16]);

/// An order of the operator that was carried out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Taken {
    pub account: String,
    pub edition: u64,
    pub digest: Digest,
    /// How many places it touched.
    pub touched: u64,
}

/// An order of an office that its trail does not hold: it let it go, or nothing was altered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Made {
    pub office: String,
    pub idempotency_key: u64,
    pub edition: u64,
    /// How many places it touched.
    pub touched: u64,
}

/// What an office's change came to when it was made.
#[derive(Clone, Debug, PartialEq)]
pub struct Again {
    pub edition: u64,
    pub touched: usize,
    /// The places that it touched; the office's areas if they are not known any more.
    pub places: Vec<Place>,
}

/// What becomes of an order of the operator.
#[derive(Clone, Debug, PartialEq)]
pub enum Carried {
    /// This is to be kept.
    Out(Ledger),
    /// It was carried out before, and touched so many places.
    Again { touched: usize },
    /// A higher edition is held, and this one is not remembered: nothing changes.
    Overtaken { edition: u64 },
    /// Its edition was taken with other content. This one is not in force and never will be.
    Differs { edition: u64 },
}

impl Digest {
    /// Equal meaning, not equal bytes: what is left out and what is given as it is without are one.
    pub fn of(order: &impl Serialize) -> Digest {
        let bytes = postcard::to_stdvec(order).unwrap_or_default();
        let mut digest = [0; 16];
        digest.copy_from_slice(&Sha256::digest(bytes)[..16]);
        Digest(digest)
    }
}

/// Of an office's order: 64 bits of the SHA-256 of what it asks for and its body, byte for byte. The body names the
/// edition that it starts from, which a change that was made has left behind: the same body is the same order. It is
/// compared with the office's own newest changes only.
pub fn idempotency_key(verb: &str, body: &[u8]) -> u64 {
    let digest = Sha256::new().chain_update(verb).chain_update([0]).chain_update(body).finalize();
    digest.first_chunk().map_or(0, |bytes| u64::from_le_bytes(*bytes))
}
