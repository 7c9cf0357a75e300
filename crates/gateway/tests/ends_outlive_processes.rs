//! What servers were told of their ends holds over the loss of every process, over real processes.

#[allow(dead_code)]
mod landing;

use fallgap_test_support::gateway::{Does, Landing, Notice, Server, Supervisor, ok};
use landing::*;
use std::time::Duration;

/// How long supervisors are looked at after the late beats.
const LOOK: Duration = Duration::from_millis(1500);
/// A disk that is lost with the processes, where one is: as many as `tolerate` names.
const LOST_DISK: usize = 1;

/// A server that beats when the test says so.
fn silent_server(id: &str) -> (Server, Notice) {
    let server = Server::start(id, |got| Does::Sends(ok(got, "bytes")));
    let notice = Notice::of(&server, "s", "a", 4);
    (server, notice)
}

fn knows(machine: &Supervisor, servers: u64) -> Option<()> {
    machine.figure("servers").filter(|known| *known == servers).map(|_| ())
}

fn beat(fleet: &Landing, notice: &Notice, state: &str, postmark: u64) {
    let mut controls = fleet.controls().into_iter().cycle();
    until("a beat is acknowledged", || notice.beat(controls.next()?, state, postmark).then_some(()));
}

/// Two servers end, one by `leave` and one by `closing`, and all processes are killed as soon as both are acknowledged. Beats
/// that were sent before come when supervisors serve again.
fn ended_servers_stay_out(lose_a_disk: bool) {
    let mut fleet = fleet();
    configure(&fleet.machines[0], &fallgap_test_support::gateway::configuration(7, PREFIXES));
    let stays = serve(&fleet, "i-stays");
    let (_left, leaves) = silent_server("i-leaves");
    let (_closed, closes) = silent_server("i-closes");
    for machine in &fleet.machines {
        until("all servers are known", || {
            [&leaves, &closes].iter().for_each(|notice| beat(&fleet, notice, "open", 1));
            knows(machine, 3)
        });
    }
    until("the leave is acknowledged", || {
        fleet.machines[0].post("/-/servers/i-leaves/leave", "{}").filter(|reply| reply.status == 200)
    });
    beat(&fleet, &closes, "closing", 3);
    fleet.machines.iter_mut().for_each(|machine| machine.signal("KILL"));
    for machine in &mut fleet.machines {
        assert!(machine.wait(LONG).is_some(), "{} is still there", machine.ip);
    }
    if lose_a_disk {
        std::fs::remove_dir_all(fleet.machines[LOST_DISK].data()).unwrap();
    }
    fleet.start_all(false).unwrap();
    all_ready(&fleet);
    for machine in &fleet.machines {
        until("it knows the server that stays, and no other", || knows(machine, 1));
    }
    for notice in [&leaves, &closes] {
        for machine in &fleet.machines {
            until("a late beat is answered", || notice.beat(machine.control(), "open", 2).then_some(()));
        }
    }
    let end = std::time::Instant::now() + LOOK;
    while std::time::Instant::now() < end {
        for machine in &fleet.machines {
            let known = machine.figure("servers");
            assert_eq!(known, Some(1), "{}: an ended server is known again", machine.ip);
        }
    }
    drop(stays);
}

/// Guards against ends of servers that are kept in memory alone: after all processes were killed a late beat brought back a server
/// whose leave was acknowledged (review/3, DRAIN).
#[test]
fn a_late_beat_does_not_bring_back_a_server_that_ended_before_all_processes_were_killed() {
    ended_servers_stay_out(false);
}

/// The same where one of the disks that hold the ends is lost with the processes, and an empty one takes its place.
#[test]
fn a_late_beat_does_not_bring_back_a_server_that_ended_before_a_disk_was_lost() {
    ended_servers_stay_out(true);
}
