//! An experiment in words: a KDL file of fleet, load, faults and what varies.

use crate::arrivals::{Kind, Shape, Spacing, Stream, Work};
use crate::checks::Bounds;
use crate::clients::{Again, Clients};
use crate::emulated::{Fault, Make, What};
use fallgap::Repeats;
use fallgap_operator::fault::{Fault as Wrong, Faults};
use fallgap_operator::reading::{Fields, count, share, time, value, word};
use kdl::{KdlDocument, KdlNode, KdlValue};
use std::path::PathBuf;
use std::time::Duration;

/// An op type, and what it is worth.
#[derive(Clone, Debug, PartialEq)]
pub struct OpKind {
    pub kind: Kind,
    pub value: f64,
    pub target_latency: Duration,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    pub name: String,
    pub zone: u16,
    pub make: Make,
    pub faults: Vec<Fault>,
}

/// What one of the runs that are compared is made with.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Variant {
    pub name: String,
    /// `None`: no supervisor; proxies hold one even table of what is listed.
    pub program: Option<PathBuf>,
    pub operator: Option<PathBuf>,
}

/// A whole experiment.
#[derive(Clone, Debug, PartialEq)]
pub struct Experiment {
    pub duration: Duration,
    pub seeds: Vec<u64>,
    pub phases: Vec<Duration>,
    pub zones: Vec<String>,
    pub ops: Vec<OpKind>,
    pub streams: Vec<Stream>,
    pub clients: Clients,
    pub servers: Vec<Server>,
    /// Proxies of each zone.
    pub proxies: usize,
    pub bounds: Bounds,
    pub variants: Vec<Variant>,
}

fn number(least: f64, most: f64) -> impl Fn(&KdlValue) -> Result<f64, String> {
    move |value| {
        let read = value.as_float().or_else(|| value.as_integer().map(|n| n as f64));
        read.filter(|n| (least..=most).contains(n)).ok_or_else(|| format!("a number from {least} to {most}"))
    }
}

fn text(value: &KdlValue) -> Result<String, String> {
    value.as_string().filter(|t| !t.is_empty()).map(str::to_owned).ok_or_else(|| "a text".into())
}

fn shape(value: &KdlValue) -> Result<Shape, String> {
    match value.as_string() {
        Some(words) => words.parse(),
        None => number(0.0, 1e9)(value).map(Shape::Constant),
    }
}

const DAY: Duration = Duration::from_secs(86_400);
const MS: Duration = Duration::from_millis(1);

/// Reads an experiment.
///
/// # Errors
/// All that is wrong with it, in the order of the file.
pub fn read(text: &str) -> Result<Experiment, Vec<Wrong>> {
    let mut faults = Faults::of(text);
    let document = match text.parse::<KdlDocument>() {
        Ok(document) => document,
        Err(error) => return Err(faults.not_kdl(&error)),
    };
    let mut fields = Fields::of(Some(&document));
    let duration =
        fields.one("duration", &mut faults, time(MS * 100..=DAY)).unwrap_or(Duration::from_secs(30));
    let seeds = fields.many("seed", 100, &mut faults, count(0..=usize::MAX / 2));
    let phases = fields.many("phase", 20, &mut faults, time(MS..=DAY));
    let proxies = fields.one("proxies", &mut faults, count(1..=500)).unwrap_or(3);
    let ops: Vec<(f64, OpKind)> =
        fields.blocks("op", 32, &mut faults).iter().filter_map(|node| op(node, &mut faults)).collect();
    let groups: Vec<Group> = fields
        .blocks("servers", 50, &mut faults)
        .iter()
        .filter_map(|node| group(node, &mut faults))
        .collect();
    let mut zones: Vec<String> = Vec::new();
    for group in &groups {
        if !zones.contains(&group.zone) {
            zones.push(group.zone.clone());
        }
    }
    let mut servers = Vec::new();
    for group in &groups {
        let zone = zones.iter().position(|z| *z == group.zone).unwrap_or(0) as u16;
        let known = servers.iter().filter(|s: &&Server| s.zone == zone).count();
        for i in 0..group.count {
            let name = format!("{}-{}", group.zone, known + i);
            servers.push(Server { name, zone, make: group.make.clone(), faults: Vec::new() });
        }
    }
    for node in fields.blocks("fault", 200, &mut faults) {
        if let Some((name, fault)) = fault(node, &mut faults) {
            match servers.iter_mut().find(|server| server.name == name) {
                Some(server) => server.faults.push(fault),
                None => faults.add(
                    node.span(),
                    format!("a fault of {name:?}"),
                    "the name of a server, as north-3",
                ),
            }
        }
    }
    let shares: Vec<(u16, f64)> = ops.iter().enumerate().map(|(i, (share, _))| (i as u16, *share)).collect();
    let mut streams = Vec::new();
    for node in fields.blocks("load", 32, &mut faults) {
        streams.extend(load(node, &zones, &shares, &mut faults));
    }
    let clients = fields.part("clients", &mut faults).map(|node| clients(node, &mut faults));
    let bounds = fields.part("bounds", &mut faults).map(|node| bounds(node, &mut faults));
    let variants: Vec<Variant> = fields
        .blocks("variant", 8, &mut faults)
        .iter()
        .filter_map(|node| variant(node, &mut faults))
        .collect();
    fields.end(&mut faults);
    for (missing, what) in
        [(ops.is_empty(), "op"), (servers.is_empty(), "servers"), (streams.is_empty(), "load")]
    {
        if missing {
            faults.add((0, 0).into(), format!("no \"{what}\""), "at least one");
        }
    }
    let wrong = faults.sorted();
    if !wrong.is_empty() {
        return Err(wrong);
    }
    let one = || vec![Variant { name: "even".into(), ..Variant::default() }];
    Ok(Experiment {
        duration,
        seeds: if seeds.is_empty() { vec![1] } else { seeds.into_iter().map(|s| s as u64).collect() },
        phases,
        zones,
        ops: ops.into_iter().map(|(_, op)| op).collect(),
        streams,
        clients: clients.unwrap_or_default(),
        servers,
        proxies,
        bounds: bounds.unwrap_or_default(),
        variants: if variants.is_empty() { one() } else { variants },
    })
}

fn op(node: &KdlNode, faults: &mut Faults) -> Option<(f64, OpKind)> {
    let name = value(node, faults, text);
    let mut fields = Fields::of(node.children());
    let part = fields.one("share", faults, number(0.0, 1e6)).unwrap_or(1.0);
    let words = &[("retryable", 0), ("deduplicated", 1), ("once-only", 2)];
    let repeats = fields.one("repeats", faults, word(words));
    let timeout = fields.one("timeout", faults, time(MS..=DAY)).unwrap_or(MS * 2000);
    let repeats = match repeats.unwrap_or(0) {
        0 => Repeats::Retryable,
        1 => Repeats::Deduplicated { everywhere: false, window: timeout },
        _ => Repeats::OnceOnly,
    };
    let work = fields.one("work", faults, time(Duration::ZERO..=DAY)).unwrap_or(MS * 5);
    let drawn =
        fields.one("drawn", faults, word(&[("fixed", 0), ("exponential", 1), ("heavy", 2)])).unwrap_or(1);
    let work = match drawn {
        0 => Work::Fixed(work),
        1 => Work::Exponential(work),
        _ => Work::Heavy(work, 1.0),
    };
    let keys = fields.one("keys", faults, count(1..=1_000_000_000)).unwrap_or(10_000) as u64;
    let tenants = fields.one("tenants", faults, count(1..=1_000_000)).unwrap_or(10) as u32;
    let worth = fields.one("value", faults, number(0.0, 1e6)).unwrap_or(1.0);
    let target_latency = fields.one("target-latency", faults, time(MS..=DAY)).unwrap_or(MS * 500);
    fields.end(faults);
    let kind = Kind { name: name?, repeats, timeout, work, keys, tenants };
    Some((part, OpKind { kind, value: worth, target_latency }))
}

struct Group {
    zone: String,
    count: usize,
    make: Make,
}

fn group(node: &KdlNode, faults: &mut Faults) -> Option<Group> {
    let zone = value(node, faults, text);
    let usual = Make::default();
    let mut fields = Fields::of(node.children());
    let group = Group {
        zone: zone.unwrap_or_default(),
        count: fields.one("count", faults, count(1..=1000)).unwrap_or(1),
        make: Make {
            cores: fields.one("cores", faults, count(1..=256)).unwrap_or(usual.cores),
            speed: fields.one("speed", faults, number(0.001, 1000.0)).unwrap_or(usual.speed),
            queue: fields.one("queue", faults, count(0..=1_000_000)).unwrap_or(usual.queue),
            cold: (
                fields.one("cold-from", faults, share).unwrap_or(usual.cold.0),
                fields.one("cold-over", faults, time(Duration::ZERO..=DAY)).unwrap_or(usual.cold.1),
            ),
            window: fields.one("window", faults, time(MS..=DAY)).unwrap_or(usual.window),
        },
    };
    fields.end(faults);
    Some(group).filter(|group| !group.zone.is_empty())
}

fn fault(node: &KdlNode, faults: &mut Faults) -> Option<(String, Fault)> {
    let server = value(node, faults, text);
    let mut fields = Fields::of(node.children());
    let (from, to) = (
        fields.one("from", faults, time(Duration::ZERO..=DAY)).unwrap_or_default(),
        fields.one("to", faults, time(Duration::ZERO..=DAY)).unwrap_or(DAY),
    );
    let factor = fields.one("factor", faults, number(0.0, 1000.0)).unwrap_or(0.5);
    let by = fields.one("by", faults, time(Duration::ZERO..=DAY)).unwrap_or(MS * 500);
    let names = [
        ("stall", What::Stall),
        ("hang", What::Hang),
        ("aborts", What::Aborts(factor)),
        ("handshake", What::Handshake(by)),
        ("neighbour", What::Neighbour(factor)),
        ("drain", What::Drain),
        ("crash", What::Crash),
        ("false-load", What::FalseLoad(factor)),
        ("resets", What::Resets(factor)),
        ("half-open", What::HalfOpen),
    ];
    let what = fields.one("what", faults, |v: &KdlValue| {
        let named = names.iter().find(|(name, _)| v.as_string() == Some(name));
        let all = || names.map(|(name, _)| name).join(", ");
        named.map(|(_, what)| *what).ok_or_else(|| format!("one of {}", all()))
    });
    fields.end(faults);
    Some((server?, Fault { from, to, what: what? }))
}

fn load(node: &KdlNode, zones: &[String], shares: &[(u16, f64)], faults: &mut Faults) -> Vec<Stream> {
    let shape = value(node, faults, shape);
    let mut fields = Fields::of(node.children());
    let zone = fields.one("zone", faults, |v: &KdlValue| {
        let place = zones.iter().position(|zone| v.as_string() == Some(zone));
        place.ok_or_else(|| format!("one of {}", zones.join(", ")))
    });
    let words = &[("even", Spacing::Even), ("poisson", Spacing::Poisson)];
    let spacing = fields.one("spacing", faults, word(words));
    fields.end(faults);
    let Some(shape) = shape else { return Vec::new() };
    // Without a zone each has a stream of its own.
    let zones = zone.map_or(0..zones.len(), |zone| zone..zone + 1);
    let stream = |zone: usize| Stream {
        shape: shape.clone(),
        spacing: spacing.unwrap_or_default(),
        zone: zone as u16,
        kinds: shares.to_vec(),
    };
    zones.map(stream).collect()
}

fn clients(node: &KdlNode, faults: &mut Faults) -> Clients {
    let mut fields = Fields::of(node.children());
    let words = &[("never", Again::Never), ("safely", Again::Safely), ("carelessly", Again::Carelessly)];
    let clients = Clients {
        again: fields.one("again", faults, word(words)).unwrap_or_default(),
        most: fields.one("tries", faults, count(1..=60)).unwrap_or(2) as u8,
        pause: fields.one("pause", faults, time(Duration::ZERO..=DAY)).unwrap_or(MS * 100),
    };
    fields.end(faults);
    clients
}

fn bounds(node: &KdlNode, faults: &mut Faults) -> Bounds {
    let usual = Bounds::default();
    let mut fields = Fields::of(node.children());
    let bounds = Bounds {
        grace: fields.one("grace", faults, time(MS..=DAY)).unwrap_or(usual.grace),
        pushed: (
            fields.one("cold-multiple", faults, number(1.0, 100.0)).unwrap_or(usual.pushed.0),
            fields.one("cold-span", faults, time(MS * 100..=DAY)).unwrap_or(usual.pushed.1),
        ),
        messages: (
            fields.one("messages", faults, count(0..=100_000)).unwrap_or(usual.messages.0),
            fields.one("messages-over", faults, time(MS..=DAY)).unwrap_or(usual.messages.1),
        ),
    };
    fields.end(faults);
    bounds
}

fn variant(node: &KdlNode, faults: &mut Faults) -> Option<Variant> {
    let name = value(node, faults, text);
    let mut fields = Fields::of(node.children());
    let program = fields.one("program", faults, text).map(PathBuf::from);
    let operator = fields.one("operator", faults, text).map(PathBuf::from);
    fields.end(faults);
    let name = name?;
    if !name.chars().all(|c| c.is_ascii_alphanumeric() || c == '-' || c == '_') {
        faults.add(
            node.span(),
            format!("a variant named {name:?}"),
            "letters, digits, - and _: it names a folder",
        );
        return None;
    }
    Some(Variant { name, program, operator })
}
