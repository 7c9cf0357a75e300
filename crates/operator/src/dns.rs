//! The part `dns`: which services name servers, and how name servers are asked.

use crate::fault::Faults;
use crate::reading::{Fields, address, count, domain, time, value, word};
use fallgap_dns::{Asking, Lifetimes};
use fallgap_sources::{Addressed, Mapping, NamedBy, ZoneBy};
use kdl::KdlNode;
use std::net::SocketAddr;
use std::time::Duration;

/// One SRV name, and how its records become servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// In lower case, without the final dot.
    pub name: String,
    pub mapping: Mapping,
}

/// Everything about DNS.
#[derive(Clone, Debug, PartialEq)]
pub struct NameServers {
    pub servers: Vec<SocketAddr>,
    pub services: Vec<Service>,
    pub lifetimes: Lifetimes,
    pub ask: Asking,
}

/// `None` where a needed node is missing or spoilt; that is a fault.
pub fn read(node: &KdlNode, faults: &mut Faults) -> Option<NameServers> {
    let (ms, day) = (Duration::from_millis(1), Duration::from_secs(86_400));
    let (lives, asks) = (Lifetimes::default(), Asking::default());
    let mut fields = Fields::of(node.children());
    let servers = fields.many("server", 16, faults, address(53));
    let blocks = fields.blocks("service", 64, faults);
    let services: Vec<Service> = blocks.iter().filter_map(|block| service(block, faults)).collect();
    for (i, block) in blocks.iter().enumerate() {
        let name = |node: &KdlNode| node.get(0).and_then(|v| v.as_string()).map(str::to_owned);
        if name(block).is_some() && blocks[..i].iter().any(|other| name(other) == name(block)) {
            faults.add(block.span(), "a service named before", "each service once");
        }
    }
    let lifetimes = Lifetimes {
        least: fields.one("lifetime-least", faults, time(ms * 10..=day)).unwrap_or(lives.least),
        most: fields.one("lifetime-most", faults, time(ms * 10..=day * 7)).unwrap_or(lives.most),
        most_negative: fields
            .one("negative-most", faults, time(ms * 10..=day))
            .unwrap_or(lives.most_negative),
    };
    let pause = (
        fields.one("pause-first", faults, time(ms..=day)).unwrap_or(asks.pause.0),
        fields.one("pause-longest", faults, time(ms..=day)).unwrap_or(asks.pause.1),
    );
    let ask = Asking {
        within: fields.one("within", faults, time(ms * 10..=ms * 60_000)).unwrap_or(asks.within),
        tries: fields.one("tries", faults, count(1..=32)).unwrap_or(asks.tries),
        pause,
        a_second: fields.one("queries-a-second", faults, count(1..=10_000)).unwrap_or(asks.a_second),
        records: fields.one("records", faults, count(1..=1_000_000)).unwrap_or(asks.records),
        in_flight: fields.one("in-flight", faults, count(1..=512)).unwrap_or(asks.in_flight),
    };
    fields.end(faults);
    let name = node.name().span();
    let order = [(lifetimes.least, lifetimes.most, "lifetime"), (pause.0, pause.1, "pause")];
    for (least, most, what) in order {
        if least > most {
            faults.add(name, format!("a least {what} over the longest"), "the least to be the smaller");
        }
    }
    if servers.is_empty() {
        faults.add(name, "dns without a name server", "at least one \"server\"");
    }
    if blocks.is_empty() {
        faults.add(name, "dns without a service", "at least one \"service\"");
    }
    Some(NameServers { servers, services, lifetimes, ask })
}

fn service(node: &KdlNode, faults: &mut Faults) -> Option<Service> {
    let name = value(node, faults, domain);
    let mut fields = Fields::of(node.children());
    let text = |value: &kdl::KdlValue| {
        let text = value.as_string().filter(|t| !t.is_empty()).map(str::to_owned);
        text.ok_or_else(|| "the name of a zone".to_owned())
    };
    let fixed = fields.one("zone", faults, text).map(ZoneBy::Fixed);
    let label = fields.one("zone-label", faults, count(1..=32)).map(ZoneBy::Label);
    let named_by = fields.one("id", faults, word(&NAMED_BY)).unwrap_or_default();
    let sized = fields.one("size", faults, word(&[("weight", true), ("none", false)])).unwrap_or(false);
    let addressed = fields.one("addresses", faults, word(&ADDRESSES)).unwrap_or_default();
    fields.end(faults);
    let zone = match (fixed, label) {
        (Some(zone), None) | (None, Some(zone)) => zone,
        (Some(_), Some(_)) => {
            faults.add(node.name().span(), "a service with both zone and zone-label", "one of them");
            return None;
        }
        (None, None) => {
            faults.add(node.name().span(), "a service without a zone", "\"zone\" or \"zone-label\"");
            return None;
        }
    };
    Some(Service { name: name?, mapping: Mapping { zone, named_by, sized, addressed } })
}

const NAMED_BY: [(&str, NamedBy); 3] =
    [("host", NamedBy::Host), ("target", NamedBy::Target), ("host-port", NamedBy::HostPort)];
const ADDRESSES: [(&str, Addressed); 3] =
    [("merged", Addressed::Merged), ("each", Addressed::Each), ("none", Addressed::None)];
