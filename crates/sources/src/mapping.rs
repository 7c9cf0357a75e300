//! How SRV records (RFC 2782) become claims: owner, target, port, priority and weight as id, zone, size and
//! rank.

use crate::claim::{Age, Claim};
use fallgap::ServerState;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

/// One SRV record and the addresses of its target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    pub priority: u16,
    pub weight: u16,
    pub port: u16,
    /// In lower case, without the final dot.
    pub target: String,
    pub addresses: Vec<IpAddr>,
}

/// How a server's id is made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum NamedBy {
    /// The first label of the target: `store3` for `store3.linz.example.org`.
    #[default]
    Host,
    /// The whole target.
    Target,
    /// The first label and the port: `store3:8443`.
    HostPort,
}

/// Which addresses of a target count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Addressed {
    /// All; a target with several is one server.
    #[default]
    Merged,
    /// Each is a server of its own: `store3@10.0.0.7`.
    Each,
    /// None: a target is known by its name alone.
    None,
}

/// The zone of a service's servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ZoneBy {
    Fixed(String),
    /// The label at this place of the target, counted from 1 on the left.
    Label(usize),
}

/// How the records of one service become servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mapping {
    pub zone: ZoneBy,
    pub named_by: NamedBy,
    /// Whether weights are sizes.
    pub sized: bool,
    pub addressed: Addressed,
}

impl Mapping {
    /// Whether the addresses of targets have to be known.
    pub fn wants_addresses(&self) -> bool {
        self.addressed != Addressed::None
    }

    /// One claim a server, in the order of names, and how many records were skipped: those in no zone that
    /// `zone` knows, and those whose target has no known address though it is wanted, since it cannot be told
    /// yet which server that is. Of records that mean the same server the one of the best priority counts.
    pub fn claims(&self, records: &[Record], zone: impl Fn(&str) -> Option<usize>) -> (Vec<Claim>, usize) {
        let mut claims: BTreeMap<String, Claim> = BTreeMap::new();
        let mut skipped = 0;
        for record in records {
            let label = |place: usize| record.target.split('.').nth(place - 1).unwrap_or_default();
            let named = match &self.zone {
                ZoneBy::Fixed(name) => zone(name),
                ZoneBy::Label(place) => zone(label(*place)),
            };
            let unplaced = self.wants_addresses() && record.addresses.is_empty();
            let Some(zone) = named.filter(|_| !unplaced) else {
                skipped += 1;
                continue;
            };
            let name = match self.named_by {
                NamedBy::Host => label(1).to_owned(),
                NamedBy::Target => record.target.clone(),
                NamedBy::HostPort => format!("{}:{}", label(1), record.port),
            };
            let at: Vec<SocketAddr> =
                record.addresses.iter().map(|ip| SocketAddr::new(*ip, record.port)).collect();
            let servers = match self.addressed {
                Addressed::Merged => vec![(name, at)],
                Addressed::Each => at.iter().map(|a| (format!("{name}@{}", a.ip()), vec![*a])).collect(),
                Addressed::None => vec![(name, Vec::new())],
            };
            for (server, addresses) in servers {
                // RFC 2782: a weight of 0 has a very small chance beside larger ones, and says nothing alone.
                let size = self.sized.then_some(f64::from(record.weight.max(1)));
                let claim = Claim {
                    server: server.clone(),
                    state: ServerState::Ready,
                    zone,
                    size,
                    age: Age::Unknown,
                    rank: Some(record.priority),
                    addresses,
                };
                let held = claims.entry(server).or_insert_with(|| claim.clone());
                if held.rank > claim.rank {
                    *held = claim;
                }
            }
        }
        (claims.into_values().collect(), skipped)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn record(priority: u16, weight: u16, port: u16, target: &str, addresses: &[&str]) -> Record {
        let addresses = addresses.iter().map(|a| a.parse().unwrap()).collect();
        Record { priority, weight, port, target: target.into(), addresses }
    }

    fn zone(name: &str) -> Option<usize> {
        ["leoben", "linz"].iter().position(|z| *z == name)
    }

    fn mapping(named_by: NamedBy, addressed: Addressed) -> Mapping {
        Mapping { zone: ZoneBy::Label(2), named_by, sized: true, addressed }
    }

    #[test]
    fn records_become_servers() {
        let records = [
            record(10, 0, 8443, "store3.linz.example.org", &["10.0.0.3", "fd00::3"]),
            record(20, 60, 8443, "store4.leoben.example.org", &["10.0.0.4"]),
            record(10, 1, 8443, "store5.graz.example.org", &["10.0.0.5"]),
            record(10, 1, 8443, "store6.linz.example.org", &[]),
        ];
        let (claims, skipped) = mapping(NamedBy::Host, Addressed::Merged).claims(&records, zone);
        let told: Vec<_> = claims.iter().map(|c| (c.server.as_str(), c.zone, c.size, c.rank)).collect();
        assert_eq!(told, [("store3", 1, Some(1.0), Some(10)), ("store4", 0, Some(60.0), Some(20))]);
        assert_eq!((claims[0].addresses.len(), skipped), (2, 2));
        let (claims, _) = mapping(NamedBy::Target, Addressed::None).claims(&records[..1], zone);
        assert_eq!((claims[0].server.as_str(), claims[0].addresses.len()), ("store3.linz.example.org", 0));
        let (claims, _) = mapping(NamedBy::HostPort, Addressed::Each).claims(&records[..1], zone);
        let names: Vec<_> = claims.iter().map(|c| c.server.as_str()).collect();
        assert_eq!(names, ["store3:8443@10.0.0.3", "store3:8443@fd00::3"]);
    }

    /// Guards against a server listed at two priorities that would be held to the worse one.
    #[test]
    fn the_best_priority_of_one_server_counts() {
        let records = [record(20, 5, 1, "a.linz.x", &[]), record(10, 7, 1, "a.linz.x", &[])];
        let (claims, _) = mapping(NamedBy::Host, Addressed::None).claims(&records, zone);
        assert_eq!((claims.len(), claims[0].rank, claims[0].size), (1, Some(10), Some(7.0)));
    }
}
