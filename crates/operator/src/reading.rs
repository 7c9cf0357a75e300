//! Reads nodes into typed values, with a fault for whatever is unknown, doubled, of the wrong type or out of
//! range.

use crate::fault::Faults;
use kdl::{KdlDocument, KdlNode, KdlValue};
use std::net::{IpAddr, SocketAddr};
use std::ops::RangeInclusive;
use std::time::Duration;

/// The nodes of one block. Whoever reads it names what it may hold; [`Fields::end`] faults the rest.
pub struct Fields<'a> {
    nodes: Vec<&'a KdlNode>,
    known: Vec<&'static str>,
}

impl<'a> Fields<'a> {
    pub fn of(block: Option<&'a KdlDocument>) -> Self {
        let nodes = block.map(|b| b.nodes().iter().collect()).unwrap_or_default();
        Fields { nodes, known: Vec::new() }
    }

    fn named(&mut self, name: &'static str) -> Vec<&'a KdlNode> {
        self.known.push(name);
        let (named, rest) = self.nodes.iter().partition(|node| node.name().value() == name);
        self.nodes = rest;
        named
    }

    /// The one node of that name; a second one is a fault.
    fn once(&mut self, name: &'static str, faults: &mut Faults) -> Option<&'a KdlNode> {
        let named = self.named(name);
        for doubled in named.iter().skip(1) {
            faults.add(doubled.name().span(), format!("a second \"{name}\""), "it once");
        }
        named.first().copied()
    }

    /// A node that holds other nodes and has no value of its own.
    pub fn part(&mut self, name: &'static str, faults: &mut Faults) -> Option<&'a KdlNode> {
        let node = self.once(name, faults)?;
        if let Some(entry) = node.entries().first() {
            faults.add(entry.span(), format!("{entry}").trim(), "nothing before the braces");
        }
        Some(node)
    }

    /// A node that may come again, with one value and nodes of its own.
    pub fn blocks(&mut self, name: &'static str, most: usize, faults: &mut Faults) -> Vec<&'a KdlNode> {
        let named = self.named(name);
        if let Some(over) = named.get(most) {
            faults.add(
                over.name().span(),
                format!("{} times \"{name}\"", named.len()),
                format!("at most {most}"),
            );
        }
        named
    }

    /// The value of a node that may come once.
    pub fn one<T>(
        &mut self, name: &'static str, faults: &mut Faults, read: impl Fn(&KdlValue) -> Result<T, String>,
    ) -> Option<T> {
        let node = self.once(name, faults)?;
        leaf(node, faults);
        value(node, faults, read)
    }

    /// The values of a node that may come several times.
    pub fn many<T>(
        &mut self, name: &'static str, most: usize, faults: &mut Faults,
        read: impl Fn(&KdlValue) -> Result<T, String>,
    ) -> Vec<T> {
        let nodes = self.blocks(name, most, faults);
        nodes.iter().for_each(|node| leaf(node, faults));
        nodes.iter().filter_map(|node| value(node, faults, &read)).collect()
    }

    pub fn end(self, faults: &mut Faults) {
        let known = self.known.join(", ");
        for node in self.nodes {
            faults.add(node.name().span(), format!("\"{}\"", node.name().value()), format!("one of {known}"));
        }
    }
}

/// A node with values alone.
fn leaf(node: &KdlNode, faults: &mut Faults) {
    if let Some(block) = node.children() {
        faults.add(block.span(), "braces", format!("\"{}\" to have a value alone", node.name().value()));
    }
}

/// The one value of a node; named ones and further ones are faults.
pub fn value<T>(
    node: &KdlNode, faults: &mut Faults, read: impl Fn(&KdlValue) -> Result<T, String>,
) -> Option<T> {
    let name = node.name().value();
    let (plain, named): (Vec<_>, Vec<_>) = node.entries().iter().partition(|e| e.name().is_none());
    for entry in named {
        faults.add(entry.span(), format!("{entry}").trim(), format!("a plain value after \"{name}\""));
    }
    for entry in plain.iter().skip(1) {
        faults.add(entry.span(), format!("{entry}").trim(), format!("one value after \"{name}\""));
    }
    let Some(entry) = plain.first() else {
        faults.add(node.name().span(), format!("\"{name}\" without a value"), "one");
        return None;
    };
    match read(entry.value()) {
        Ok(value) => Some(value),
        Err(expected) => {
            faults.add(entry.span(), entry.value().to_string(), expected);
            None
        }
    }
}

/// A time in words with their units, as `1m 30s`.
pub fn time_in_words(text: &str) -> Option<Duration> {
    humantime::parse_duration(text.trim()).ok()
}

/// A time as text with its units, as `"1m 30s"`.
pub fn time(within: RangeInclusive<Duration>) -> impl Fn(&KdlValue) -> Result<Duration, String> {
    move |value| {
        let read = value.as_string().and_then(time_in_words);
        read.filter(|time| within.contains(time)).ok_or_else(|| {
            let [least, most] =
                [within.start(), within.end()].map(|t| humantime::format_duration(*t).to_string());
            format!("a time from \"{least}\" to \"{most}\", with its unit")
        })
    }
}

pub fn count(within: RangeInclusive<usize>) -> impl Fn(&KdlValue) -> Result<usize, String> {
    move |value| {
        let read = value.as_integer().and_then(|n| usize::try_from(n).ok());
        let expected = || format!("a whole number from {} to {}", within.start(), within.end());
        read.filter(|n| within.contains(n)).ok_or_else(expected)
    }
}

pub fn share(value: &KdlValue) -> Result<f64, String> {
    let read = value.as_float().or_else(|| value.as_integer().map(|n| n as f64));
    read.filter(|share| (0.0..=1.0).contains(share)).ok_or_else(|| "a share from 0.0 to 1.0".into())
}

pub fn flag(value: &KdlValue) -> Result<bool, String> {
    value.as_bool().ok_or_else(|| "#true or #false".into())
}

/// An address in words, with a port of its own or the usual one.
pub fn address_in_words(text: &str, port: u16) -> Option<SocketAddr> {
    text.parse().ok().or_else(|| Some(SocketAddr::new(text.parse::<IpAddr>().ok()?, port)))
}

/// An address, with a port of its own or the usual one.
pub fn address(port: u16) -> impl Fn(&KdlValue) -> Result<SocketAddr, String> {
    move |value| {
        let read = value.as_string().and_then(|text| address_in_words(text, port));
        read.ok_or_else(|| format!("an address as \"127.0.0.53\" or \"127.0.0.53:{port}\""))
    }
}

/// A domain name (RFC 1035, section 2.3.4), in lower case and without the final dot.
pub fn domain(value: &KdlValue) -> Result<String, String> {
    let text = value.as_string().unwrap_or_default();
    let name = text.strip_suffix('.').unwrap_or(text);
    let letter = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    let label = |l: &str| (1..=63).contains(&l.len()) && l.chars().all(letter);
    if name.len() <= 253 && name.split('.').all(label) {
        Ok(name.to_ascii_lowercase())
    } else {
        Err("a domain name as \"_store._tcp.example.org\"".into())
    }
}

/// One of some words.
pub fn word<T: Copy>(words: &'static [(&'static str, T)]) -> impl Fn(&KdlValue) -> Result<T, String> {
    move |value| {
        let text = value.as_string().unwrap_or_default();
        let found = words.iter().find(|(word, _)| *word == text).map(|(_, means)| *means);
        let all = || words.iter().map(|(word, _)| format!("\"{word}\"")).collect::<Vec<_>>().join(", ");
        found.ok_or_else(|| format!("one of {}", all()))
    }
}
