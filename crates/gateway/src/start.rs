//! How a supervisor starts: settings, signals, disk, sockets, cores, in this order.

use crate::admission;
use crate::ages::Ages;
use crate::asks::Desk;
use crate::beats::Beats;
use crate::calls::{self, Calls};
use crate::control;
use crate::disk;
use crate::engine::{DATAGRAMS, Engine, LINKS, QUAY, WAKE};
use crate::holdup::HoldUp;
use crate::http::{self, ServerError};
use crate::hub::Hub;
use crate::leavers::Leavers;
use crate::line_pace::LinePace;
use crate::links::{self, Links};
use crate::memory::{Memory, Remembered};
use crate::quotas::Quotas;
use crate::signals;
use crate::spread::Spread;
use crate::turns::Turns;
use fallgap_admin::{History, Surveys};
use fallgap_config::Settings;
use fallgap_control_state::store::{Store, StoreError};
use fallgap_control_state::{Keeper, Kept, KeptError, Me};
use fallgap_membership::{Beacon, Card};
use fallgap_proxy::Quay;
use fallgap_registry::{Follower, Patience, Rollouts};
use mio::net::UdpSocket;
use mio::{Interest, Poll, Token, Waker};
use std::collections::{BTreeMap, VecDeque};
use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::{Duration, Instant};

/// Why a supervisor does not start, or ends.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum NoStart {
    /// FALLGAP_CONFIG names no settings file, and no --settings was given
    NoSettings,
    /// the settings file {0} cannot be read: {1}
    File(PathBuf, io::Error),
    /// the settings file {0} is not in order: {1}
    Faults(PathBuf, fallgap_config::Faults),
    /// {0} cannot be listened at: {1}
    Address(SocketAddrV4, Box<dyn std::error::Error + Send + Sync>),
    /// the disk folder {0} cannot be used: {1}
    Folder(PathBuf, io::Error),
    /// what is on the disk cannot be read: {0}
    Store(StoreError),
    /// what is on the disk is not what a keeper writes: {0}
    Kept(KeptError),
    /// the system refuses: {0}
    System(io::Error),
}

impl From<StoreError> for NoStart {
    fn from(e: StoreError) -> NoStart {
        NoStart::Store(e)
    }
}
impl From<KeptError> for NoStart {
    fn from(e: KeptError) -> NoStart {
        NoStart::Kept(e)
    }
}
impl From<io::Error> for NoStart {
    fn from(e: io::Error) -> NoStart {
        NoStart::System(e)
    }
}

impl From<ServerError> for NoStart {
    fn from(e: ServerError) -> NoStart {
        match e {
            ServerError::Listen(at, e) => NoStart::Address(at, Box::new(e)),
            ServerError::System(e) => NoStart::System(e),
        }
    }
}

impl NoStart {
    /// Not a matter of how it was called or configured.
    pub fn is_defect(&self) -> bool {
        matches!(self, NoStart::Kept(_) | NoStart::System(_))
    }
}

/// A disk that cannot be read any more is a lost disk: it begins anew, as another one.
fn open_store(folder: &Path, disk_mb: u64) -> Result<(Store, Vec<Vec<u8>>), NoStart> {
    fs::create_dir_all(folder).map_err(|e| NoStart::Folder(folder.to_owned(), e))?;
    match Store::open(folder, disk_mb) {
        Err(e @ StoreError::Damaged(..)) => {
            tracing::error!("gateway: the disk is lost and begins anew: {e}");
            Store::wipe(folder)?;
            Ok(Store::open(folder, disk_mb)?)
        }
        opened => Ok(opened?),
    }
}

fn read_settings(path: &Path) -> Result<Settings, NoStart> {
    let text = fs::read(path).map_err(|e| NoStart::File(path.to_owned(), e))?;
    fallgap_config::read_settings(&text).map_err(|faults| NoStart::Faults(path.to_owned(), faults))
}

/// Runs a supervisor until it is told to end.
///
/// # Errors
/// [`NoStart`].
pub fn serve(settings: Option<PathBuf>) -> Result<(), NoStart> {
    // From here on no signal ends the process by itself.
    let taken = signals::take()?;
    let named = std::env::var_os("FALLGAP_CONFIG").map(PathBuf::from);
    let path = settings.or(named).ok_or(NoStart::NoSettings)?;
    let settings = read_settings(&path)?;
    let clock = Instant::now();
    let mut rng = fastrand::Rng::new();
    let me = settings.ip;
    let poll = Poll::new()?;
    let wake = Arc::new(Waker::new(poll.registry(), Token(WAKE))?);
    let heard = signals::Heard::default();
    signals::start(taken, heard.clone(), wake.clone())?;

    let port = settings.inner_ports.0;
    let inner = SocketAddrV4::new(me, port);
    let address = |at: SocketAddrV4| move |e: io::Error| NoStart::Address(at, Box::new(e));
    let mut datagrams = UdpSocket::bind(SocketAddr::V4(inner)).map_err(address(inner))?;
    poll.registry().register(&mut datagrams, Token(DATAGRAMS), Interest::READABLE)?;
    let links =
        Links::open(poll.registry(), me, port, LINKS, links::Terms::default()).map_err(address(inner))?;

    let disk_mb = settings.resources.disk_mb.unwrap_or(64);
    let (kept, remembered, disk) = match &settings.data_dir {
        Some(folder) => {
            let (store, records) = open_store(folder, disk_mb)?;
            let (memory, remembered) = Memory::open(folder);
            (records, remembered, Some(disk::start(store, memory, wake.clone())?))
        }
        None => (Vec::new(), Remembered::default(), None),
    };
    let now = clock.elapsed();
    let seeds: Vec<Ipv4Addr> = settings.seeds.iter().map(|seed| *seed.ip()).collect();
    let life = rng.u64(1..);
    let who = Me {
        node: me,
        disk: disk.as_ref().map(|_| rng.u64(1..)),
        life,
        first_start: settings.first_start,
        empty: kept.is_empty(),
        seeds: seeds.clone(),
        tolerate: settings.tolerate_machines,
    };
    let terms = fallgap_control_state::Terms {
        history: settings.bounds.history,
        claim_lifetime: admission::claim_lifetime(&settings.bounds),
        ..fallgap_control_state::Terms::for_machine(settings.resources.memory_mb, disk_mb)
    };
    let keeper = Keeper::start(now, rng.u64(..), who, Kept { records: kept }, terms)?;
    let card = Card {
        node: me,
        zone: settings.zone.clone(),
        disk: keeper.disk(),
        life,
        leaving: false,
        sequence: 0,
    };
    let beacon = Beacon::start(now, rng.u64(..), card, seeds, fallgap_membership::Terms::default());
    let roster = fallgap_registry::Terms::with_beat(settings.beat);
    let hub =
        disk.as_ref().map(|_| Hub::start(now, me, rng.u64(..), roster, settings.bounds.touch, remembered));
    let follower = Follower::start(now, rng.u64(..), me, roster);
    let quay = match settings.front {
        Some(front) => {
            let terms = quay_terms(&settings);
            let (zone, seed) = (settings.zone.clone(), rng.u64(..));
            Some(
                Quay::open(poll.registry(), QUAY..usize::MAX, front, zone, seed, terms)
                    .map_err(address(front))?,
            )
        }
        None => None,
    };
    let ready = Arc::new(AtomicBool::new(false));
    let patience = Patience::within(settings.bounds.config);
    let (desk, inbox) = Desk::new(wake);
    serve_calls(&settings, desk, &ready)?;
    let kind = if disk.is_some() { "with a disk" } else { "without a disk" };
    tracing::info!("gateway: {} starts at {me}, {kind}, version {}", settings.node, crate::VERSION);
    let mut engine = Engine {
        me,
        clock,
        poll,
        datagrams,
        links,
        beacon,
        keeper,
        disk,
        hub,
        configured: None,
        follower,
        roster_terms: roster,
        view: None,
        quay,
        calls: Calls::new(calls::Terms::default(), rng.u64(1..1 << 62)),
        hold_up: HoldUp::default(),
        turns: Turns::default(),
        ages: Ages::default(),
        life,
        beats: Beats::new(rng.u64(1..1 << 62)),
        quotas: Quotas::new(me, admission::quota_terms(&settings.bounds)),
        surveys: Surveys::new(fallgap_admin::Terms::USUAL, rng.u64(1..1 << 62)),
        history: History::default(),
        leavers: Leavers::default(),
        late_beats: LinePace::default(),
        spread: Spread::new(rng.u64(1..1 << 62)),
        rollouts: Rollouts::new(me, rng.u64(1..1 << 62), patience),
        acknowledged_early: 0,
        lives: BTreeMap::new(),
        inbox,
        heard,
        ready,
        settings,
        settings_path: path,
        own: VecDeque::new(),
        buffer: vec![0; 4096],
        datagrams_wait: true,
        callers_wait: false,
        slow: Duration::ZERO,
        reports: Duration::ZERO,
        leaving: None,
        parting: false,
        port,
        settings_seen: None,
    };
    engine.run()?;
    tracing::info!("gateway: ends");
    Ok(())
}

/// Serves the control and ready addresses that the settings name, with threads of their own.
fn serve_calls(settings: &Settings, desk: Desk, ready: &Arc<AtomicBool>) -> Result<(), NoStart> {
    let terms = control::Terms::default();
    let mut server = http::Server::new(http::Terms {
        workers: terms.threads,
        body_bytes: terms.configuration,
        ..http::Terms::default()
    })?;
    if let Some(at) = settings.ready {
        server.listen_at_once(at, control::ready_service(ready.clone()))?;
    }
    // The last of the inner ports; the first is for words between supervisors.
    if settings.inner_ports.1 > settings.inner_ports.0 {
        let at = SocketAddrV4::new(settings.ip, settings.inner_ports.1);
        server.listen(at, control::figures_service(desk.clone(), terms))?;
    }
    if let Some(at) = settings.control {
        server.listen(at, control::service(desk, terms))?;
    }
    Ok(server.start()?)
}

/// What binds the carrying of requests, by the settings.
fn quay_terms(settings: &Settings) -> fallgap_proxy::Terms {
    let bounds = &settings.bounds;
    let mut terms = fallgap_proxy::Terms::default();
    terms.pilot.retry_ratio = bounds.retry_ratio;
    terms.pilot.retry_slack = bounds.retry_slack;
    terms.pilot.retry_window = bounds.retry_window;
    terms.link_mbps = settings.resources.link_mbps;
    terms.lease.behind = view_lease(bounds);
    terms.lease.keys = bounds.revoked.then(|| lease_within(bounds.revoke));
    terms.quota = admission::quota_terms(bounds);
    terms.operation_lifetime = admission::claim_lifetime(bounds);
    terms
}

/// How long a view may be routed by that its home has not confirmed. What the home learned right behind the last confirmation
/// may have been acknowledged at that moment, and binds after the shorter of the two times.
fn view_lease(bounds: &fallgap_config::Bounds) -> Duration {
    lease_within(bounds.config.min(bounds.drain))
}

/// A lease that is over before that time, by a clock that is slow.
fn lease_within(time: Duration) -> Duration {
    /// From the decision on a request to its arrival at a server.
    const ON_ITS_WAY: Duration = Duration::from_millis(50);
    (time - time / fallgap_routing::RATE_MARGIN).saturating_sub(ON_ITS_WAY)
}
