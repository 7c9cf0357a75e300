//! Keys of offices, kept as hashes. A key is drawn, long and never a word that somebody chose, so one round of a plain
//! hash hides it as well as many would.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;

/// SHA-256 of a key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    pub fn of(key: &str) -> KeyHash {
        KeyHash(Sha256::digest(key.as_bytes()).into())
    }

    /// From 64 hexadecimal digits.
    pub fn read(text: &str) -> Option<KeyHash> {
        let bytes = text.as_bytes();
        if bytes.len() != 64 {
            return None;
        }
        let mut hash = [0; 32];
        for (byte, pair) in hash.iter_mut().zip(bytes.chunks_exact(2)) {
            let digit = |at: usize| char::from(*pair.get(at)?).to_digit(16);
            *byte = u8::try_from(digit(0)? * 16 + digit(1)?).ok()?;
        }
        Some(KeyHash(hash))
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyHash({self})")
    }
}
