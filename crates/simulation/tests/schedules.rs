//! Schedules as files.

use fallgap_simulation::schedule::{Act, NoSchedule, Schedule, Waters};

#[test]
fn a_schedule_is_read_back_as_it_was_printed() {
    let waters = Waters {
        disks: &[3, 4],
        tolerate: 1,
        troubles: &Act::ALL,
        time_ms: 3000,
        apart_ms: (10, 100),
        callers: 3,
        calls_ms: (10, 50),
        founding: false,
    };
    let schedule = Schedule::draw(7, &waters);
    assert!(schedule.steps.len() > 50);
    assert_eq!(schedule.to_string().parse(), Ok(schedule.clone()));
    let bad = schedule.to_string().replacen("call ", "cull ", 1);
    assert!(matches!(bad.parse::<Schedule>(), Err(NoSchedule::Act(..))));
    let Err(NoSchedule::Line(1, head)) = "5 call 6".parse::<Schedule>() else {
        panic!("it has no head");
    };
    assert!(head.starts_with("sextant 1 seed N"));
    // Rates of clocks stand at the head's end, if there are any.
    let drifts = Schedule { drift_ppm: 50_000, ..schedule };
    assert_eq!(drifts.to_string().parse(), Ok(drifts.clone()));
    for odd in [" drift", " drift x", " drift 900000", " drift 5 6"] {
        let text = drifts.to_string().replacen(" drift 50000", odd, 1);
        assert!(text.parse::<Schedule>().is_err(), "{odd}");
    }
}
