//! A request's head, read strictly: what two readers could understand in two ways is refused.

use crate::request::Refusal;
use std::ops::Range;
use std::str::from_utf8;
use std::time::Duration;

/// Lines of a head. More are refused as too long.
const LINES: usize = 100;

/// How the end of a body is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    None,
    Length(usize),
    Chunks,
}

/// Lines that a request must have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Required {
    HostAndId,
    Nothing,
}

#[derive(Clone, Debug)]
pub struct Head {
    raw: Vec<u8>,
    method: Range<usize>,
    target: Range<usize>,
    host: Range<usize>,
    id: Range<usize>,
    /// Lines that go along to the server, without their ends.
    along: Vec<Range<usize>>,
    pub framing: Framing,
    /// What the client says that it will wait.
    pub wait: Option<Duration>,
    /// The client wants the connection kept.
    pub keep: bool,
    /// The client waits for a word before it sends the body.
    pub expects: bool,
}

/// Where the end of a head lies, if it is there: all its lines end with both signs. `seen`: up to where was looked
/// before.
pub(crate) fn head_end(bytes: &[u8], seen: usize) -> Result<Option<usize>, ()> {
    let mut at = seen;
    while let Some(next) = bytes.get(at..).and_then(|rest| rest.iter().position(|byte| *byte == b'\n')) {
        let line_end = at + next;
        if line_end == 0 || bytes.get(line_end - 1) != Some(&b'\r') {
            return Err(());
        }
        if line_end >= 3 && bytes.get(line_end - 3..=line_end) == Some(b"\r\n\r\n") {
            return Ok(Some(line_end + 1));
        }
        at = line_end + 1;
    }
    Ok(None)
}

impl Head {
    /// `raw`: up to the empty line and with it.
    pub(crate) fn read(raw: Vec<u8>, required: Required) -> Result<Head, Refusal> {
        let mut lines = [httparse::EMPTY_HEADER; LINES];
        let mut parsed = httparse::Request::new(&mut lines);
        match parsed.parse(&raw) {
            Ok(httparse::Status::Complete(used)) if used == raw.len() => {}
            Err(httparse::Error::TooManyHeaders) => return Err(Refusal::HeadTooLong),
            _ => return Err(Refusal::Malformed),
        }
        if carriage_alone(&raw) {
            return Err(Refusal::Malformed);
        }
        let (Some(method), Some(target), Some(version)) = (parsed.method, parsed.path, parsed.version) else {
            return Err(Refusal::Malformed);
        };
        if !target_is_plain(target) || matches!(method, "CONNECT" | "TRACE") {
            return Err(Refusal::Malformed);
        }
        let place = |part: &[u8]| place_in(&raw, part);
        let mut found = Found::default();
        for line in parsed.headers.iter() {
            found.line(line, &raw)?;
        }
        let (host, id) = (found.host.take(), found.id.take());
        if required == Required::HostAndId && (host.is_none() || id.is_none()) {
            return Err(Refusal::Malformed);
        }
        let (host, id) = (host.unwrap_or_default(), id.unwrap_or_default());
        let old = version == 0;
        let framing = found.framing(old)?;
        let (method, target) = (place(method.as_bytes()), place(target.as_bytes()));
        let keep = !found.close && !old;
        let (wait, expects) = (found.wait, found.expects && !old && framing != Framing::None);
        let mut along = found.along;
        along.retain(|(name, _)| !found.named.iter().any(|named| named.eq_ignore_ascii_case(name)));
        let along = along.into_iter().map(|(_, line)| line).collect();
        Ok(Head { method, target, host, id, along, framing, wait, keep, expects, raw })
    }

    fn text(&self, place: &Range<usize>) -> &str {
        self.raw.get(place.clone()).and_then(|part| from_utf8(part).ok()).unwrap_or_default()
    }

    pub fn method(&self) -> &str {
        self.text(&self.method)
    }

    pub fn is_head(&self) -> bool {
        self.method() == "HEAD"
    }

    pub fn target(&self) -> &str {
        self.text(&self.target)
    }

    /// The target without its query.
    pub fn path(&self) -> &str {
        let target = self.target();
        target.split_once('?').map_or(target, |(path, _)| path)
    }

    pub fn host(&self) -> &str {
        self.text(&self.host)
    }

    pub fn id(&self) -> &str {
        self.text(&self.id)
    }

    /// The value of a line that goes along and stands there once. Two of the name are no value.
    pub fn only_line(&self, name: &str) -> Option<&str> {
        let lines = self.along().filter_map(|line| from_utf8(line).ok()?.split_once(':'));
        let mut found = lines.filter(|(key, _)| key.eq_ignore_ascii_case(name));
        let (_, value) = found.next()?;
        found.next().is_none().then(|| value.trim())
    }

    /// Whether a line of that name goes along.
    pub fn has_line(&self, name: &str) -> bool {
        self.line(name).is_some()
    }

    /// The value of a line that goes along, trimmed; the first of that name.
    pub fn line(&self, name: &str) -> Option<&str> {
        let lines = self.along().filter_map(|line| from_utf8(line).ok()?.split_once(':'));
        lines.into_iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim())
    }

    pub(crate) fn along(&self) -> impl Iterator<Item = &[u8]> {
        self.along.iter().filter_map(|line| self.raw.get(line.clone()))
    }
}

/// What the lines of a head say.
#[derive(Default)]
struct Found<'a> {
    host: Option<Range<usize>>,
    id: Option<Range<usize>>,
    length: Option<usize>,
    chunks: bool,
    wait: Option<Duration>,
    close: bool,
    expects: bool,
    named: Vec<&'a str>,
    along: Vec<(&'a str, Range<usize>)>,
}

impl<'a> Found<'a> {
    fn line(&mut self, line: &httparse::Header<'a>, raw: &[u8]) -> Result<(), Refusal> {
        let (name, value) = (line.name, line.value.trim_ascii());
        let (place, name_place) = (place_in(raw, value), place_in(raw, name.as_bytes()));
        let is = |other: &str| name.eq_ignore_ascii_case(other);
        if is("host") {
            once(&mut self.host, place.clone(), value)?;
            if value
                .iter()
                .any(|byte| !byte.is_ascii_graphic() || matches!(byte, b'/' | b'@' | b',' | b'?' | b'#'))
            {
                return Err(Refusal::Malformed);
            }
        } else if is("x-request-id") {
            once(&mut self.id, place, value)?;
            return if value.iter().all(u8::is_ascii_graphic) { Ok(()) } else { Err(Refusal::Malformed) };
        } else if is("content-length") {
            let length = read_length(value).ok_or(Refusal::Malformed)?;
            if self.length.replace(length).is_some() {
                return Err(Refusal::Malformed);
            }
        } else if is("transfer-encoding") {
            if self.chunks || !value.eq_ignore_ascii_case(b"chunked") {
                return Err(Refusal::Malformed);
            }
            self.chunks = true;
        } else if is("connection") {
            self.connection(from_utf8(line.value).map_err(|_| Refusal::Malformed)?);
        } else if is("x-deadline-ms") {
            let ms = from_utf8(value).ok().and_then(|text| text.parse::<f64>().ok());
            let ms = ms.filter(|ms| (0.0..1e9).contains(ms));
            self.wait = ms.map(|ms| Duration::from_micros((ms * 1e3) as u64)).or(self.wait);
        } else if is("expect") {
            self.expects = value.eq_ignore_ascii_case(b"100-continue");
        } else if !is("x-expect-server") && !concerns_connection(name) {
            self.along.push((name, line_place(&name_place, &place)));
        }
        Ok(())
    }

    fn connection(&mut self, value: &'a str) {
        for token in value.split(',').map(str::trim) {
            if token.eq_ignore_ascii_case("close") {
                self.close = true;
            } else if !token.is_empty() {
                self.named.push(token);
            }
        }
    }

    fn framing(&self, old: bool) -> Result<Framing, Refusal> {
        match (self.length, self.chunks) {
            (Some(_), true) => Err(Refusal::Malformed),
            (None, true) if old => Err(Refusal::Malformed),
            (None, true) => Ok(Framing::Chunks),
            (Some(length), false) => Ok(Framing::Length(length)),
            (None, false) => Ok(Framing::None),
        }
    }
}

/// A line that may be there only once, and not empty.
fn once(place: &mut Option<Range<usize>>, found: Range<usize>, value: &[u8]) -> Result<(), Refusal> {
    if value.is_empty() || place.replace(found).is_some() { Err(Refusal::Malformed) } else { Ok(()) }
}

/// Names of lines that concern one connection only.
pub(crate) fn concerns_connection(name: &str) -> bool {
    const NAMES: [&str; 7] =
        ["connection", "keep-alive", "te", "trailer", "transfer-encoding", "upgrade", "http2-settings"];
    let proxy = name.get(..6).is_some_and(|start| start.eq_ignore_ascii_case("proxy-"));
    proxy || NAMES.iter().any(|other| name.eq_ignore_ascii_case(other))
}

/// A length in digits alone.
pub(crate) fn read_length(value: &[u8]) -> Option<usize> {
    let digits = !value.is_empty() && value.len() <= 15 && value.iter().all(u8::is_ascii_digit);
    digits.then(|| from_utf8(value).ok()?.parse().ok()).flatten()
}

/// Begins with a slash and holds only signs that need no telling apart.
fn target_is_plain(target: &str) -> bool {
    target.starts_with('/') && target.bytes().all(|byte| byte.is_ascii_graphic() && byte != b'#')
}

pub(crate) fn carriage_alone(raw: &[u8]) -> bool {
    raw.iter().enumerate().any(|(at, byte)| *byte == b'\r' && raw.get(at + 1) != Some(&b'\n'))
}

/// From a line's name to the end of its value, which may be empty.
pub(crate) fn line_place(name: &Range<usize>, value: &Range<usize>) -> Range<usize> {
    name.start..if value.is_empty() { name.end + 1 } else { value.end }
}

/// Where a part of `raw` lies in it.
pub(crate) fn place_in(raw: &[u8], part: &[u8]) -> Range<usize> {
    let start = (part.as_ptr() as usize).saturating_sub(raw.as_ptr() as usize).min(raw.len());
    start..(start + part.len()).min(raw.len())
}
