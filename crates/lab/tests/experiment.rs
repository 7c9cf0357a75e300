//! Experiments without a supervisor: the baseline, what it shows, and files that cannot be used.

use fallgap_lab::experiment::compare::compare;
use fallgap_lab::experiment::file::{self, Variant};
use fallgap_lab::experiment::result::Shown;
use fallgap_lab::experiment::run::run;
use fallgap_lab::report;
use fallgap_lab::watched::Progress;
use tokio::sync::watch;

const EXAMPLE: &str = include_str!("../../../examples/experiments/campaign.kdl");

#[test]
fn the_example_is_read() {
    let read = file::read(EXAMPLE).unwrap();
    assert_eq!((read.servers.len(), read.zones.len(), read.proxies, read.ops.len()), (20, 2, 3, 3));
    assert_eq!(read.servers[2].faults.len(), 1);
    assert_eq!(read.variants[1].program.as_deref(), Some("target/release/fallgap".as_ref()));
}

#[test]
fn faults_of_a_file_are_told_at_once() {
    let text = "seed \"x\"\nop \"a\" { repeats \"maybe\" }\nservers \"z\" { count 2 }\nload \"ramp(1)\"\n\
        fault \"z-9\" { what \"stall\" }\nfault \"z-1\" { what \"sulk\" }\nvariant \"../x\" {}\n";
    let faults: Vec<String> = file::read(text).unwrap_err().iter().map(|f| f.to_string()).collect();
    let lines: Vec<&str> = faults.iter().map(|f| f.split(':').next().unwrap()).collect();
    assert_eq!(lines, ["1", "1", "2", "4", "5", "6", "7"], "{faults:?}");
}

/// One even table over a fleet with a drain and aborts: the figures add up, the rules are watched, and the page
/// shows it.
#[test]
fn the_baseline_is_played_and_shown() {
    let text = "duration \"3s\"\nproxies 2\nop \"lookup\" { work \"4ms\"; timeout \"800ms\"; target-latency \"100ms\" }\n\
        servers \"linz\" { count 3; queue 50 }\nload \"120\"\n\
        fault \"linz-0\" { what \"drain\"; from \"1s\"; to \"9s\" }\nfault \"linz-1\" { what \"aborts\"; from \"2s\"; factor 0.5 }\n";
    let experiment = file::read(text).unwrap();
    let (_keep, stop) = watch::channel(false);
    let even = Variant { name: "even".into(), ..Variant::default() };
    let played = run(&experiment, &even, 1, stop, Progress::default());
    let shown = actix_rt::System::new().block_on(played).unwrap();
    let figures = &shown.figures;
    assert!((figures.acked + figures.rejected + figures.lost - 1.0).abs() < 1e-9);
    assert!(figures.lost > 0.05 && figures.acked > 0.7, "{figures:?}");
    assert_eq!(figures.rules_broken, 0.0, "{:?}", shown.broken);
    assert!(shown.ticks[1].busy[0] < shown.ticks[0].busy[0] && shown.ticks.len() >= 3);
    let again: Shown = serde_json::from_slice(&serde_json::to_vec(&shown).unwrap()).unwrap();
    assert_eq!((&again.marks, &again.rules, again.by_type.len()), (&shown.marks, &shown.rules, 1));
    let compared = compare(std::slice::from_ref(&shown), std::slice::from_ref(&again));
    assert!(compared.iter().all(|c| c.words() == "no difference shown"));
    let variants = [("even".to_owned(), vec![shown.clone()]), ("again".to_owned(), vec![again])];
    let page = report::page("a <b> run", &variants, &[("again".to_owned(), compared)]);
    assert!(page.contains("a &lt;b&gt; run") && page.matches("<svg").count() == 6);
    assert!(page.contains("Drain begins") && page.contains("no difference shown"));
}

/// Guards against an experiment that ends only by itself.
#[test]
fn a_run_that_is_cut_tells_what_it_measured() {
    let text = "duration \"60s\"\nop \"a\" { work \"1ms\" }\nservers \"z\" { count 1 }\nload 200\n";
    let experiment = file::read(text).unwrap();
    let (cut, stop) = watch::channel(false);
    let progress = Progress::default();
    let even = Variant { name: "even".into(), ..Variant::default() };
    let shown = actix_rt::System::new().block_on(async {
        let seen = progress.clone();
        actix_rt::spawn(async move {
            while seen.0.0.load(std::sync::atomic::Ordering::Relaxed) < 50 {
                tokio::time::sleep(std::time::Duration::from_millis(5)).await;
            }
            cut.send(true).unwrap();
        });
        run(&experiment, &even, 1, stop, progress).await.unwrap()
    });
    assert!(shown.seconds < 20.0 && shown.by_type[0].intended >= 50);
}
