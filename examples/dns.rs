//! A toy name server at 127.0.0.1:5353 that lists the toy's servers, and two that discovery does not know, as
//! `_toy._tcp.example.org`. Start it beside the toy (see the README). After sixty seconds it fails for half a
//! minute; it goes on naming the server that drains.

use fallgap_test_support::dns::{Data, NameServer, Trouble};
use hickory_proto::op::ResponseCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

const SERVICE: &str = "_toy._tcp.example.org";

fn main() -> std::io::Result<()> {
    actix_rt::System::new().block_on(play())
}

async fn play() -> std::io::Result<()> {
    let server = Rc::new(NameServer::default());
    let mut records = Vec::new();
    for i in 0..8u8 {
        let target = format!("toy-server-{i}.{}.example.org", ["north", "south"][usize::from(i % 2)]);
        server.set(&target, "A", 10, vec![Data::Address([10, 0, 0, i].into())]);
        records.push(Data::Srv { priority: 10, weight: 1, port: 8443, target });
    }
    server.set(SERVICE, "SRV", 10, records);
    server.along.set(true);
    println!("{SERVICE} is served at {}", server.listen("127.0.0.1:5353").await?);
    sleep(Duration::from_secs(60)).await;
    println!("fails for half a minute");
    server.always.set(Some(Trouble::Code(ResponseCode::ServFail)));
    sleep(Duration::from_secs(30)).await;
    println!("answers again");
    server.always.set(None);
    std::future::pending().await
}
