//! Long storms, drawn from seeds: `SEA_SEED` plays one, `SEA_MORE` so many times as many.

use fallgap_simulation::schedule::Act::*;
use fallgap_simulation::schedule::{Act, Schedule, Waters};
use fallgap_simulation::voyage::sail;

fn storms(count: u64, disks: &[u8], tolerate: u32, troubles: &[Act]) {
    let given = |name| std::env::var(name).ok().and_then(|value| value.parse::<u64>().ok());
    let seeds = given("SEA_SEED").map_or(0..count * given("SEA_MORE").unwrap_or(1), |seed| seed..seed + 1);
    let waters = Waters {
        disks,
        tolerate,
        troubles,
        time_ms: 15_000,
        apart_ms: (100, 2500),
        callers: 6,
        calls_ms: (1, 20),
        founding: true,
    };
    for seed in seeds {
        if let Err(breach) = sail(&Schedule::draw(seed, &waters)) {
            panic!("seed {seed}: {breach}");
        }
    }
}

#[test]
fn processes_die_and_links_break() {
    storms(60, &[3, 4, 5], 1, &[Kill, Power, Freeze, Cut, Weather, SlowDisk, Clock]);
}

#[test]
fn all_lose_power_at_once() {
    storms(40, &[3, 4], 1, &[KillAll, PowerAll, Weather, Kill]);
}

#[test]
fn one_disk_is_wiped_at_a_time() {
    storms(60, &[3, 4, 5], 1, &[Wipe, Wipe, Replace, Kill, Weather]);
}

#[test]
fn two_disks_are_wiped_at_a_time() {
    storms(20, &[5, 6], 2, &[Wipe, Wipe, Replace, Power]);
}

#[test]
fn everything_happens() {
    let all = [Kill, Power, KillAll, PowerAll, Freeze, Cut, SlowDisk, Weather, Wipe, Wipe, Replace, Replace];
    storms(60, &[3, 4, 5], 1, &all);
}
