//! Editions in force while processes are stopped and killed at drawn moments, over nine real processes and on whatever else
//! the machine does: from its acknowledgement on, each machine that has run without a break holds an edition in time, and no
//! process shows an older one than it showed before.

#[allow(dead_code)]
mod landing;

use fallgap_test_support::gateway::{Landing, Supervisor, call, configuration};
use landing::*;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// So long after its acknowledgement an edition has to be in force.
const IN_FORCE: Duration = Duration::from_millis(2500);
/// A machine that was stopped, or started, counts again after so long.
const IN_TOUCH: Duration = Duration::from_secs(3);
/// The troubles go on for so long.
const PLAYED: Duration = Duration::from_secs(14);
const DISKS: [bool; 9] = [true, true, true, true, true, false, false, false, false];

/// What the operator was told, and what befell the machines.
struct Seen {
    /// The newest edition that was acknowledged, and when.
    acknowledged: Vec<(u64, Instant)>,
    /// For each machine: since when it runs without a break; `None` while it does not.
    runs_since: Vec<Option<Instant>>,
    /// For each machine the edition that its process showed last.
    shown: Vec<u64>,
}

impl Seen {
    /// The edition that a machine has to show now.
    fn due(&self, machine: usize, now: Instant) -> Option<u64> {
        let in_touch = self.runs_since[machine].is_some_and(|since| now > since + IN_TOUCH);
        let due = self.acknowledged.iter().filter(|(_, at)| now > *at + IN_FORCE);
        due.map(|(edition, _)| *edition).max().filter(|_| in_touch)
    }
}

fn edition_at(control: SocketAddr) -> Option<u64> {
    let status = call(control, "GET", "/-/status", "")?.text();
    let (_, rest) = status.split_once("\"edition\":")?;
    rest.split(',').next()?.parse().ok()
}

/// Hands in one edition after the other until the time is over; each is sent again, anywhere, until it is acknowledged.
fn operate(controls: &[SocketAddr], seen: &Mutex<Seen>, end: Instant, mut rng: fastrand::Rng) {
    let mut edition = 7;
    while Instant::now() < end {
        edition += rng.u64(1..4);
        let body = configuration(edition, PREFIXES);
        until("an edition is acknowledged", || {
            let at = controls[rng.usize(..controls.len())];
            call(at, "POST", "/-/config/put", &body).filter(|reply| reply.status == 200)
        });
        seen.lock().unwrap().acknowledged.push((edition, Instant::now()));
    }
}

/// Looks at one machine after the other.
fn look(controls: &[SocketAddr], seen: &Mutex<Seen>, end: Instant) -> Vec<String> {
    let mut wrong = Vec::new();
    while Instant::now() < end {
        for (machine, control) in controls.iter().enumerate() {
            let asked = Instant::now();
            let runs = seen.lock().unwrap().runs_since[machine];
            let shows = edition_at(*control);
            let mut seen = seen.lock().unwrap();
            // What befell it meanwhile makes the look void.
            let (Some(shows), true) = (shows, runs.is_some() && runs == seen.runs_since[machine]) else {
                continue;
            };
            if seen.due(machine, asked).is_some_and(|due| shows < due) {
                wrong.push(format!("machine {machine} shows {shows}, {:?} is due", seen.due(machine, asked)));
            }
            if shows < seen.shown[machine] {
                wrong.push(format!("machine {machine} shows {shows} after {}", seen.shown[machine]));
            }
            seen.shown[machine] = shows;
        }
    }
    wrong
}

/// Stops a machine for a while, or kills its process and starts it again.
fn trouble(fleet: &mut Landing, seen: &Mutex<Seen>, rng: &mut fastrand::Rng) {
    let machine = rng.usize(..DISKS.len());
    let other = fleet.machines[(machine + 1) % DISKS.len()].control();
    seen.lock().unwrap().runs_since[machine] = None;
    if rng.bool() {
        fleet.machines[machine].signal("STOP");
        meanwhile(other, Duration::from_millis(rng.u64(100..1500)));
        fleet.machines[machine].signal("CONT");
    } else {
        fleet.machines[machine].signal("KILL");
        fleet.machines[machine].wait(LONG);
        seen.lock().unwrap().shown[machine] = 0;
        fleet.start(machine, false).unwrap();
    }
    seen.lock().unwrap().runs_since[machine] = Some(Instant::now());
    meanwhile(other, Duration::from_millis(rng.u64(100..900)));
}

#[test]
fn what_is_acknowledged_is_in_force_in_time_and_stays_so() {
    let seed = fastrand::u64(..);
    println!("seed {seed}");
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut fleet = fleet_of(&DISKS);
    configure(&fleet.machines[0], &configuration(7, PREFIXES));
    for machine in &fleet.machines {
        until("the edition is in force", || machine.figure("edition").filter(|edition| *edition == 7));
    }
    let controls = fleet.controls();
    let (now, count) = (Instant::now(), DISKS.len());
    let seen = Mutex::new(Seen {
        acknowledged: Vec::new(),
        runs_since: vec![Some(now); count],
        shown: vec![7; count],
    });
    let end = now + PLAYED;
    let wrong = std::thread::scope(|scope| {
        let operator = rng.fork();
        scope.spawn(|| operate(&controls, &seen, end, operator));
        let looks = scope.spawn(|| look(&controls, &seen, end + IN_FORCE));
        while Instant::now() < end {
            trouble(&mut fleet, &seen, &mut rng);
        }
        looks.join().unwrap()
    });
    assert!(wrong.is_empty(), "seed {seed}: {wrong:#?}");
    let seen = seen.into_inner().unwrap();
    let (newest, _) = *seen.acknowledged.last().unwrap();
    println!("{} editions were acknowledged, {newest} the last", seen.acknowledged.len());
    let holds = |machine: &Supervisor| machine.figure("edition").filter(|edition| *edition == newest);
    fleet.machines.iter().for_each(|machine| _ = until("the last is in force", || holds(machine)));
}
