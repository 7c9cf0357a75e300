//! The rules, watched over a fleet under load that a real supervisor steers: drains, a crash and a return, a
//! stall, a server that aborts.

use fallgap_lab::experiment::file::{self, Variant};
use fallgap_lab::experiment::run::run;
use fallgap_lab::watched::Progress;
use tokio::sync::watch;

const FLEET: &str = r#"
    duration "7s"
    proxies 2
    op "lookup" { share 3.0; work "6ms"; timeout "1500ms"; target-latency "200ms" }
    op "box-move" { share 1.0; repeats "once-only"; work "8ms"; timeout "2s"; value 5 }
    servers "linz" { count 4; queue 60; cold-from 0.2; cold-over "2s" }
    servers "graz" { count 4; queue 60; cold-from 0.2; cold-over "2s" }
    load "ramp(60,140,5s)"
    clients { again "safely"; tries 2; pause "100ms" }
    fault "linz-1" { what "drain"; from "1s"; to "5s" }
    fault "graz-2" { what "crash"; from "1500ms"; to "3500ms" }
    fault "linz-3" { what "stall"; from "2s"; to "3s" }
    fault "graz-0" { what "aborts"; from "2s"; factor 0.9 }
"#;

#[test]
fn the_rules_hold_over_a_fleet_under_load() {
    let experiment = file::read(FLEET).unwrap();
    let program = Some(env!("CARGO_BIN_EXE_fallgap").into());
    let variant = Variant { name: "fallgap".into(), program, operator: None };
    let (_keep, stop) = watch::channel(false);
    let played = run(&experiment, &variant, 1, stop, Progress::default());
    let shown = actix_rt::System::new().block_on(played).unwrap();
    assert!(shown.rules.values().all(|broken| *broken == 0), "{:?}", shown.broken);
    assert!(shown.figures.acked > 0.95, "{:?}", shown.figures);
    assert_eq!(shown.doubled_by_clients, 0);
    let said = |part: &str| shown.marks.iter().any(|m| m.who == "supervisor" && m.what.contains(part));
    assert!(said("suspect"), "the supervisor saw nothing: {:?}", shown.marks);
    // Drained and gone servers get nothing while they are: what they did is their own record's matter.
    let busy = |second: usize, server: &str| {
        let place = shown.servers.iter().position(|name| name == server).unwrap();
        shown.ticks[second].busy[place]
    };
    assert!(busy(4, "linz-1") < 0.02 && busy(0, "linz-1") > 0.02);
}
