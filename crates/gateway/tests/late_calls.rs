//! Control calls that come at once are all answered, and none is begun for a caller that has gone on.

#[allow(dead_code)]
mod landing;

use fallgap_test_support::gateway::{Client, Landing, Supervisor};
use landing::*;

fn put(key: &str, value: &str) -> String {
    let body = format!(r#"{{"value":"{value}"}}"#);
    format!("POST /-/cells/{key}/put HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// A fleet whose registers answer.
fn settled_fleet() -> Landing {
    let fleet = fleet();
    for machine in &fleet.machines {
        until("it knows the others", || machine.figure("supervisors").filter(|known| *known == 4));
    }
    assert_eq!(post(&fleet.machines[0], "/-/numbers/n1", "{}").0, 200);
    fleet
}

/// Connections come eight at a time while others rest: none of them is left unread. A connection that is read when its
/// caller has long gone on would carry its call out as late as that.
#[test]
fn calls_that_come_at_once_are_all_answered() {
    let fleet = settled_fleet();
    let at = fleet.machines[0].control();
    let mut resting: Vec<Client> = Vec::new();
    for burst in 0..20 {
        let mut clients: Vec<Client> = (0..8).map(|_| Client::connect(at, S).unwrap()).collect();
        for (place, client) in clients.iter_mut().enumerate() {
            client.send(&put(&format!("g{place}.{burst}"), "v"));
        }
        for (place, client) in clients.iter_mut().enumerate() {
            client.reader.get_ref().set_read_timeout(Some(5 * S)).unwrap();
            assert!(client.reply().is_some(), "burst {burst}, call {place}: no answer");
        }
        resting.extend(clients.into_iter().take(2));
    }
}

/// Callers that come at once, and go on elsewhere after a second without an answer: what they asked is not carried out
/// later, as the connections of the others end and leave room.
#[test]
fn nothing_is_begun_for_a_caller_that_has_gone_on() {
    let fleet = settled_fleet();
    let at = &fleet.machines[0];
    let mut answered = Vec::new();
    let mut unanswered = Vec::new();
    for burst in 0..10 {
        let mut clients: Vec<Client> = (0..8).map(|_| Client::connect(at.control(), S).unwrap()).collect();
        for (place, client) in clients.iter_mut().enumerate() {
            client.send(&put(&format!("g{place}.late{burst}"), "late"));
        }
        for (place, mut client) in clients.into_iter().enumerate() {
            match client.reply() {
                Some(_) => answered.push(client),
                None => unanswered.push(format!("g{place}.late{burst}")),
            }
        }
    }
    drop(answered);
    none_is_late(at, &unanswered);
}

/// The same where the process stands still meanwhile.
#[test]
fn nothing_is_begun_for_callers_that_went_on_while_the_process_stood_still() {
    let mut fleet = settled_fleet();
    let frozen = &mut fleet.machines[0];
    frozen.signal("STOP");
    let mut clients: Vec<Client> = (0..8).map(|_| Client::connect(frozen.control(), S).unwrap()).collect();
    for (place, client) in clients.iter_mut().enumerate() {
        client.send(&put(&format!("g{place}.late"), "late"));
    }
    assert_eq!(clients[0].reply(), None, "a second of silence");
    drop(clients);
    frozen.signal("CONT");
    let late: Vec<String> = (0..8).map(|place| format!("g{place}.late")).collect();
    none_is_late(frozen, &late);
}

/// What these callers asked is not there, however much is asked and answered behind it.
fn none_is_late(at: &Supervisor, keys: &[String]) {
    for round in 0..20 {
        for place in 0..8 {
            assert_eq!(post(at, &format!("/-/cells/g{place}.{round}/put"), r#"{"value":"v"}"#).0, 200);
        }
    }
    for key in keys {
        let (status, text) = read(at, &format!("/-/cells/{key}/get"));
        assert_eq!(status, 404, "the put of {key} was carried out: {text}");
    }
}
