//! A control call's body belongs to that call, whether it is read or not.

#[allow(dead_code)]
mod landing;

use fallgap_test_support::gateway::Client;
use landing::*;

/// Each call gets one answer, and the one behind it on the same connection its own.
#[test]
fn what_is_left_of_a_body_is_no_call() {
    let fleet = fleet();
    let machine = &fleet.machines[0];
    until("it answers", || machine.get("/-/status"));
    let hidden = "GET /-/verdicts HTTP/1.1\r\nHost: x\r\n\r\n";
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n0\r\n\r\n", text.len());
    let chunks = |path: &str, text: &str| {
        let body = chunk(text);
        format!("POST {path} HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n{body}")
    };
    let long = hidden.repeat(3000);
    let length = long.len();
    let cases = [
        ("not read, in chunks", chunks("/-/numbers/n", hidden), &[200, 503][..]),
        ("no such call", chunks("/-/none", hidden), &[404]),
        ("too long, in chunks", chunks("/-/locks/l/start", &long), &[413]),
        (
            "too long",
            format!("POST /-/locks/l/start HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n{long}"),
            &[413],
        ),
    ];
    for (name, call, wanted) in cases {
        let mut client = Client::connect(machine.control(), LONG).unwrap();
        let first = client.ask(&call);
        assert!(wanted.contains(&first.status), "{name}: {}", first.status);
        let next = client.ask("GET /-/status HTTP/1.1\r\nHost: x\r\n\r\n");
        assert_eq!(next.status, 200, "{name}");
        assert!(next.text().contains("\"node\""), "{name}: {}", next.text());
    }
}
