//! Servers as known, found by name and by address. One server may have several names.

use crate::claim::{Claim, Kept};
use crate::rule::Course;
use fallgap::Listed;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Most names of one server; a further one is a server of its own.
const MOST_NAMES: usize = 16;

pub(crate) struct Node {
    /// The id under which it is told.
    pub id: String,
    names: Vec<String>,
    /// By source, in the order of their numbers.
    pub kept: Vec<(usize, Kept)>,
    pub first_seen: Duration,
    /// Start time as last told; a source that does not know keeps it.
    pub started: Option<Option<Duration>>,
    pub answered: Option<Duration>,
    pub told: Option<Listed>,
    /// `None` until it was judged first.
    pub course: Option<Course>,
    /// An offer of it is worn out: saying it again changes something.
    pub worn: bool,
    /// Where it is entered by rank: source and rank.
    pub places: Vec<(usize, u16)>,
    /// A source without ranks offers it.
    pub unranked: bool,
    /// Since when it is out; orders which are forgotten first.
    pub out_since: Duration,
}

impl Node {
    fn new(id: String, now: Duration) -> Node {
        Node {
            names: vec![id.clone()],
            id,
            kept: Vec::new(),
            first_seen: now,
            started: None,
            answered: None,
            told: None,
            course: None,
            worn: false,
            places: Vec::new(),
            unranked: false,
            out_since: now,
        }
    }
    pub fn by(&self, source: usize) -> Option<&Kept> {
        self.kept.iter().find(|(s, _)| *s == source).map(|(_, kept)| kept)
    }
    pub fn by_mut(&mut self, source: usize) -> Option<&mut Kept> {
        self.kept.iter_mut().find(|(s, _)| *s == source).map(|(_, kept)| kept)
    }
}

/// Which server a claim is about.
pub(crate) enum Found {
    Known(usize),
    /// Known under another name, and told under this one from now on.
    Renamed(usize),
    /// Known as a server of its own until its address was seen to be another's.
    Moved {
        from: usize,
        to: usize,
    },
    New,
}

#[derive(Default)]
pub(crate) struct Nodes {
    slots: Vec<Option<Node>>,
    free: Vec<usize>,
    names: HashMap<String, usize>,
    /// Each source's claim enters the server once for each address.
    addresses: HashMap<SocketAddr, Vec<usize>>,
}

impl Nodes {
    pub fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }
    pub fn get(&self, node: usize) -> Option<&Node> {
        self.slots.get(node).and_then(Option::as_ref)
    }
    pub fn get_mut(&mut self, node: usize) -> Option<&mut Node> {
        self.slots.get_mut(node).and_then(Option::as_mut)
    }
    pub fn named(&self, name: &str) -> Option<usize> {
        self.names.get(name).copied()
    }

    /// A name that is known is that server's. One that is not may still mean a server whose address it has,
    /// and that has not left it: a source whose names are ids makes it the server's id, another source adds
    /// it as a second name. `ids`: which sources' names are ids.
    pub fn find(&mut self, claim: &Claim, is_id: bool, ids: impl Fn(usize) -> bool) -> Found {
        let name = claim.server.as_str();
        let named = self.named(name);
        if let Some((node, known)) = named.and_then(|node| Some((node, self.get(node)?))) {
            let alias = known.id != name;
            if is_id {
                return if alias { Found::Renamed(node) } else { Found::Known(node) };
            }
            if !alias {
                let own = known.kept.iter().any(|(source, _)| ids(*source));
                return match self.at_address(claim).filter(|to| !own && self.precedes(*to, node, &ids)) {
                    Some(to) => Found::Moved { from: node, to },
                    None => Found::Known(node),
                };
            }
            let mut theirs = known.kept.iter().flat_map(|(_, kept)| &kept.addresses);
            if claim.addresses.is_empty() || theirs.any(|a| claim.addresses.contains(a)) {
                return Found::Known(node);
            }
            // A second name that has moved to another address is no name of this server any more.
            self.names.remove(name);
            self.slots[node].iter_mut().for_each(|n| n.names.retain(|held| held != name));
        }
        let Some(node) = self.at_address(claim) else { return Found::New };
        let Some(known) = self.get(node) else { return Found::New };
        // Two ids are two servers.
        let has_id = known.kept.iter().any(|(source, kept)| ids(*source) && kept.names());
        if known.names.len() >= MOST_NAMES || (is_id && has_id) {
            return Found::New;
        }
        if is_id { Found::Renamed(node) } else { Found::Known(node) }
    }

    /// The one server that has an address of a claim and has not left it.
    fn at_address(&self, claim: &Claim) -> Option<usize> {
        let at = claim.addresses.iter().filter_map(|address| self.addresses.get(address)).flatten();
        let stays = |node: &usize| self.get(*node).is_some_and(|n| n.course != Some(Course::Out));
        let mut nodes = at.copied().filter(stays);
        nodes.next().filter(|node| nodes.all(|other| other == *node))
    }

    /// Of two servers that turn out to be one: the one with an id stays, or else the one known first.
    fn precedes(&self, one: usize, other: usize, ids: impl Fn(usize) -> bool) -> bool {
        let known =
            |node| self.get(node).map(|n: &Node| (n.kept.iter().all(|(s, _)| !ids(*s)), n.first_seen, node));
        one != other && known(one) < known(other)
    }

    pub fn add(&mut self, id: &str, now: Duration) -> usize {
        let node = Node::new(id.to_owned(), now);
        let at = self.free.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        self.slots[at] = Some(node);
        self.names.insert(id.to_owned(), at);
        at
    }

    /// Makes sure that a server is found by a name.
    pub fn also_named(&mut self, node: usize, name: &str) {
        if self.names.get(name) != Some(&node)
            && let Some(known) = self.get_mut(node)
        {
            known.names.push(name.to_owned());
            self.names.insert(name.to_owned(), node);
        }
    }

    /// Notes where a source's claim puts a server.
    pub fn place(&mut self, node: usize, source: usize, addresses: Vec<SocketAddr>) {
        let Some(kept) = self.get_mut(node).and_then(|n| n.by_mut(source)) else { return };
        if kept.addresses == addresses {
            return;
        }
        let before = std::mem::replace(&mut kept.addresses, addresses.clone());
        self.leave(node, &before);
        for address in addresses {
            self.addresses.entry(address).or_default().push(node);
        }
    }

    fn leave(&mut self, node: usize, addresses: &[SocketAddr]) {
        for address in addresses {
            if let Some(nodes) = self.addresses.get_mut(address) {
                if let Some(at) = nodes.iter().position(|n| *n == node) {
                    nodes.swap_remove(at);
                }
                if nodes.is_empty() {
                    self.addresses.remove(address);
                }
            }
        }
    }

    /// Takes out what a source said of a server.
    pub fn unsay(&mut self, node: usize, source: usize) {
        self.place(node, source, Vec::new());
        self.slots[node].iter_mut().for_each(|n| n.kept.retain(|(s, _)| *s != source));
    }

    pub fn remove(&mut self, node: usize) {
        let Some(gone) = self.slots[node].take() else { return };
        for (_, kept) in &gone.kept {
            self.leave(node, &kept.addresses);
        }
        for name in &gone.names {
            self.names.remove(name);
        }
        self.free.push(node);
    }
}
