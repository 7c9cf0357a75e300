//! `fallgap resolve NAME`.

use clap::Args;
use fallgap_dns::shell::{Hears, Shell};
use fallgap_dns::{Answer, Asking, Failure, Followed, Lifetimes, Over};
use serde_json::json;
use std::net::{IpAddr, SocketAddr};
use std::process::ExitCode;
use std::time::{Duration, Instant};

#[derive(Debug, Args)]
pub struct Resolve {
    /// The service, as `_store._tcp.example.org`.
    name: String,
    /// A name server; several are asked in turn. Port 53 unless given.
    #[arg(long, required = true, value_name = "ADDR[:PORT]", value_parser = address)]
    server: Vec<SocketAddr>,
    /// Milliseconds that one try may take.
    #[arg(long, default_value_t = 1000, value_parser = clap::value_parser!(u64).range(10..=60_000))]
    within: u64,
    /// Tries, over all name servers.
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u8).range(1..=32))]
    tries: u8,
    /// One object a line.
    #[arg(long)]
    json: bool,
}

fn address(text: &str) -> Result<SocketAddr, String> {
    let read = fallgap_operator::address_in_words(text, 53);
    read.ok_or_else(|| "no address as 127.0.0.53 or 127.0.0.53:53".into())
}

#[derive(Default)]
struct Heard(Option<Result<Answer, Failure>>);

impl Hears for Heard {
    fn answered(&mut self, _: Followed, answer: Answer) {
        self.0.get_or_insert(Ok(answer));
    }
    fn failed(&mut self, _: Followed, why: Failure, _: Duration) {
        self.0.get_or_insert(Err(why));
    }
}

pub async fn run(call: Resolve) -> ExitCode {
    let since = Instant::now();
    let within = Duration::from_millis(call.within);
    let asking = Asking { within, tries: call.tries.into(), ..Asking::default() };
    let seed = fastrand::u64(..);
    let clock = || since.elapsed();
    let mut shell = Shell::start(Heard::default(), clock, &call.server, asking, Lifetimes::default(), seed);
    let now = shell.now();
    if shell.resolver.follow(now, &call.name, true).is_none() {
        tracing::error!("{:?} is no domain name", call.name);
        return ExitCode::from(2);
    }
    let heard = loop {
        if let Some(heard) = shell.resolver.wire.tell.0.take() {
            break heard;
        }
        shell.step().await;
    };
    match heard {
        Ok(answer) if answer.rows.is_empty() => refuse(&call, "the service is decidedly not offered"),
        Ok(answer) => show(&call, &answer, since.elapsed()),
        Err(why) => refuse(&call, &why.to_string()),
    }
}

fn refuse(call: &Resolve, why: &str) -> ExitCode {
    if call.json {
        println!("{}", json!({ "name": call.name, "failed": why }));
    } else {
        println!("no usable answer for {}: {why}", call.name);
    }
    ExitCode::FAILURE
}

/// One line a record: priority, weight, port, target, addresses, lifetime in seconds.
fn show(call: &Resolve, answer: &Answer, took: Duration) -> ExitCode {
    let over = if answer.over == Over::Udp { "udp" } else { "tcp" };
    for row in &answer.rows {
        let (priority, weight, port, target) = (row.priority, row.weight, row.port, &row.target);
        if call.json {
            let record = json!({ "priority": priority, "weight": weight, "port": port, "target": target,
                "addresses": row.addresses, "ttl": answer.told });
            println!("{record}");
        } else {
            let addresses: Vec<String> = row.addresses.iter().map(IpAddr::to_string).collect();
            let addresses = if addresses.is_empty() { "-".into() } else { addresses.join(",") };
            println!("{priority} {weight} {port} {target} {addresses} {}", answer.told);
        }
    }
    let (records, tries, ms) = (answer.rows.len(), answer.tries, took.as_millis() as u64);
    if call.json {
        let way = json!({ "name": call.name, "records": records, "over": over, "by": answer.by, "tries": tries, "took_ms": ms });
        println!("{way}");
    } else {
        println!("{records} records over {over} from {} after {tries} tries, {ms} ms", answer.by);
    }
    ExitCode::SUCCESS
}
