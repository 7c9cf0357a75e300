//! RESP2 arrays of bulk strings. Bytes may come in any pieces; memory grows with what came, never with a
//! length that was only declared.

use std::fmt::Write;

/// What stands at the place that is read now.
enum Awaits {
    /// `*N`
    Count,
    /// `$N`
    Length,
    /// That many bytes, line end included.
    Word(usize),
}

pub struct Decoder {
    awaits: Awaits,
    line: Vec<u8>,
    word: Vec<u8>,
    words: Vec<String>,
    left: usize,
    size: usize,
    most_bytes: usize,
    most_words: usize,
}

/// Why a connection cannot be read on.
#[derive(Debug, PartialEq)]
pub enum Unreadable {
    NotResp,
    TooLong,
}

impl Decoder {
    pub fn new(most_bytes: usize, most_words: usize) -> Self {
        let (line, word, words) = (Vec::new(), Vec::new(), Vec::new());
        Decoder { awaits: Awaits::Count, line, word, words, left: 0, size: 0, most_bytes, most_words }
    }

    /// From now on messages may be that long.
    pub fn allow(&mut self, most_bytes: usize) {
        self.most_bytes = most_bytes;
    }

    /// Whether a message has begun that has not ended.
    pub fn amid(&self) -> bool {
        !matches!(self.awaits, Awaits::Count) || !self.line.is_empty()
    }

    /// Takes in bytes up to the end of one message at most: what is left of them, and the message.
    pub fn feed<'a>(&mut self, mut bytes: &'a [u8]) -> Result<(&'a [u8], Option<Vec<String>>), Unreadable> {
        while let Some(byte) = bytes.first() {
            if let Awaits::Word(missing) = self.awaits {
                let (taken, rest) = bytes.split_at(missing.min(bytes.len()));
                self.word.extend_from_slice(taken);
                bytes = rest;
                self.awaits = Awaits::Word(missing - taken.len());
                if missing == taken.len() && self.word_ends()? {
                    return Ok((bytes, Some(std::mem::take(&mut self.words))));
                }
                continue;
            }
            self.line.push(*byte);
            bytes = &bytes[1..];
            if *byte == b'\n' {
                self.line_ends()?;
            } else if self.line.len() > 16 {
                return Err(Unreadable::NotResp);
            }
        }
        Ok((bytes, None))
    }

    fn line_ends(&mut self) -> Result<(), Unreadable> {
        let line = std::mem::take(&mut self.line);
        let digits = line.get(1..).and_then(|l| l.strip_suffix(b"\r\n")).unwrap_or_default();
        let number = std::str::from_utf8(digits).ok().and_then(|d| d.parse::<usize>().ok());
        match (&self.awaits, line[0], number) {
            (Awaits::Count, b'*', Some(n)) if n > self.most_words => Err(Unreadable::TooLong),
            (Awaits::Count, b'*', Some(n)) => {
                (self.left, self.size) = (n, line.len());
                // An empty array says nothing.
                self.awaits = if n > 0 { Awaits::Length } else { Awaits::Count };
                Ok(())
            }
            (Awaits::Length, b'$', Some(n)) => {
                self.size = self.size.saturating_add(line.len()).saturating_add(n);
                if self.size > self.most_bytes {
                    return Err(Unreadable::TooLong);
                }
                self.awaits = Awaits::Word(n + 2);
                Ok(())
            }
            _ => Err(Unreadable::NotResp),
        }
    }

    /// Tells whether the message ends with it.
    fn word_ends(&mut self) -> Result<bool, Unreadable> {
        let word = std::mem::take(&mut self.word);
        let word = word.strip_suffix(b"\r\n").ok_or(Unreadable::NotResp)?;
        self.words.push(String::from_utf8_lossy(word).into_owned());
        self.left -= 1;
        self.awaits = if self.left > 0 { Awaits::Length } else { Awaits::Count };
        Ok(self.left == 0)
    }
}

pub fn encode(words: &[&str]) -> Vec<u8> {
    let mut text = format!("*{}\r\n", words.len());
    for word in words {
        let _ = write!(text, "${}\r\n{word}\r\n", word.len());
    }
    text.into_bytes()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn all(decoder: &mut Decoder, mut bytes: &[u8]) -> Result<Vec<Vec<String>>, Unreadable> {
        let mut messages = Vec::new();
        while !bytes.is_empty() {
            let (rest, message) = decoder.feed(bytes)?;
            messages.extend(message);
            bytes = rest;
        }
        Ok(messages)
    }

    /// Guards against messages that come in pieces, or several at once.
    #[test]
    fn any_pieces_make_the_same_messages() {
        let bytes = [encode(&["ping"]), encode(&["collector", "zone", "a\r\n"]), encode(&["", "x"])].concat();
        let whole = all(&mut Decoder::new(100, 10), &bytes).unwrap();
        assert_eq!(whole, [vec!["ping"], vec!["collector", "zone", "a\r\n"], vec!["", "x"]]);
        for size in 1..bytes.len() {
            let mut decoder = Decoder::new(100, 10);
            let pieces: Vec<_> = bytes.chunks(size).flat_map(|c| all(&mut decoder, c).unwrap()).collect();
            assert_eq!(pieces, whole, "in pieces of {size}");
        }
    }

    /// Guards against lengths that are absurd, and against what is no RESP2 at all.
    #[test]
    fn strange_bytes_are_refused_at_once() {
        let refused = |bytes: &[u8]| all(&mut Decoder::new(64, 4), bytes).unwrap_err();
        for text in ["*5\r\n", "*2\r\n$99\r\n", "*1\r\n$9999999999\r\n", "*2\r\n$40\r\n"] {
            let mut text = text.as_bytes().to_vec();
            if text.starts_with(b"*2\r\n$40") {
                text.extend([b'x'; 40]);
                text.extend(b"\r\n$40\r\n");
            }
            assert_eq!(refused(&text), Unreadable::TooLong);
        }
        let long = [b'*'; 20];
        for bytes in
            [&b"GET / HTTP/1.1\r\n"[..], b"*-1\r\n", b"*x\r\n", b"*1\r\n:5\r\n", b"*1\r\n$1\r\nabc", &long]
        {
            assert_eq!(refused(bytes), Unreadable::NotResp, "{}", String::from_utf8_lossy(bytes));
        }
    }
}
