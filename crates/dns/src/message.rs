//! Queries and answers as bytes (RFC 1035, section 4; SRV: RFC 2782; EDNS: RFC 6891).

use crate::addresses::Family;
use hickory_proto::op::{Edns, Header, Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::{DNSClass, Name, RData, Record, RecordType};
use hickory_proto::serialize::binary::{BinDecodable, BinDecoder};
use std::net::IpAddr;

/// Largest answer over UDP that is asked for: it fits a datagram that is not cut up on the way (RFC 9715).
const UDP_PAYLOAD: u16 = 1232;
/// Longest chain of aliases that is followed.
const CHAIN: usize = 8;

/// How an answer came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Over {
    Udp,
    Tcp,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Srv,
    Address(Family),
}

impl Kind {
    fn record_type(self) -> RecordType {
        match self {
            Kind::Srv => RecordType::SRV,
            Kind::Address(Family::V4) => RecordType::A,
            Kind::Address(Family::V6) => RecordType::AAAA,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Question {
    pub name: Name,
    pub kind: Kind,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Srv {
    pub priority: u16,
    pub weight: u16,
    pub port: u16,
    pub target: Name,
}

/// What a message says to a question.
#[derive(Debug, PartialEq)]
pub enum Said {
    /// It is no answer to this question: forged, late or lost. `true`: not even readable.
    NotOurs(bool),
    Truncated,
    /// No such name or no such records, with the lifetime of that in seconds.
    Nothing {
        no_name: bool,
        lifetime: Option<u32>,
    },
    /// Another name has the records, and they are not in this answer.
    Elsewhere(Name),
    /// The server cannot or does not answer: its code, or one of `lame`, `wrong owner`, `alias loop`.
    Unusable(&'static str),
    /// It does not understand EDNS.
    NoEdns,
    TooLarge(usize),
    Records(Records),
}

#[derive(Debug, Default, PartialEq)]
pub struct Records {
    pub services: Vec<Srv>,
    pub addresses: Vec<IpAddr>,
    /// The shortest lifetime of the records and of the aliases that led to them, in seconds.
    pub lifetime: u32,
    /// The server answers for the zone itself: what it says is not out of a cache.
    pub authoritative: bool,
    /// Addresses of targets that came along, with their lifetimes.
    pub along: Vec<(Name, IpAddr, u32)>,
}

pub fn query(id: u16, question: &Question, edns: bool) -> Vec<u8> {
    let mut message = Message::new(id, MessageType::Query, OpCode::Query);
    message.metadata.recursion_desired = true;
    message.add_query(Query::query(question.name.clone(), question.kind.record_type()));
    if edns {
        let mut edns = Edns::new();
        edns.set_max_payload(UDP_PAYLOAD);
        message.set_edns(edns);
    }
    // A name that was parsed fits a message: there is nothing that could fail.
    message.to_vec().unwrap_or_default()
}

/// Reads what came as the answer to a question asked under this id.
pub fn read(bytes: &[u8], id: u16, question: &Question, over: Over, most: usize) -> Said {
    // Before anything is held for a count that was only declared: one question, and ours.
    let mut decoder = BinDecoder::new(bytes);
    let Ok(header) = Header::read(&mut decoder) else { return Said::NotOurs(true) };
    let asked = if header.counts.queries == 1 { Query::read(&mut decoder).ok() } else { None };
    let meta = &header.metadata;
    // A server that does not understand the query may leave the question out (RFC 6891, section 7).
    let bare = header.counts.queries == 0 && meta.response_code == ResponseCode::FormErr;
    let ours = asked.is_some_and(|q| {
        q.name == question.name
            && q.query_type == question.kind.record_type()
            && q.query_class == DNSClass::IN
    });
    if meta.id != id
        || meta.message_type != MessageType::Response
        || meta.op_code != OpCode::Query
        || !(ours || bare)
    {
        return Said::NotOurs(false);
    }
    match over {
        _ if !meta.truncation => {}
        Over::Udp => return Said::Truncated,
        // A set that does not fit the 65,535 bytes of any message: a part of it is none.
        Over::Tcp => return Said::Unusable("truncated answers over tcp"),
    }
    match meta.response_code {
        ResponseCode::NoError | ResponseCode::NXDomain => {}
        ResponseCode::FormErr | ResponseCode::NotImp => return Said::NoEdns,
        ResponseCode::ServFail => return Said::Unusable("SERVFAIL"),
        ResponseCode::Refused => return Said::Unusable("REFUSED"),
        _ => return Said::Unusable("an error code"),
    }
    let Ok(message) = Message::from_vec(bytes) else { return Said::NotOurs(true) };
    let count = message.answers.len() + message.additionals.len();
    if count > most {
        return Said::TooLarge(count);
    }
    answer(message, question)
}

fn answer(message: Message, question: &Question) -> Said {
    let (mut owner, mut lifetime) = (question.name.clone(), u32::MAX);
    let of_class = |r: &&Record| r.dns_class == DNSClass::IN;
    // Aliases first (RFC 1034, section 3.6.2): whatever order they stand in.
    let mut seen = vec![owner.clone()];
    loop {
        let aliases = message.answers.iter().filter(of_class).filter(|r| r.name == owner);
        let next = aliases
            .filter_map(|r| if let RData::CNAME(name) = &r.data { Some((&name.0, r.ttl)) } else { None })
            .next();
        let Some((alias, ttl)) = next else { break };
        if seen.len() > CHAIN || seen.contains(alias) {
            return Said::Unusable("alias loop");
        }
        (owner, lifetime) = (alias.clone(), lifetime.min(ttl));
        seen.push(owner.clone());
    }
    let mut records = Records { authoritative: message.metadata.authoritative, ..Records::default() };
    let mut any = false;
    for record in message.answers.iter().filter(of_class).filter(|r| r.name == owner) {
        match (&record.data, question.kind) {
            (RData::SRV(srv), Kind::Srv) => {
                let (priority, weight, port) = (srv.priority, srv.weight, srv.port);
                any = true;
                // The root as target: decidedly no such service here (RFC 2782).
                if !srv.target.is_root() {
                    records.services.push(Srv { priority, weight, port, target: srv.target.to_lowercase() });
                }
            }
            (RData::A(a), Kind::Address(Family::V4)) => {
                any = true;
                records.addresses.push(IpAddr::V4(a.0));
            }
            (RData::AAAA(a), Kind::Address(Family::V6)) => {
                any = true;
                records.addresses.push(IpAddr::V6(a.0));
            }
            _ => continue,
        }
        lifetime = lifetime.min(record.ttl);
    }
    if any {
        records.lifetime = lifetime;
        records.along = along(&message, question, &records.services);
        return Said::Records(records);
    }
    let soa = message.authorities.iter().find_map(|r| match &r.data {
        // RFC 2308, section 5.
        RData::SOA(soa) => Some(r.ttl.min(soa.minimum)),
        _ => None,
    });
    let no_name = message.metadata.response_code == ResponseCode::NXDomain;
    let referral = message.authorities.iter().any(|r| matches!(r.data, RData::NS(_)));
    if no_name || soa.is_some() || (message.answers.is_empty() && !referral) {
        return Said::Nothing { no_name, lifetime: soa };
    }
    if seen.len() > 1 {
        return Said::Elsewhere(owner);
    }
    Said::Unusable(if message.answers.is_empty() { "lame" } else { "wrong owner" })
}

/// Addresses that came along are believed only of targets in the service's own domain: another's could be
/// told by anyone (RFC 2181, section 5.4.1).
fn along(message: &Message, question: &Question, services: &[Srv]) -> Vec<(Name, IpAddr, u32)> {
    let labels = question.name.iter().take_while(|label| label.first() == Some(&b'_')).count();
    if usize::from(question.name.num_labels()) <= labels {
        return Vec::new();
    }
    let domain = question.name.trim_to(usize::from(question.name.num_labels()) - labels);
    let targets: std::collections::BTreeSet<&Name> = services.iter().map(|srv| &srv.target).collect();
    let address = |r: &Record| match &r.data {
        RData::A(a) => Some(IpAddr::V4(a.0)),
        RData::AAAA(a) => Some(IpAddr::V6(a.0)),
        _ => None,
    };
    let believed =
        message.additionals.iter().filter(|r| domain.zone_of(&r.name) && targets.contains(&r.name));
    believed.filter_map(|r| Some((r.name.to_lowercase(), address(r)?, r.ttl))).collect()
}

/// A query over TCP, with its length in front (RFC 1035, section 4.2.2). `None`: longer than can be told.
pub fn framed(message: &[u8]) -> Option<Vec<u8>> {
    let length = u16::try_from(message.len()).ok()?;
    Some([&length.to_be_bytes(), message].concat())
}

/// Whether a datagram is longer than any that was asked for.
pub fn oversize(bytes: usize) -> bool {
    bytes > usize::from(UDP_PAYLOAD)
}
