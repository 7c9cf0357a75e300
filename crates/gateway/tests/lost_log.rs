//! A supervisor whose log nobody reads any more.

#[allow(dead_code)]
mod landing;

use landing::*;
use std::path::Path;
use std::process::{Command, Stdio};

/// The machine of the fleet without a disk.
const FRONT: usize = 3;

/// Guards against a supervisor that ends with 101 at its next line, as the log complained of itself where nobody reads it.
#[test]
fn a_supervisor_serves_on_when_its_log_has_lost_its_reader() {
    let mut fleet = fleet();
    let front = &mut fleet.machines[FRONT];
    front.signal("KILL");
    assert!(front.wait(LONG).is_some());
    let mut process = Command::new(Path::new(env!("CARGO_BIN_EXE_gateway")))
        .arg("serve")
        .env("FALLGAP_CONFIG", front.settings())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    drop(process.stderr.take());
    until("it answers", || front.figure("supervisors").filter(|count| *count == 4));
    // Each makes a line of the log.
    for _ in 0..3 {
        Command::new("kill").args(["-HUP", &process.id().to_string()]).status().unwrap();
        until("it answers still", || front.figure("supervisors"));
    }
    assert_eq!(process.try_wait().unwrap(), None, "it has ended");
    process.kill().unwrap();
    process.wait().unwrap();
}
