//! Bytes that have come and are not taken yet. Taking from the front costs what is taken, however much stands behind.

/// Bytes from the front of which parts are taken.
#[derive(Debug, Default)]
pub(crate) struct Unread {
    bytes: Vec<u8>,
    /// Bytes at the front that were taken.
    taken: usize,
}

impl Unread {
    pub fn push(&mut self, bytes: &[u8]) {
        self.compact();
        self.bytes.extend_from_slice(bytes);
    }

    pub fn as_slice(&self) -> &[u8] {
        self.bytes.get(self.taken..).unwrap_or_default()
    }

    pub fn len(&self) -> usize {
        self.bytes.len() - self.taken
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Lets so many bytes at the front go, or all if there are fewer.
    pub fn skip(&mut self, count: usize) {
        self.taken += count.min(self.len());
        if self.is_empty() {
            self.clear();
        }
    }

    /// Takes so many bytes from the front, or all if there are fewer.
    pub fn take(&mut self, count: usize) -> Vec<u8> {
        if self.taken == 0 && count >= self.bytes.len() {
            return std::mem::take(&mut self.bytes);
        }
        let part = self.as_slice().get(..count).unwrap_or(self.as_slice()).to_vec();
        self.skip(part.len());
        part
    }

    /// Moves so many bytes from the front behind `to`, or all if there are fewer.
    pub fn move_to(&mut self, to: &mut Vec<u8>, count: usize) {
        if to.is_empty() {
            *to = self.take(count);
            return;
        }
        let part = self.as_slice().get(..count).unwrap_or(self.as_slice());
        let length = part.len();
        to.extend_from_slice(part);
        self.skip(length);
    }

    pub fn clear(&mut self) {
        self.bytes = Vec::new();
        self.taken = 0;
    }

    /// What was taken is let go of once it is more than what is left: moving the rest costs less than was taken.
    fn compact(&mut self) {
        if self.taken > self.len() {
            self.bytes.drain(..self.taken);
            self.taken = 0;
        }
    }
}
