//! A register's value: bytes that many hold at once.

use std::fmt;
use std::sync::Arc;

use serde::de::{SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Bytes held in common; written and read as one piece, not byte by byte.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct Value(pub Arc<[u8]>);

impl Value {
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }
}

impl From<Vec<u8>> for Value {
    fn from(bytes: Vec<u8>) -> Self {
        Value(bytes.into())
    }
}

impl fmt::Debug for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Value({} bytes)", self.0.len())
    }
}

impl Serialize for Value {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Value {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_bytes(Bytes)
    }
}

struct Bytes;

impl<'de> Visitor<'de> for Bytes {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("bytes")
    }

    fn visit_bytes<E>(self, bytes: &[u8]) -> Result<Value, E> {
        Ok(Value(bytes.into()))
    }

    fn visit_byte_buf<E>(self, bytes: Vec<u8>) -> Result<Value, E> {
        Ok(Value(bytes.into()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut parts: A) -> Result<Value, A::Error> {
        let mut bytes = Vec::new();
        while let Some(byte) = parts.next_element()? {
            bytes.push(byte);
        }
        Ok(Value(bytes.into()))
    }
}
