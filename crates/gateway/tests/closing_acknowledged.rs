//! When the end of a server is acknowledged, over real processes.

#[allow(dead_code)]
mod landing;

use landing::*;
use std::time::{Duration, Instant};

/// The machine of the fleet without a disk.
const FRONT: usize = 3;
/// A machine that stands still for less time than followers have to hear of an end.
const STANDS_STILL: Duration = Duration::from_millis(250);
const FOR_FOLLOWERS: Duration = Duration::from_millis(600);

/// Until its followers have heard of it, a keeper does not say that it knows: a follower that is behind would send requests there
/// for longer than the server serves on.
#[test]
fn an_end_is_acknowledged_when_all_that_are_there_have_heard_of_it() {
    let mut fleet = fleet();
    configure(&fleet.machines[0], &fallgap_test_support::gateway::configuration(7, PREFIXES));
    let servers: Vec<_> = ["i-1", "i-2", "i-3"].into_iter().map(|id| serve(&fleet, id)).collect();
    for machine in &fleet.machines {
        until("all servers are known", || machine.figure("servers").filter(|known| *known == 3));
    }
    for (at, id) in ["i-1", "i-2"].into_iter().enumerate() {
        let (keepers, front) = fleet.machines.split_at_mut(FRONT);
        let front = &mut front[0];
        let asked_meanwhile = keepers[at].control();
        front.signal("STOP");
        let asked = Instant::now();
        let (acknowledged, continued) = std::thread::scope(|scope| {
            let continues = scope.spawn(|| {
                meanwhile(asked_meanwhile, STANDS_STILL);
                let now = Instant::now();
                front.signal("CONT");
                now
            });
            let leave = format!("/-/servers/{id}/leave");
            until("the end is acknowledged", || {
                keepers[at].post(&leave, "{}").filter(|reply| reply.status == 200)
            });
            (Instant::now(), continues.join().unwrap())
        });
        let in_time = acknowledged >= continued || acknowledged >= asked + FOR_FOLLOWERS;
        assert!(in_time, "{id}: {:?} before one of four could know it", continued - acknowledged);
        until("it is out", || {
            fleet.machines[FRONT].figure("servers").filter(|known| *known <= 2 - at as u64)
        });
    }
    drop(servers);
}
