//! Fleets of real processes, as the tests here share them.

use fallgap_test_support::gateway::{
    Beating, Client, Does, Landing, Notice, Reply, Server, Supervisor, call, get, ok,
};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

pub const S: Duration = Duration::from_secs(1);
/// Longer than anything here takes, also on a busy machine.
pub const LONG: Duration = Duration::from_secs(40);
pub const PREFIXES: [&str; 2] = ["/safe/", "/fragile/"];

/// Asks again and again until there is an answer. What is asked waits by itself: it is a call over a socket.
pub fn until<T>(what: &str, mut ask: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + LONG;
    loop {
        if let Some(found) = ask() {
            return found;
        }
        assert!(Instant::now() < end, "in vain: {what}");
    }
}

/// Three machines with a disk and one without, all started.
pub fn fleet() -> Landing {
    fleet_of(&[true, true, true, false])
}

/// Machines with and without a disk, all started.
pub fn fleet_of(disks: &[bool]) -> Landing {
    let mut fleet = unstarted(disks);
    fleet.start_all(true).unwrap();
    fleet
}

/// Machines with and without a disk, none of them started.
pub fn unstarted(disks: &[bool]) -> Landing {
    static NETS: AtomicU8 = AtomicU8::new(1);
    let id = std::process::id();
    let net = [127, (1 + id % 250) as u8, NETS.fetch_add(1, Ordering::Relaxed)];
    let folder = std::env::temp_dir().join(format!("gateway-whole-{id}-{}", net[2]));
    let program = Path::new(env!("CARGO_BIN_EXE_gateway"));
    Landing::open(program, &folder, net, &["a", "b"], disks).unwrap()
}

/// Asks a machine again and again for so long, whatever it says.
pub fn meanwhile(at: SocketAddr, time: Duration) {
    let end = Instant::now() + time;
    while Instant::now() < end {
        let _ = call(at, "GET", "/-/status", "");
    }
}

/// Hands a configuration in at one machine until it is taken.
pub fn configure(at: &Supervisor, text: &str) {
    until("a configuration is taken", || at.post("/-/config/put", text).filter(|reply| reply.status == 200));
}

pub fn serve(fleet: &Landing, id: &str) -> (Server, Beating) {
    let server = Server::start(id, |got| Does::Sends(ok(got, "bytes")));
    let notice = Notice::of(&server, "s", "a", 4);
    let beating = Beating::start(notice, fleet.controls(), Duration::from_millis(300));
    (server, beating)
}

pub fn all_ready(fleet: &Landing) {
    for machine in &fleet.machines {
        until("it is ready", || machine.is_ready().then_some(()));
    }
}

pub fn ask(at: &Supervisor, path: &str, id: &str) -> Reply {
    Client::connect(at.front(), 5 * S).unwrap().ask(&get(path, id))
}

/// Calls on the control state may come again: on a busy machine some are put off, or late.
pub fn settled(mut call: impl FnMut() -> Option<Reply>) -> (u16, String) {
    let reply = until("a call is answered", || call().filter(|reply| reply.status < 500));
    (reply.status, reply.text())
}

pub fn post(at: &Supervisor, path: &str, body: &str) -> (u16, String) {
    settled(|| at.post(path, body))
}

pub fn read(at: &Supervisor, path: &str) -> (u16, String) {
    settled(|| at.get(path))
}
