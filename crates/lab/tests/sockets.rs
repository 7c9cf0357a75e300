//! The generator against servers on loopback sockets: what it records is what they did.

use fallgap::Repeats;
use fallgap_lab::arrivals::{Kind, Op, Schedule, Spacing, Stream, Work};
use fallgap_lab::clients::{Again, Clients, Ended};
use fallgap_lab::emulated::shell::Server;
use fallgap_lab::emulated::{Effects, Fault, Machine, Make, Script, Truth, What};
use fallgap_lab::frames::{Answer, REQUEST, Request};
use fallgap_lab::load::{Came, Goal, Run, play};
use fallgap_lab::watched::Progress;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::sync::watch;

const MS: Duration = Duration::from_millis(1);

fn kind(repeats: Repeats, timeout: Duration) -> Kind {
    Kind { name: "op".into(), repeats, timeout, work: Work::Fixed(MS), keys: 1000, tenants: 3 }
}

fn schedule(
    kind: &Kind, shape: &str, span: Duration,
) -> impl Fn(u64) -> Box<dyn Iterator<Item = Op>> + Send + Sync {
    let (kind, shape) = (kind.clone(), shape.parse().unwrap());
    let stream = Stream { shape, spacing: Spacing::Poisson, zone: 0, kinds: vec![(0, 1.0)] };
    move |worker| {
        Box::new(Schedule::new(vec![kind.clone()], std::slice::from_ref(&stream), span, 7).part(worker, 2))
    }
}

fn run_of(goal: Goal, kind: Kind, clients: Clients, connections: usize) -> Run {
    Run {
        goal,
        kinds: vec![kind],
        clients,
        workers: 2,
        connections,
        most_pending: 50_000,
        phases: Vec::new(),
        seed: 3,
        records: true,
        export: None,
    }
}

fn played(run: &Run, schedule: impl Fn(u64) -> Box<dyn Iterator<Item = Op>> + Send + Sync) -> Came {
    let (_keep, stop) = watch::channel(false);
    let came = play(run, schedule, &stop, &Progress::default());
    let whole = came.ledger.whole();
    assert_eq!(whole.intended, whole.acked + whole.rejected + whole.aborted + whole.unsent);
    came
}

/// A server in a thread of its own, and what it truly did once it is ended.
struct Aside {
    goal: Goal,
    end: mpsc::Sender<()>,
    thread: JoinHandle<(Truth, Instant)>,
}

impl Aside {
    fn start(make: Make, faults: Vec<Fault>, http: bool) -> Aside {
        let (end, ended) = mpsc::channel::<()>();
        let (tell, told) = mpsc::channel();
        let thread = std::thread::spawn(move || {
            actix_rt::System::new().block_on(async {
                let start = Instant::now();
                let server = Server::new(Machine::new(make, Script::new(faults), None, 1), start);
                let goal = match http {
                    true => Goal::Http(format!("http://{}/", server.http("127.0.0.1:0").await.unwrap())),
                    false => Goal::Framed(server.framed("127.0.0.1:0").await.unwrap()),
                };
                tell.send(goal).unwrap();
                while let Err(mpsc::TryRecvError::Empty) = ended.try_recv() {
                    tokio::time::sleep(MS * 5).await;
                }
                (std::mem::take(&mut server.machine.borrow_mut().truth), start)
            })
        });
        Aside { goal: told.recv().unwrap(), end, thread }
    }
    fn end(self) -> (Truth, Instant) {
        self.end.send(()).unwrap();
        self.thread.join().unwrap()
    }
}

/// The target stalls while arrivals go on: what is recorded for each op is what the server truly made of it.
#[test]
fn a_stall_is_recorded_as_it_was() {
    for http in [false, true] {
        let (from, to) = (MS * 800, MS * 3800);
        let stall = Fault { from, to, what: What::Stall };
        let make = Make { cores: 4, queue: 10_000, ..Make::default() };
        let server = Aside::start(make, vec![stall], http);
        let kind = kind(Repeats::Retryable, MS * 6000);
        let run = run_of(server.goal.clone(), kind.clone(), Clients::default(), 600);
        let came = played(&run, schedule(&kind, "250", MS * 4500));
        let (truth, start) = server.end();
        // Answers left the server at these times, told on the generator's clock.
        let left: BTreeMap<u64, Duration> = truth
            .served
            .iter()
            .filter_map(|s| Some((s.request.id, (start + s.answered?).saturating_duration_since(came.start))))
            .collect();
        // The stall is on the server's clock, which began before the generator's: by how much is the machine's matter.
        let on_clock = |at: Duration| (start + at).saturating_duration_since(came.start);
        let waits = on_clock(from)..on_clock(to).saturating_sub(MS * 500);
        let mut off: Vec<Duration> = Vec::new();
        let (mut stalled, mut due) = (0, 0);
        for record in &came.records {
            assert_eq!(record.ended, Ended::Acked);
            let truly = left[&record.id].saturating_sub(record.at);
            off.push(record.took.saturating_sub(truly));
            assert!(record.took + MS * 2 >= truly, "answered before the answer left");
            let came_in_it = waits.contains(&record.at);
            assert!(!came_in_it || record.took > MS * 500, "{:?} at {:?}, {waits:?}", record.took, record.at);
            stalled += usize::from(record.took > MS * 500);
            due += usize::from(came_in_it);
        }
        off.sort();
        // 250 a second; each that came in the stall, half a second before its end at the latest, has waited so long.
        let lasted = (waits.end - waits.start).as_secs_f64();
        assert!(lasted > 1.0, "the generator began when the stall was nearly over: {waits:?}");
        assert!(due as f64 > lasted * 250.0 * 0.95, "{due} ops came in the {lasted} s of the stall");
        assert!(stalled >= due, "{stalled} ops waited in the stall, in which {due} came");
        // All that waited is answered in one moment; the last of them is read a little later.
        let (median, most) = (off[off.len() / 2], off[off.len() - 1]);
        assert!(median < MS * 20 && most < MS * 400, "http {http}: {median:?}, largest {most:?}");
        assert!(came.ledger.whole().acks.value_at_quantile(0.9) > 1_000_000);
    }
}

/// Guards against ops of a burst that vanish, and lateness that is not told.
#[test]
fn bursts_ten_times_the_mean() {
    let server = Aside::start(Make { cores: 8, queue: 100_000, ..Make::default() }, Vec::new(), false);
    let kind = kind(Repeats::Retryable, MS * 5000);
    // 100 ms of each second at 2,000 a second; 200 a second on the mean.
    let steps: Vec<String> = (0..2)
        .flat_map(|s| [format!("2000@{}ms", s * 1000 + 1), format!("0@{}ms", s * 1000 + 101)])
        .collect();
    let shape = format!("steps({})", steps.join(","));
    for speed in [1.0, 2.0] {
        let run = run_of(server.goal.clone(), kind.clone(), Clients::default(), 4);
        let shape: fallgap_lab::arrivals::Shape =
            shape.parse::<fallgap_lab::arrivals::Shape>().unwrap().sped_up(speed);
        let stream = Stream { shape, spacing: Spacing::Even, zone: 0, kinds: vec![(0, 1.0)] };
        let kinds = vec![kind.clone()];
        let came = played(&run, move |worker| {
            let all = Schedule::new(kinds.clone(), std::slice::from_ref(&stream), MS * 2000, 1);
            Box::new(all.part(worker, 2))
        });
        let whole = came.ledger.whole();
        let due = (400.0 / speed) as u64;
        assert!(
            whole.intended.abs_diff(due) <= 2 && whole.acked == whole.intended,
            "{} {due}",
            whole.intended
        );
        assert_eq!(came.ledger.lateness.len(), whole.intended, "each op's lateness is told");
    }
    server.end();
}

/// Answers in ways that no server should, by the op's number.
fn odd_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || {
                let mut stream = stream;
                let mut waits: Vec<Answer> = Vec::new();
                let mut frame = [0; REQUEST];
                while stream.read_exact(&mut frame).is_ok() {
                    let Some(Request { id, tries, .. }) = Request::read(&frame) else { return };
                    let answer = Answer { id, tries, ended: Ended::Acked, active: 0, busy: 0 };
                    let mut out = Vec::new();
                    match id % 10 {
                        0 => (0..2).for_each(|_| answer.write(&mut out)),
                        1 => waits.push(answer),
                        // Whoever waits for this one never hears; the one before it is answered out of turn.
                        2 => waits.drain(..).for_each(|waited| waited.write(&mut out)),
                        3 => Answer { id: u64::MAX, ..answer }.write(&mut out),
                        _ => answer.write(&mut out),
                    }
                    if stream.write_all(&out).is_err() {
                        return;
                    }
                }
            });
        }
    });
    at
}

/// Guards against answers that are counted twice, to the wrong op, or waited for for ever.
#[test]
fn odd_answers_are_strays() {
    let kind = kind(Repeats::Retryable, MS * 400);
    // One worker with one connection: answers out of turn need a turn.
    let run = Run { workers: 1, ..run_of(Goal::Framed(odd_server()), kind.clone(), Clients::default(), 1) };
    let halves = schedule(&kind, "500", MS * 1500);
    let all = move |_| -> Box<dyn Iterator<Item = Op>> {
        let mut all: Vec<Op> = halves(0).chain(halves(1)).collect();
        all.sort_by_key(|op| op.id);
        Box::new(all.into_iter())
    };
    let came = played(&run, all);
    for record in &came.records {
        let due = match record.id % 10 {
            2 | 3 => Ended::Late,
            _ => Ended::Acked,
        };
        // The last one that waits for its turn may have no other after it.
        let last = record.id % 10 == 1 && record.at + MS * 100 > MS * 1500;
        assert!(record.ended == due || last, "{record:?}");
    }
    assert!(came.strays > 100, "{}", came.strays);
    assert!(came.ledger.whole().aborted > 100);
}

/// Guards against runs that hang, or lose count, on targets that refuse, reset, abort or never answer.
#[test]
fn targets_that_fail() {
    let kind = kind(Repeats::Retryable, MS * 300);
    let nobody = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    for goal in [Goal::Framed(nobody), Goal::Http(format!("http://{nobody}/"))] {
        let came =
            played(&run_of(goal, kind.clone(), Clients::default(), 4), schedule(&kind, "200", MS * 500));
        let whole = came.ledger.whole();
        assert_eq!((whole.unsent, whole.acked), (whole.intended, 0));
    }
    for (what, http) in [
        (What::Resets(0.5), false),
        (What::Resets(0.5), true),
        (What::Hang, false),
        (What::Hang, true),
        (What::HalfOpen, false),
        (What::Aborts(0.5), true),
        (What::Crash, false),
    ] {
        let fault = Fault { from: MS * 300, to: MS * 60_000, what };
        let server = Aside::start(Make { cores: 8, ..Make::default() }, vec![fault], http);
        let run = run_of(server.goal.clone(), kind.clone(), Clients::default(), 8);
        let came = played(&run, schedule(&kind, "200", MS * 1200));
        let whole = came.ledger.whole();
        assert!(whole.aborted + whole.unsent > 40 && whole.acked > 10, "{what:?}: {whole:?}");
        server.end();
    }
}

/// Guards against a pool that is used up and hides how long ops wait for it.
#[test]
fn waiting_for_the_pool_is_latency() {
    let server = Aside::start(Make { cores: 64, ..Make::default() }, Vec::new(), true);
    let slow = Kind { work: Work::Fixed(MS * 100), ..kind(Repeats::Retryable, MS * 1000) };
    // One connection a worker carries ten a second; thirty come.
    let run = run_of(server.goal.clone(), slow.clone(), Clients::default(), 1);
    let came = played(&run, schedule(&slow, "60", MS * 2000));
    let whole = came.ledger.whole();
    let lost = whole.unsent + whole.aborted;
    assert!(came.ledger.held > 50 && lost > 40, "{} {lost}", came.ledger.held);
    assert!(whole.acks.value_at_quantile(0.9) > 500_000);
    assert!(came.lateness(0.999) < MS * 100, "the pool's doing is not the generator's");
    server.end();
}

/// Guards against a generator without a processor that passes for a slow target.
#[test]
fn a_starved_generator_says_so() {
    let server = Aside::start(Make { cores: 8, ..Make::default() }, Vec::new(), false);
    let kind = kind(Repeats::Retryable, MS * 2000);
    let run = run_of(server.goal.clone(), kind.clone(), Clients::default(), 4);
    let plain = schedule(&kind, "400", MS * 1500);
    let starved = move |worker| -> Box<dyn Iterator<Item = Op>> {
        // The worker's thread stands still for a while, as one that is not run.
        Box::new(plain(worker).inspect(|op| {
            if op.id % 100 < 2 {
                std::thread::sleep(MS * 60);
            }
        }))
    };
    let came = played(&run, starved);
    assert!(came.lateness(0.999) > MS * 20, "{:?}", came.lateness(0.999));
    assert!(came.ledger.whole().acks.value_at_quantile(0.999) > 20_000, "and its ops' latency has it");
    server.end();
}

/// Guards against doubled effects that are not found, or found where there are none.
#[test]
fn lost_answers_and_careless_clients_double_effects() {
    for (again, careless) in [(Again::Carelessly, true), (Again::Safely, false)] {
        let fault = Fault { from: Duration::ZERO, to: MS * 60_000, what: What::Resets(0.05) };
        let server = Aside::start(Make { cores: 8, ..Make::default() }, vec![fault], false);
        let kind = kind(Repeats::OnceOnly, MS * 2000);
        let clients = Clients { again, most: 3, pause: MS * 20 };
        let came =
            played(&run_of(server.goal.clone(), kind.clone(), clients, 8), schedule(&kind, "200", MS * 1500));
        let (truth, _) = server.end();
        let mut effects = Effects::default();
        effects.take("s-1", &truth);
        let ran = |id: u64| truth.served.iter().filter(|s| s.request.id == id).count();
        let due: Vec<u64> = came.records.iter().map(|r| r.id).filter(|id| ran(*id) > 1).collect();
        let mut found: Vec<u64> = effects.doubled().iter().map(|d| d.id).collect();
        let mut due = due;
        found.sort_unstable();
        due.sort_unstable();
        assert_eq!(found, due);
        assert_eq!(!found.is_empty(), careless, "{again:?}");
    }
}
