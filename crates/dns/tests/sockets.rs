//! The resolver on sockets, against a stand-in name server that does what its script says.

use fallgap_dns::shell::{Hears, Shell};
use fallgap_dns::{Answer, Asking, Counts, Failure, Followed, Lifetimes, Over};
use fallgap_test_support::dns::{Data, NameServer, Trouble};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::timeout;

const SERVICE: &str = "_store._tcp.example.org";
const MS: Duration = Duration::from_millis(1);

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

fn asking() -> Asking {
    Asking { within: MS * 300, tries: 3, pause: (MS * 20, MS * 200), a_second: 500, ..Asking::default() }
}

/// Asks until there is an answer or a failure.
async fn resolve(servers: &[SocketAddr], asking: Asking, addresses: bool) -> (Heard, Counts) {
    resolve_name(SERVICE, servers, asking, addresses).await
}

async fn resolve_name(
    name: &str, servers: &[SocketAddr], asking: Asking, addresses: bool,
) -> (Heard, Counts) {
    let since = Instant::now();
    let lifetimes = Lifetimes { least: MS * 50, ..Lifetimes::default() };
    let mut shell = Shell::start(Heard::default(), || since.elapsed(), servers, asking, lifetimes, 5);
    let now = shell.now();
    shell.resolver.follow(now, name, addresses).unwrap();
    while shell.resolver.wire.tell.answers.is_empty() && shell.resolver.wire.tell.failures.is_empty() {
        shell.step().await;
    }
    let counts = shell.resolver.counts();
    (std::mem::take(&mut shell.resolver.wire.tell), counts)
}

fn play<F: Future<Output = ()>>(test: impl FnOnce() -> F) {
    let ended = actix_rt::System::new().block_on(async { timeout(MS * 30_000, test()).await });
    ended.expect("what was waited for never came");
}

async fn server() -> (Rc<NameServer>, SocketAddr) {
    let server = Rc::new(NameServer::default());
    let at = server.listen("127.0.0.1:0").await.unwrap();
    server.serve_list(
        SERVICE,
        60,
        &[("store3.example.org", 8443, "10.0.0.3"), ("store4.example.org", 8443, "fd00::4")],
    );
    (server, at)
}

#[test]
fn records_and_their_addresses() {
    play(async || {
        let (server, at) = server().await;
        let (heard, _) = resolve(&[at], asking(), true).await;
        let answer = &heard.answers[0];
        let told: Vec<_> =
            answer.rows.iter().map(|r| (r.target.as_str(), r.addresses[0].to_string())).collect();
        assert_eq!(
            told,
            [("store3.example.org", "10.0.0.3".into()), ("store4.example.org", "fd00::4".into())]
        );
        assert_eq!((answer.over, answer.tries, server.asked.get()), (Over::Udp, 1, (5, 0)));
        server.along.set(true);
        let (heard, _) = resolve(&[at], asking(), true).await;
        assert_eq!(heard.answers[0].rows[1].addresses.len(), 1);
        assert_eq!(server.asked.get(), (6, 0), "all in one answer");
    });
}

/// Guards against any one trouble that keeps a good server from being heard.
#[test]
fn one_trouble_and_then_an_answer() {
    play(async || {
        let troubles = [
            Trouble::Drop,
            Trouble::Garbage,
            Trouble::Oversize,
            Trouble::WrongId,
            Trouble::WrongQuestion,
            Trouble::WrongOwner,
            Trouble::FromElsewhere,
            Trouble::Lame,
            Trouble::Code(hickory_proto::op::ResponseCode::ServFail),
            Trouble::Code(hickory_proto::op::ResponseCode::Refused),
            Trouble::Delay(MS * 150),
        ];
        for trouble in troubles {
            let (server, at) = server().await;
            server.troubles.borrow_mut().push_back(trouble);
            let (heard, _) = resolve(&[at], asking(), false).await;
            assert_eq!(heard.answers.len(), 1, "{trouble:?}: {:?}", heard.failures);
            assert_eq!(heard.answers[0].rows.len(), 2, "{trouble:?}");
        }
    });
}

/// Guards against the same trouble each time that ends in anything but a failure with its name.
#[test]
fn nothing_but_trouble() {
    play(async || {
        for (trouble, told) in [
            (Trouble::Drop, "no answer"),
            (Trouble::WrongId, "no answer"),
            (Trouble::Garbage, "no answer"),
            (Trouble::WrongOwner, "wrong owner"),
            (Trouble::Lame, "lame"),
            (Trouble::Code(hickory_proto::op::ResponseCode::NXDomain), "no such name"),
            (Trouble::Code(hickory_proto::op::ResponseCode::ServFail), "SERVFAIL"),
        ] {
            let (server, at) = server().await;
            server.always.set(Some(trouble));
            let (heard, _) = resolve(&[at], Asking { within: MS * 60, ..asking() }, false).await;
            assert!(heard.answers.is_empty());
            assert!(heard.failures[0].to_string().contains(told), "{trouble:?}: {}", heard.failures[0]);
        }
    });
}

/// Guards against answers of TCP that are cut, stall, or are refused, and against a set that fits no datagram.
#[test]
fn over_tcp() {
    play(async || {
        let (server, at) = server().await;
        let (short, long) = ("_s._t.x", "_store._tcp.a-longer-name.example.org");
        let targets = || (0..2000).map(|i| format!("{i:x}"));
        let data = |target| Data::Srv { priority: 1, weight: 1, port: 1, target };
        server.set(short, "SRV", 60, targets().map(data).collect());
        server.set(long, "SRV", 60, targets().map(data).collect());
        let (heard, counts) = resolve_name(short, &[at], asking(), false).await;
        assert_eq!((heard.answers[0].rows.len(), heard.answers[0].over), (2000, Over::Tcp));
        assert_eq!((counts.over_udp, counts.over_tcp), (1, 1));
        for trouble in [Trouble::Refuse, Trouble::Half, Trouble::Stall] {
            server.tcp_troubles.borrow_mut().push_back(trouble);
            let (heard, _) = resolve_name(short, &[at], Asking { tries: 4, ..asking() }, false).await;
            assert_eq!(heard.answers[0].rows.len(), 2000, "{trouble:?} once");
            server.tcp_troubles.borrow_mut().extend([trouble; 9]);
            let (heard, _) = resolve_name(short, &[at], asking(), false).await;
            assert!(heard.answers.is_empty(), "{trouble:?}: a part of the records is none");
            server.tcp_troubles.borrow_mut().clear();
        }
        let (heard, _) = resolve_name(long, &[at], Asking { tries: 4, ..asking() }, false).await;
        assert_eq!(heard.failures, [Failure::Unusable("truncated answers over tcp")], "2,000 fit no message");
    });
}

/// Guards against a name server that is down and holds up those that are not.
#[test]
fn a_server_that_is_not_there_is_passed_by_at_once() {
    play(async || {
        let (_server, at) = server().await;
        let nobody = tokio::net::UdpSocket::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
        let slow = Asking { within: MS * 5000, ..asking() };
        let (heard, counts) = resolve(&[nobody, at], slow, false).await;
        assert_eq!((heard.answers[0].by, counts.timed_out), (at, 0));
    });
}
