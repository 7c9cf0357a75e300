//! What a request that runs once for its key costs beside a plain one that may run once: the same client, one at a time, over four
//! real processes, three of them with a disk. Prints `figure NAME VALUE`.

#[path = "beside/mod.rs"]
mod beside;

use fallgap_test_support::gateway::{Beating, Client, Does, Landing, Notice, Server, call, get, ok};
use std::error::Error;
use std::time::{Duration, Instant};

const REQUESTS: usize = 1500;
const FRONT: usize = 3;
const PATIENCE: Duration = Duration::from_secs(5);
const CONFIGURATION: &str = r#"{"edition":1,
"routes":{"fields":["name","depot","lane_prefix","route_class","timeout_s","target_s","priority","attempts","service"],
"entries":[["r1","h.example","/plain/","fragile",2,0.25,0,2,"s"],["r2","h.example","/order/","registered",2,0.25,0,2,"s"]]},
"services":{"fields":["name","health_path","line_cap"],"entries":[["s","/health",64]]},
"limits":{"header_bytes":16384,"body_bytes":1048576,"header_s":3,"idle_s":15}}"#;

fn until(mut is_so: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(30);
    while !is_so() && Instant::now() < end {
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// The times of so many requests, sorted.
fn times(client: &mut Client, request: impl Fn(usize) -> String) -> Vec<Duration> {
    let mut times: Vec<Duration> = (0..REQUESTS)
        .map(|number| {
            let began = Instant::now();
            let status = client.ask(&request(number)).status;
            assert_eq!(status, 200, "request {number}");
            began.elapsed()
        })
        .collect();
    times.sort();
    times
}

fn main() -> Result<(), Box<dyn Error>> {
    let folder = std::env::temp_dir().join(format!("gateway-operations-cost-{}", std::process::id()));
    let net = [127, 121, (std::process::id() % 250) as u8 + 1];
    let mut fleet = Landing::open(&beside::beside()?, &folder, net, &["a"], &[true, true, true, false])?;
    fleet.start_all(true)?;
    let control = fleet.machines[0].control();
    until(|| call(control, "POST", "/-/config/put", CONFIGURATION).is_some_and(|reply| reply.status == 200));
    let server = Server::start("i-1", |got| Does::Sends(ok(got, "bytes")));
    let _beating =
        Beating::start(Notice::of(&server, "s", "a", 64), fleet.controls(), Duration::from_millis(300));
    until(|| fleet.machines.iter().all(|machine| machine.is_ready()));
    let mut client = Client::connect(fleet.machines[FRONT].front(), PATIENCE)?;
    // The links to the members are opened by the first.
    let order = |number: usize| {
        let key = format!("X-Idempotency-Key: k-{number}\r\nX-Deadline-Ms");
        get("/order/", &format!("o-{number}")).replace("X-Deadline-Ms", &key)
    };
    until(|| client.ask(&order(REQUESTS)).status == 200);
    let plain = times(&mut client, |number| get("/plain/", &format!("p-{number}")));
    let ordered = times(&mut client, order);
    for (name, times) in [("plain", plain), ("registered", ordered)] {
        let at = |part: usize| times[(times.len() * part / 100).min(times.len() - 1)].as_secs_f64() * 1e3;
        println!("figure {name}_ms_p50 {:.2}", at(50));
        println!("figure {name}_ms_p99 {:.2}", at(99));
    }
    Ok(())
}
