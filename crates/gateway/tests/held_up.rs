//! Processes that are frozen while callers go on elsewhere.

#[allow(dead_code)]
mod landing;

use fallgap_test_support::gateway::Client;
use landing::*;

/// A caller turns to a supervisor that is frozen, goes on to another after a second, takes the lock there and gives it
/// back. The first thaws, and finds the call: it does not take the lock for one that knows nothing of it.
#[test]
fn a_lock_is_not_taken_for_a_caller_that_has_gone_on() {
    let mut fleet = fleet();
    for machine in &fleet.machines {
        until("it knows the others", || machine.figure("supervisors").filter(|known| *known == 4));
    }
    let take = |holder: &str| format!(r#"{{"holder":"{holder}","hold_s_time":30}}"#);
    // The keepers answer each other, and this name's register is there.
    assert_eq!(post(&fleet.machines[0], "/-/locks/l1/start", &take("z")).0, 200);
    let (_, fence) = post(&fleet.machines[1], "/-/locks/l1/start", &take("z"));
    let end = |fence: &str, holder: &str| fence.replace('{', &format!(r#"{{"holder":"{holder}","#));
    assert_eq!(post(&fleet.machines[1], "/-/locks/l1/end", &end(&fence, "z")).0, 200);

    fleet.machines[0].signal("STOP");
    let frozen = fleet.machines[0].control();
    let body = take("a");
    let mut client = Client::connect(frozen, S).unwrap();
    client.send(&format!(
        "POST /-/locks/l1/start HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    ));
    assert_eq!(client.reply(), None, "a second of silence");
    let (status, fence) = post(&fleet.machines[1], "/-/locks/l1/start", &body);
    assert_eq!(status, 200);
    assert_eq!(post(&fleet.machines[2], "/-/locks/l1/end", &end(&fence, "a")).0, 200);
    fleet.machines[0].signal("CONT");
    client.reader.get_mut().set_read_timeout(Some(LONG)).unwrap();
    // 500 if the call had come in before the process stood still.
    let status = client.reply().map(|reply| reply.status);
    assert!(matches!(status, Some(500 | 503)), "{status:?}");
    assert_eq!(post(&fleet.machines[1], "/-/locks/l1/start", &take("b")).0, 200);
}
