//! A process of hollow supervisors: one thread, all their sockets. It does what is written to it line by line, tells
//! what it holds, and ends when nobody writes any more.

use crate::node::{Counts, Node, Plan, TOKENS};
use mio::{Events, Poll};
use std::error::Error;
use std::io::{BufRead, Write};
use std::net::Ipv4Addr;
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const SECOND: Duration = Duration::from_secs(1);

#[derive(clap::Args, Clone)]
pub struct Crew {
    /// Its supervisors: from the first to the one before the last, by their numbers
    #[arg(long)]
    first: usize,
    #[arg(long)]
    last: usize,
    /// The first two parts of all addresses
    #[arg(long)]
    net: u8,
    #[arg(long)]
    port: u16,
    /// Keepers, of which up to three are asked at the start
    #[arg(long)]
    keepers: usize,
    /// Of all servers every so manyth beats here, from that one on
    #[arg(long)]
    crews: usize,
    #[arg(long)]
    crew: usize,
    #[arg(long)]
    servers: usize,
    #[arg(long)]
    services: usize,
    #[arg(long)]
    zones: usize,
    /// It ends after so many seconds in any case
    #[arg(long)]
    seconds: u64,
}

pub fn keeper_ip(net: u8, at: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, net, 0, at as u8 + 1)
}

pub fn node_ip(net: u8, at: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, net, 1 + (at / 250) as u8, (at % 250) as u8 + 1)
}

/// Milliseconds of the calendar: the same in all processes of one machine.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

struct Hollow {
    asked: Crew,
    nodes: Vec<Option<Node>>,
    poll: Poll,
    clock: Instant,
    rng: fastrand::Rng,
    counts: Counts,
    /// The part of the servers that beat.
    beating: f64,
    reports: usize,
    /// So many supervisors are to run; the next one starts then, the one after it so much later.
    wanted: usize,
    next_start: Duration,
    pace: Duration,
}

impl Hollow {
    fn now(&self) -> Duration {
        // Above zero, so that spans may be taken off it.
        self.clock.elapsed() + SECOND * 100
    }

    fn start(&mut self, at: usize) -> std::io::Result<()> {
        let Crew { first, net, port, keepers, zones, services, .. } = self.asked;
        let seeds = (0..keepers.min(3)).map(|at| keeper_ip(net, at)).collect();
        let plan = Plan { port, seeds, zones, services };
        let (now, me) = (self.now(), node_ip(net, first + at));
        let zone = (first + at) % zones;
        let node = Node::start(self.poll.registry(), now, at, me, zone, plan, &mut self.rng)?;
        if let Some(held) = self.nodes.get_mut(at) {
            *held = Some(node);
        }
        Ok(())
    }

    /// Each server beats at one supervisor of those that run.
    fn share(&mut self) {
        let (now, reports) = (self.now(), (self.reports, self.asked.servers));
        let most = (self.asked.servers as f64 * self.beating) as usize;
        let running = self.nodes.iter().flatten().count();
        let (crew, crews) = (self.asked.crew, self.asked.crews);
        for (turn, node) in self.nodes.iter_mut().flatten().enumerate() {
            node.reports = reports;
            node.beats(now, (crew..most).step_by(crews).skip(turn).step_by(running).collect());
        }
    }

    /// One line that was written to it.
    fn told(&mut self, line: &str) {
        let mut parts = line.split(' ');
        let verb = parts.next().unwrap_or_default();
        let mut figure = || parts.next().and_then(|text| text.parse::<f64>().ok()).unwrap_or_default();
        match verb {
            "beat" => self.beating = figure(),
            "report" => self.reports = figure() as usize,
            "stop" => {
                self.wanted = 0;
                let part = (self.nodes.len() as f64 * figure()) as usize;
                for held in self.nodes.iter_mut().take(part) {
                    if let Some(node) = held.take() {
                        self.counts.add(&node.counts);
                    }
                }
            }
            "start" => {
                self.wanted = (self.nodes.len() as f64 * figure()).ceil() as usize;
                self.pace = Duration::from_secs_f64(figure() / 1e3);
                self.next_start = self.now();
            }
            _ => {}
        }
        self.share();
    }

    /// Starts the next supervisors that are due; tells whether all that are wanted run.
    fn starts(&mut self, now: Duration) -> std::io::Result<bool> {
        let mut any = false;
        loop {
            let next = self.nodes.iter().take(self.wanted).position(Option::is_none);
            let Some(at) = next else { break };
            if now < self.next_start {
                return Ok(false);
            }
            self.start(at)?;
            self.next_start += self.pace;
            any = true;
        }
        if any {
            self.share();
        }
        Ok(true)
    }

    /// What it holds now, as one line.
    fn tells(&mut self, now: Duration) -> String {
        let mut counts = std::mem::take(&mut self.counts);
        let (mut fresh, mut least, mut most, mut known, mut there) = (0, u64::MAX, 0, usize::MAX, 0);
        for node in self.nodes.iter_mut().flatten() {
            counts.add(&std::mem::take(&mut node.counts));
            there += 1;
            fresh += usize::from(node.age(now).is_some_and(|age| age < SECOND));
            (least, most) = (least.min(node.edition), most.max(node.edition));
            known = known.min(node.known.unwrap_or(usize::MAX));
        }
        let Counts { out_words, out_bytes, in_words, in_bytes, wholes, whole_bytes, .. } = counts;
        let Counts { deltas, delta_bytes, datagrams_in, datagrams_out, datagram_bytes_out, .. } = counts;
        format!(
            "is {there} {fresh} {least} {most} {known} {out_words} {out_bytes} {in_words} {in_bytes} {wholes} \
             {whole_bytes} {deltas} {delta_bytes} {datagrams_in} {datagrams_out} {datagram_bytes_out}"
        )
    }
}

fn lines() -> Receiver<String> {
    let (tell, told) = channel();
    std::thread::spawn(move || {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            let _ = tell.send(line);
        }
        // Whoever wrote is gone.
        std::process::exit(0);
    });
    told
}

pub fn run(asked: Crew) -> Result<(), Box<dyn Error>> {
    let lines = lines();
    let count = asked.last.saturating_sub(asked.first);
    let mut hollow = Hollow {
        nodes: (0..count).map(|_| None).collect(),
        poll: Poll::new()?,
        clock: Instant::now(),
        rng: fastrand::Rng::new(),
        counts: Counts::default(),
        beating: 0.0,
        reports: 0,
        wanted: 0,
        next_start: Duration::ZERO,
        pace: Duration::ZERO,
        asked,
    };
    let mut events = Events::with_capacity(1024);
    let mut buffer = vec![0; 4096];
    let mut editions: u64 = 0;
    let (mut tells, end) = (hollow.now(), hollow.now() + SECOND * hollow.asked.seconds as u32);
    let mut wakes = vec![Duration::ZERO; count];
    let mut all_run = true;
    loop {
        let now = hollow.now();
        if now >= end {
            return Ok(());
        }
        let next = wakes.iter().copied().min().unwrap_or(tells).min(tells);
        let next = if all_run { next } else { next.min(hollow.next_start) };
        // A little together: each turn costs.
        let wait = next.saturating_sub(now).max(Duration::from_micros(500));
        match hollow.poll.poll(&mut events, Some(wait)) {
            Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
            other => other?,
        }
        let now = hollow.now();
        all_run = hollow.starts(now)?;
        let Hollow { poll, nodes, .. } = &mut hollow;
        let registry = poll.registry();
        for event in &events {
            let at = (event.token().0 / TOKENS).wrapping_sub(1);
            if let Some(Some(node)) = nodes.get_mut(at) {
                node.event(now, registry, event, &mut buffer);
                wakes[at] = Duration::ZERO;
            }
        }
        let (mut least, mut all) = (u64::MAX, true);
        for (held, wake) in nodes.iter_mut().zip(&mut wakes) {
            let Some(node) = held else {
                // One that starts is looked at at once.
                (*wake, all) = (Duration::MAX, false);
                continue;
            };
            if *wake == Duration::MAX {
                *wake = Duration::ZERO;
            }
            if *wake <= now {
                if node.next_wake() <= now {
                    node.woke(now, registry);
                }
                node.carry(now, registry);
                *wake = node.next_wake();
            }
            least = least.min(node.edition);
        }
        let mut out = std::io::stdout().lock();
        if all && least != u64::MAX && least > editions {
            editions = least;
            writeln!(out, "all {least} {}", wall_ms())?;
        }
        if now >= tells {
            tells = now + SECOND / 4;
            writeln!(out, "{}", hollow.tells(now))?;
        }
        drop(out);
        while let Ok(line) = lines.try_recv() {
            hollow.told(&line);
            wakes.fill(Duration::ZERO);
        }
    }
}
