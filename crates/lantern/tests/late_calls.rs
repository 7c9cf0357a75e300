//! Control calls that come at once are all answered.

#[allow(dead_code)]
mod landing;

use fallgap_standin::gateway::{Client, Landing};
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
