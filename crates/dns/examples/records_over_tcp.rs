//! 10,000 records over TCP, in ten services since a message holds no more than 65,535 bytes: time, and peak
//! memory of the process that resolves. The stand-in runs in a process of its own; loopback.

use fallgap_dns::shell::{Hears, Shell};
use fallgap_dns::{Answer, Asking, Failure, Followed, Lifetimes};
use fallgap_test_support::dns::{Data, NameServer};
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};

const SERVICES: usize = 10;

#[derive(Default)]
struct Heard {
    answers: Vec<Answer>,
    failures: Vec<Failure>,
}

impl Hears for Heard {
    fn answered(&mut self, _: Followed, answer: Answer) {
        self.answers.push(answer);
    }
    fn failed(&mut self, _: Followed, why: Failure, _: Duration) {
        self.failures.push(why);
    }
}

fn service(i: usize) -> String {
    format!("_s{i}._tcp.example.org")
}

/// Serves so many records a service until its standard input closes.
async fn serve(records: usize) {
    let server = Rc::new(NameServer::default());
    for i in 0..SERVICES {
        let target = |n| Data::Srv { priority: 1, weight: 1, port: 8443, target: format!("n{n:x}.s{i}.x") };
        server.set(&service(i), "SRV", 60, (0..records).map(target).collect());
    }
    println!("{}", server.listen("127.0.0.1:0").await.expect("a port"));
    let waits = actix_rt::task::spawn_blocking(|| std::io::stdin().read_to_end(&mut Vec::new()));
    let _ = waits.await;
}

/// Kilobytes, as the system counts them.
fn memory(of: &str) -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with(of));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
}

async fn resolve(at: SocketAddr) -> (Heard, Duration) {
    let since = Instant::now();
    let asking = Asking { a_second: 1000, ..Asking::default() };
    let clock = || since.elapsed();
    let mut shell = Shell::start(Heard::default(), clock, &[at], asking, Lifetimes::default(), 1);
    for i in 0..SERVICES {
        let now = shell.now();
        shell.resolver.follow(now, &service(i), false);
    }
    loop {
        shell.step().await;
        let heard = &mut shell.resolver.wire.tell;
        if heard.answers.len() + heard.failures.len() >= SERVICES {
            return (std::mem::take(heard), since.elapsed());
        }
    }
}

fn main() {
    if let Some(records) = std::env::args().nth(1).and_then(|n| n.parse().ok()) {
        return actix_rt::System::new().block_on(serve(records));
    }
    println!("records  ms  us a record  resident before, kB  at most, kB");
    let (mut last, mut most) = (0.0, 0);
    for records in [10, 100, 1000] {
        let myself = std::env::current_exe().expect("a path");
        let mut child = Command::new(myself)
            .arg(records.to_string())
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the stand-in starts");
        let mut line = String::new();
        let mut out = BufReader::new(child.stdout.take().expect("its output"));
        out.read_line(&mut line).expect("its address");
        let at = line.trim().parse().expect("an address");
        let before = memory("VmRSS:");
        let (heard, took) = actix_rt::System::new().block_on(resolve(at));
        let all: usize = heard.answers.iter().map(|answer| answer.rows.len()).sum();
        assert_eq!((all, heard.failures), (SERVICES * records, vec![]));
        drop(child.stdin.take());
        let _ = child.wait();
        (last, most) = (took.as_secs_f64() * 1e3, memory("VmHWM:"));
        println!("{all:>7}  {last:.1}  {:.2}  {before}  {most}", last * 1e3 / all as f64);
    }
    println!("figure peak_resident_kb_10000_records {most}");
    println!("figure ms_10000_records {last:.1}");
}
