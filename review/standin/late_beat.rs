//! A server says that it leaves, and is acknowledged. All processes of the core are killed at one moment and come back within a
//! second. A beat that the server sent before it left comes seconds late. DRAIN: no request that machines in touch send on
//! may reach it any more.

use crate::client::{self, CONFIGURATION, Log};
use crate::fleet::Fleet;
use crate::server::Server;
use crate::{End, Given};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

const BEAT: Duration = Duration::from_millis(1500);
const DRAIN: Duration = Duration::from_millis(2500);
/// In touch again: `touch_s` (3 s), and twice that after most of the core was lost.
const TOUCH: Duration = Duration::from_secs(6);
const WORK: Duration = Duration::from_millis(250);

pub fn play(given: &Given) -> End {
    let record = &given.record;
    let could_not = |why: &str| End::CouldNotRun(why.to_owned());
    let Some(mut fleet) = Fleet::open(&given.gateway, &given.work, record) else {
        return could_not("no addresses");
    };
    if !fleet.start_all(true) {
        return could_not("the gateway does not start");
    }
    let controls = fleet.controls();
    let zones: Vec<&'static str> = fleet.machines.iter().map(|m| m.zone).collect();
    if fleet.insist("POST", "/-/config/put", CONFIGURATION, 60).is_none_or(|m| m.status() != 200) {
        return could_not("the configuration is not acknowledged");
    }
    let mut servers = Vec::new();
    for number in 0..6 {
        let zone = zones[number % 3];
        let Some(server) = Server::start(&format!("i-{number}"), "huvo11a", zone, WORK, record) else {
            return could_not("no server");
        };
        server.beat(controls.clone(), number, BEAT);
        servers.push(server);
    }
    if !fleet.wait_ready(Duration::from_secs(15)) {
        return could_not("the supervisors are not ready");
    }
    let (log, stop): (Log, _) = (Log::default(), Arc::new(AtomicBool::new(false)));
    for (number, front) in fleet.fronts().into_iter().cycle().take(15).enumerate() {
        client::start(given, number, front, &log, &stop);
    }
    // Calm for longer than any time of the rules.
    sleep(Duration::from_secs(8));

    // The server's last beat is sent, and held up on its way. Then it leaves.
    let leaver = servers[0].clone();
    leaver.stops_beating();
    sleep(BEAT);
    let (postmark, late) = leaver.next_beat("open");
    record.line(&format!("{} sends its beat {postmark}; it is held up on its way", leaver.id));
    let held_up = record.now();
    sleep(Duration::from_millis(100));
    let Some(acknowledged) = leaver.leaves(&controls) else { return could_not("the leave is not acknowledged") };
    record.line(&format!("{} has left, acknowledged; it serves on", leaver.id));
    let mut in_touch = acknowledged;
    if given.trouble {
        sleep(Duration::from_millis(300));
        fleet.kill_all();
        sleep(Duration::from_millis(500));
        if !fleet.start_all(false) {
            return could_not("the gateway does not start again");
        }
        in_touch = record.now() + TOUCH;
    }
    sleep((acknowledged + Duration::from_millis(4500)).saturating_sub(record.now()));
    let to = controls[1];
    let answer = crate::http::call(to, "POST", &leaver.beat_path(), &late, Duration::from_secs(1));
    record.line(&format!(
        "beat {postmark} of {} comes {:.1} s late at {to}: {}",
        leaver.id,
        (record.now() - held_up).as_secs_f64(),
        answer.map_or(0, |m| m.status())
    ));
    // It serves on until now, and ends.
    sleep((acknowledged + Duration::from_millis(8800)).saturating_sub(record.now()));
    leaver.ends();
    record.line(&format!("{} ends", leaver.id));
    sleep(Duration::from_millis(2500));
    stop.store(true, SeqCst);
    sleep(Duration::from_millis(1800));

    let log = log.lock().map(|log| log.clone()).unwrap_or_default();
    let runs = leaver.runs.lock().map(|runs| runs.clone()).unwrap_or_default();
    let sound = |from: Duration| log.values().filter(|sent| sent.at >= from && sent.status == 200).count();
    record.line(&format!(
        "{} requests sent, {} served; {} of those sent when all were in touch again served",
        log.len(),
        sound(Duration::ZERO),
        sound(in_touch)
    ));
    if sound(in_touch) < 20 {
        return could_not("too little was served to judge");
    }
    let (mut late_runs, mut lost) = (0, 0);
    for run in &runs {
        let Some(sent) = log.get(&run.id) else { continue };
        if run.at > acknowledged + DRAIN && sent.at >= in_touch {
            late_runs += 1;
            let broken = sent.fragile && !run.answered;
            lost += u32::from(broken);
            record.line(&format!(
                "request {}{} sent at {:.3} reaches {} at {:.3}, {:.3} s after its leave was acknowledged; the client gets {}",
                run.id,
                if sent.fragile { " (fragile)" } else { "" },
                sent.at.as_secs_f64(),
                leaver.id,
                run.at.as_secs_f64(),
                (run.at - acknowledged).as_secs_f64(),
                sent.status
            ));
        }
    }
    record.line(&format!(
        "{late_runs} requests reached a server over {} s after its leave was acknowledged, sent on by machines in touch; \
         {lost} fragile ones of these were broken off by its end",
        DRAIN.as_secs_f64()
    ));
    drop(fleet);
    if late_runs > 0 { End::Broken } else { End::Held }
}
