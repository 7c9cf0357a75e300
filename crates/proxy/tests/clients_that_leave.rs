//! Clients that leave while their request is under way: what may be repeated ends at once, with its servers' work;
//! what may run once runs on if it was sent, and is not sent if it was not.

mod world;

use fallgap_config::View;
use fallgap_proxy::{Quay, Terms};
use fallgap_test_support::gateway::Got;
use socket2::SockRef;
use std::io::{ErrorKind, Read};
use std::net::Shutdown;
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use world::*;

/// How a client leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Leaves {
    /// Both directions, in order.
    Closes,
    /// It sends no more, and hears on.
    HalfCloses,
    /// The connection breaks.
    Resets,
}
use Leaves::{Closes, HalfCloses, Resets};

/// Leaves; who only half-closes is still there to hear.
fn leave(client: Client, how: Leaves) -> Option<Client> {
    match how {
        Closes => None,
        HalfCloses => {
            client.reader.get_ref().shutdown(Shutdown::Write).unwrap();
            Some(client)
        }
        Resets => {
            SockRef::from(client.reader.get_ref()).set_linger(Some(Duration::ZERO)).unwrap();
            None
        }
    }
}

/// A world in which the time of no request is over while a test waits, and which helps no silent server for `patience`
/// times the target of a route.
fn world_with(servers: &[&Server], patience: f64) -> World {
    let mut terms = Terms::default();
    terms.pilot.hedge_part = patience;
    let world = World::new(terms);
    view(&world, servers);
    world
}

fn view(world: &World, servers: &[&Server]) {
    let mut configuration = configuration();
    configuration.routes.iter_mut().for_each(|route| route.timeout = ms(60_000));
    let berths = servers.iter().map(|server| berth(server)).collect();
    let view = Arc::new(View { configuration: Arc::new(configuration), berths });
    world.ask(move |quay, now| quay.view(now, view));
}

/// So patient that no second server is asked.
fn patient(servers: &[&Server]) -> World {
    world_with(servers, 100.0)
}

/// A request with a time that no test waits for.
fn long(path: &str, id: &str) -> String {
    get(path, id).replace("1500", "60000")
}

/// The head and a part of a stream long enough to go on as it comes.
fn begun_stream(got: &Got) -> Does {
    let whole = ok(got, &"z".repeat(1 << 20));
    Does::SendsAndHangs(whole[..64 << 10].to_owned())
}

#[test]
fn what_may_be_repeated_ends_with_its_client() {
    for how in [Closes, HalfCloses, Resets] {
        for path in ["/safe/", "/outbound/"] {
            for pipelined in [false, true] {
                let server = Server::start("i-1", |_| Does::Hangs);
                let world = patient(&[&server]);
                let mut client = world.client();
                client.send(&long(path, "1"));
                until(|| server.got().len() == 1);
                if pipelined {
                    client.send(&long(path, "2"));
                }
                let left = leave(client, how);
                until(|| server.cut() == 1);
                until(|| {
                    world.ask(|quay, _| (quay.at_work(), quay.connections())) == (0, (0, 0)) || left.is_some()
                });
                // Who still hears is told that it may have run.
                let told = left.map(|mut client| (client.reply().map(|reply| reply.status), client.reply()));
                assert!(told.is_none_or(|told| told == (Some(502), None)), "{how:?} {path} {pipelined}");
                assert_eq!(server.got().len(), 1, "{how:?} {path} {pipelined}");
            }
        }
    }
}

#[test]
fn a_stream_ends_with_its_client() {
    for how in [Closes, HalfCloses, Resets] {
        let server = Server::start("i-1", begun_stream);
        let world = patient(&[&server]);
        let mut client = world.client();
        client.send(&long("/outbound/", "1"));
        let mut first = [0];
        client.reader.get_ref().peek(&mut first).unwrap();
        let left = leave(client, how);
        until(|| server.cut() == 1);
        until(|| world.ask(|quay, _| quay.at_work()) == 0);
        // It must not look whole.
        assert!(left.is_none_or(|mut client| client.reply().is_none()), "{how:?}");
    }
}

#[test]
fn what_may_run_once_runs_on_but_goes_nowhere_else() {
    for how in [Closes, HalfCloses, Resets] {
        for sheds in [false, true] {
            let (release, held) = channel::<()>();
            let held = Mutex::new(held);
            let script = move |got: &Got| {
                held.lock().unwrap().recv().unwrap();
                let shed = fallgap_test_support::gateway::status(got, 503, "X-Not-Run: 1\r\n");
                Does::Sends(if sheds { shed } else { ok(got, "bytes") })
            };
            let first = Server::start("i-1", script);
            let world = patient(&[&first]);
            let mut client = world.client();
            client.send(&long("/fragile/", "1"));
            until(|| first.got().len() == 1);
            let second = Server::start("i-2", |got| Does::Sends(ok(got, "second")));
            view(&world, &[&first, &second]);
            let left = leave(client, how);
            let seen = |quay: &mut Quay, _| quay.counters().closed_early + quay.counters().abandoned;
            until(|| world.ask(seen) == 1);
            assert_eq!(first.cut(), 0);
            release.send(()).unwrap();
            until(|| world.ask(|quay, _| quay.at_work()) == 0);
            assert_eq!((first.got().len(), second.got().len()), (1, 0), "{how:?} {sheds}");
            let told = left.map(|mut client| client.reply().map(|reply| reply.status));
            let expected = if sheds { 503 } else { 200 };
            assert!(told.is_none_or(|told| told == Some(expected)), "{how:?} {sheds}: {told:?}");
        }
    }
}

/// The request and the close of its client are there at once, as after a wait in the kernel's queue.
#[test]
fn nothing_is_begun_for_a_client_that_has_closed() {
    for how in [Closes, HalfCloses, Resets] {
        for path in ["/safe/", "/outbound/", "/fragile/"] {
            let server = Server::start("i-1", |got| Does::Sends(ok(got, "bytes")));
            let world = patient(&[&server]);
            let left = while_held(
                &world,
                || {
                    let mut client = world.client();
                    client.send(&long(path, "1"));
                    leave(client, how)
                },
                |_, _| (),
            );
            let told = left.map(|mut client| client.reply().map(|reply| reply.status));
            assert!(told.is_none_or(|told| told == Some(503)), "{how:?} {path}: {told:?}");
            // A later request is served behind it: what was there before has been seen to.
            assert_eq!(world.get(path, "2").status, 200);
            let ids: Vec<String> = server.got().iter().map(|got| got.id().to_owned()).collect();
            assert_eq!(ids, ["2"], "{how:?} {path}");
        }
    }
}

/// Does something while the quay is held up; `then` is what it does first when it goes on.
fn while_held<T>(
    world: &World, act: impl FnOnce() -> T, then: impl FnOnce(&mut Quay, Duration) + Send + 'static,
) -> T {
    let ((began, begun), (release, held)) = (channel(), channel::<()>());
    std::thread::scope(|scope| {
        scope.spawn(move || {
            world.ask(move |quay, now| {
                began.send(()).unwrap();
                held.recv().unwrap();
                then(quay, now);
            });
        });
        begun.recv().unwrap();
        let done = act();
        release.send(()).unwrap();
        done
    })
}

/// A server that is silent would be helped by a second one: not once its client has left, whatever is seen first, the
/// close or that the time of the second try has come.
#[test]
fn no_second_server_is_asked_for_a_client_that_has_closed() {
    for how in [Closes, HalfCloses, Resets] {
        let servers = ["i-1", "i-2"].map(|id| Server::start(id, |_| Does::Hangs));
        // A second server is asked a second after the first.
        let world = world_with(&[&servers[0], &servers[1]], 5.0);
        let arrived = || servers.iter().map(|server| server.got().len()).sum::<usize>();
        let mut client = world.client();
        client.send(&long("/safe/", "1"));
        until(|| arrived() == 1);
        let _left = while_held(&world, || leave(client, how), |quay, now| quay.woke(now + ms(1500)));
        until(|| world.ask(|quay, _| quay.at_work()) == 0);
        assert_eq!(world.ask(|quay, _| quay.counters().hedges), 0, "{how:?}");
        assert_eq!(arrived(), 1, "{how:?}");
    }
}

/// A request whose bytes still lie in the kernel, as on a link that is full, goes with its client: its connection is reset, so
/// they are dropped there, not delivered and run later.
#[test]
fn what_has_not_left_the_machine_is_not_delivered() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let std::net::SocketAddr::V4(address) = listener.local_addr().unwrap() else { unreachable!() };
    let mut server = Server::dead("i-1");
    server.address = address;
    for path in ["/safe/", "/outbound/"] {
        let world = patient(&[&server]);
        let mut client = world.client();
        // More than the connection's windows take.
        let body = "y".repeat(8 << 20);
        let length = format!("\r\nContent-Length: {}\r\n\r\n", body.len());
        client.send(&(long(path, "1").replace("GET", "POST").replace("\r\n\r\n", &length) + &body));
        let (mut connection, _) = listener.accept().unwrap();
        connection.peek(&mut [0]).unwrap();
        drop(client);
        until(|| world.ask(|quay, _| quay.at_work()) == 0);
        let end = connection.read_to_end(&mut Vec::new());
        assert_eq!(end.map_err(|error| error.kind()), Err(ErrorKind::ConnectionReset), "{path}");
    }
}
