//! What a process is told when it starts: the settings file.

use crate::bounds::{Bounds, read_bounds};
use crate::document::{Field, NUMBER, SECONDS, TRUTH, WHOLE, count, document, number, seconds};
use crate::fault::{Faults, What};
use crate::terms::TERMS;
use sonic_rs::{JsonContainerTrait, JsonValueTrait, Value};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

/// The machine's part for this process.
#[derive(Clone, Debug, PartialEq)]
pub struct Resources {
    /// Of one core.
    pub cpu_share: f64,
    pub memory_mb: u64,
    pub file_handles: u64,
    pub link_mbps: f64,
    /// None where there is no disk.
    pub disk_mb: Option<u64>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub node: Arc<str>,
    pub role: String,
    pub serves_clients: bool,
    pub serves_control: bool,
    pub ip: Ipv4Addr,
    pub zone: Arc<str>,
    pub region: Arc<str>,
    /// Each zone with its region, in the order of the file.
    pub zones: Vec<(Arc<str>, Arc<str>)>,
    pub front: Option<SocketAddrV4>,
    pub ready: Option<SocketAddrV4>,
    pub control: Option<SocketAddrV4>,
    /// From the first to the second, both included.
    pub inner_ports: (u16, u16),
    /// Control addresses of some others; may be empty.
    pub seeds: Vec<SocketAddrV4>,
    pub first_start: bool,
    pub counted: bool,
    pub data_dir: Option<PathBuf>,
    pub resources: Resources,
    /// How often servers are heard of.
    pub beat: Duration,
    pub tolerate_machines: u32,
    pub bounds: Bounds,
    /// How configurations are held against each other.
    pub mode: String,
}

const ADDRESS: &str = "an address with a port";

/// Reads the settings file. What a process cannot run without must be there; all else has a usual figure.
/// Fields that are not known are passed over.
pub fn read_settings(text: &[u8]) -> Result<Settings, Faults> {
    let document = document(text, TERMS.settings_bytes)?;
    let top = Field::top(&document);
    let mut faults = Faults::default();
    let settings = read(&top, &mut faults);
    faults.or(settings)
}

fn read(top: &Field<'_, '_>, faults: &mut Faults) -> Settings {
    let ip = top.field("ip").must(faults, "an IPv4 address", parsed).unwrap_or(Ipv4Addr::UNSPECIFIED);
    let (serves_clients, serves_control) = read_serves(&top.field("serves"), faults);
    let at = top.field("counters_at");
    at.object(faults);
    let mut zones = Vec::new();
    read_zones(&top.field("zones"), &mut zones, faults);
    let tolerate = top.field("tolerate");
    tolerate.object(faults);
    Settings {
        node: text_or(&top.field("node"), faults, &ip.to_string()).into(),
        role: text_or(&top.field("role"), faults, ""),
        serves_clients,
        serves_control,
        ip,
        zone: top.field("zone").name(faults).into(),
        region: text_or(&top.field("region"), faults, "").into(),
        zones,
        front: read_address(&at.field("front"), serves_clients, faults),
        ready: read_address(&at.field("ready"), serves_clients, faults),
        control: read_address(&at.field("control"), serves_control, faults),
        inner_ports: read_ports(&top.field("inner_ports"), faults),
        seeds: read_seeds(&top.field("seeds"), faults),
        first_start: truth_or_no(&top.field("first_start"), faults),
        counted: truth_or_no(&top.field("counted"), faults),
        data_dir: read_folder(&top.field("data_dir"), faults),
        resources: read_resources(&top.field("limits"), faults),
        beat: top.field("beat_s").may(faults, SECONDS, seconds).unwrap_or(Duration::from_millis(1500)),
        tolerate_machines: tolerate
            .field("machines")
            .may(faults, WHOLE, |v| count(v, 0, u32::MAX))
            .unwrap_or(1),
        bounds: read_bounds(&top.field("bounds"), faults),
        mode: text_or(&top.field("mode"), faults, "highest"),
    }
}

fn parsed<T: std::str::FromStr>(value: &Value) -> Option<T> {
    value.as_str()?.parse().ok()
}

fn text_or(field: &Field<'_, '_>, faults: &mut Faults, usual: &str) -> String {
    let text = field
        .may(faults, "a text", |v| v.as_str().filter(|t| t.len() <= TERMS.name_bytes).map(str::to_owned));
    text.unwrap_or_else(|| usual.to_owned())
}

fn truth_or_no(field: &Field<'_, '_>, faults: &mut Faults) -> bool {
    field.may(faults, TRUTH, |v| v.as_bool()).unwrap_or(false)
}

/// Whether clients are served, and whether control calls are.
fn read_serves(field: &Field<'_, '_>, faults: &mut Faults) -> (bool, bool) {
    let (mut clients, mut control) = (false, false);
    field.elements(faults, TERMS.zones, |faults, element| {
        let served = element.must(faults, "what is served", |v| v.as_str().map(str::to_owned));
        match served.as_deref() {
            Some("counter") => clients = true,
            Some("head_office") => control = true,
            _ => {}
        }
    });
    (clients, control)
}

fn read_address(field: &Field<'_, '_>, needed: bool, faults: &mut Faults) -> Option<SocketAddrV4> {
    if needed { field.must(faults, ADDRESS, parsed) } else { field.may(faults, ADDRESS, parsed) }
}

fn read_zones(field: &Field<'_, '_>, zones: &mut Vec<(Arc<str>, Arc<str>)>, faults: &mut Faults) {
    let list = field.may(faults, "zones with their regions", |v| v.as_object());
    let Some(list) = list else { return };
    for (zone, region) in list.iter() {
        if zones.len() >= TERMS.zones {
            return faults.add(&field.spot, What::TooMany(TERMS.zones));
        }
        let region = Field::new(Some(region), field.spot.key(zone)).name(faults);
        zones.push((Arc::from(zone), Arc::from(region)));
    }
}

fn read_ports(field: &Field<'_, '_>, faults: &mut Faults) -> (u16, u16) {
    let ports = field.must(faults, "two ports, the first not above the second", |v| {
        let port = |i: usize| v.get(i)?.as_u64().and_then(|p| u16::try_from(p).ok());
        Some((port(0)?, port(1)?)).filter(|(first, last)| *first > 0 && first <= last)
    });
    ports.unwrap_or_default()
}

fn read_seeds(field: &Field<'_, '_>, faults: &mut Faults) -> Vec<SocketAddrV4> {
    let mut seeds = Vec::new();
    field.elements(faults, TERMS.zones, |faults, element| {
        let seed: Option<SocketAddrV4> = element.must(faults, ADDRESS, parsed);
        if seeds.len() < TERMS.seeds {
            seeds.extend(seed);
        }
    });
    seeds
}

/// An empty path is none.
fn read_folder(field: &Field<'_, '_>, faults: &mut Faults) -> Option<PathBuf> {
    let folder = field.may(faults, "a folder", |v| v.as_str().map(PathBuf::from))?;
    (!folder.as_os_str().is_empty()).then_some(folder)
}

fn read_resources(field: &Field<'_, '_>, faults: &mut Faults) -> Resources {
    field.object(faults);
    let mut figure = |key: &str, usual: f64| {
        let positive = |v: &Value| number(v).filter(|n| *n > 0.0);
        field.field(key).may(faults, "a number above 0", positive).unwrap_or(usual)
    };
    Resources {
        cpu_share: figure("cpu_share", 1.0),
        memory_mb: figure("memory_mb", 256.0) as u64,
        file_handles: figure("file_handles", 1024.0) as u64,
        link_mbps: figure("link_mbps", 1000.0),
        disk_mb: field.field("disk_mb").may(faults, NUMBER, number).filter(|n| *n > 0.0).map(|n| n as u64),
    }
}
