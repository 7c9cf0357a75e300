//! Requests with idempotency keys over loopback sockets: whichever supervisor they reach, the operation runs once.

mod world;

use fallgap_control_state::{Attempt, Message, NodeId, OperationId, Vote};
use fallgap_proxy::{OperationState, PeerMessage, Terms};
use fallgap_test_support::gateway::status;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use world::*;

const MEMBERS: [NodeId; 3] = [NodeId::new(10, 0, 0, 1), NodeId::new(10, 0, 0, 2), NodeId::new(10, 0, 0, 3)];

/// Three members that vote, and what else supervisors want to be told.
#[derive(Clone, Default)]
struct Members {
    claims: Arc<Mutex<HashMap<OperationId, Attempt>>>,
    silent: Arc<Mutex<bool>>,
    /// They do not hear that a claim is given up.
    keeps_claims: Arc<Mutex<bool>>,
    left: Arc<Mutex<Vec<PeerMessage>>>,
}

impl Members {
    fn vote(&self, operation: OperationId, attempt: Attempt) -> Vote {
        let mut claims = self.claims.lock().unwrap();
        let by = *claims.entry(operation).or_insert(attempt);
        if by == attempt { Vote::Granted } else { Vote::Taken(by) }
    }

    fn others(&self) -> Others {
        let members = self.clone();
        Box::new(move |quay, now, message| match message {
            PeerMessage::Member(..) if *members.silent.lock().unwrap() => {}
            PeerMessage::Member(node, Message::Claim { number, operation, attempt }) => {
                quay.voted(now, node, number, 1, 2, members.vote(operation, attempt));
            }
            PeerMessage::Member(_, Message::ClaimGivenUp { .. }) if *members.keeps_claims.lock().unwrap() => {
            }
            PeerMessage::Member(_, Message::ClaimGivenUp { operation, attempt }) => {
                let mut claims = members.claims.lock().unwrap();
                if claims.get(&operation) == Some(&attempt) {
                    claims.remove(&operation);
                }
            }
            other => members.left.lock().unwrap().push(other),
        })
    }

    fn world(&self, node: u8, servers: &[&Server]) -> World {
        let world = World::among(Terms::default(), self.others());
        world.ask(move |quay, _| quay.members(NodeId::new(10, 0, 1, node), MEMBERS.to_vec()));
        world.view(servers);
        world
    }

    /// What one supervisor asks another one is answered by it.
    fn carry(&self, from: &World, to: &World) {
        until(|| !self.left.lock().unwrap().is_empty());
        for message in std::mem::take(&mut *self.left.lock().unwrap()) {
            let PeerMessage::AskOwner { number, operation, attempt } = message else { continue };
            let state = to.ask(move |quay, _| quay.operation_state(operation, attempt));
            from.ask(move |quay, now| quay.owner_told(now, number, &state));
        }
    }
}

fn order(id: &str, key: &str) -> String {
    get("/registered/", id).replace("X-Deadline-Ms", &format!("X-Idempotency-Key: {key}\r\nX-Deadline-Ms"))
}

/// Counts what it runs; its answers tell the how manieth each was.
fn counting() -> (Server, Arc<Mutex<usize>>) {
    let runs = Arc::new(Mutex::new(0));
    let counted = runs.clone();
    let server = Server::start("i-1", move |got| {
        let mut runs = counted.lock().unwrap();
        *runs += 1;
        Does::Sends(
            ok(got, &format!("run {runs}")).replace("Content-Length", "X-Kind: order\r\nContent-Length"),
        )
    });
    (server, runs)
}

#[test]
fn a_repeat_gets_the_first_answer_at_the_same_supervisor_and_at_another() {
    let (server, runs) = counting();
    let members = Members::default();
    let (first, second) = (members.world(1, &[&server]), members.world(2, &[&server]));
    let told = first.client().ask(&order("1", "k"));
    assert_eq!((told.status, told.text().as_str()), (200, "run 1"));
    let again = first.client().ask(&order("2", "k"));
    let mut asking = second.client();
    asking.send(&order("3", "k"));
    members.carry(&second, &first);
    let elsewhere = asking.reply().expect("an answer");
    for (reply, id) in [(&again, "2"), (&elsewhere, "3")] {
        assert_eq!((reply.status, reply.text().as_str()), (200, "run 1"));
        assert_eq!(reply.line("x-server-seal"), told.line("x-server-seal"));
        assert_eq!((reply.line("x-kind"), reply.line("x-request-id")), (Some("order"), Some(id)));
    }
    assert_eq!(second.client().ask(&order("4", "other")).text(), "run 2", "another key is another operation");
    assert_eq!(*runs.lock().unwrap(), 2);
}

#[test]
fn while_it_runs_a_repeat_is_told_so() {
    let server = Server::start("i-1", |_| Does::Hangs);
    let members = Members::default();
    let (first, second) = (members.world(1, &[&server]), members.world(2, &[&server]));
    let mut waiting = first.client();
    waiting.send(&order("1", "k"));
    until(|| first.ask(|quay, _| quay.counters().sent) == 1);
    let here = first.client().ask(&order("2", "k"));
    assert_eq!((here.status, here.line("retry-after").is_some()), (409, true));
    let mut asking = second.client();
    asking.send(&order("3", "k"));
    members.carry(&second, &first);
    assert_eq!(asking.reply().map(|reply| reply.status), Some(409));
}

#[test]
fn what_may_have_run_is_never_run_again() {
    let server = Server::start("i-1", |got| match got.id() {
        "1" => Does::SendsAndCloses(String::new()),
        _ => Does::Sends(ok(got, "ran twice")),
    });
    let members = Members::default();
    let (first, second) = (members.world(1, &[&server]), members.world(2, &[&server]));
    assert_eq!(first.client().ask(&order("1", "k")).status, 502);
    assert_eq!(first.client().ask(&order("2", "k")).status, 502);
    let mut asking = second.client();
    asking.send(&order("3", "k"));
    members.carry(&second, &first);
    assert_eq!(asking.reply().map(|reply| reply.status), Some(502));
    // The supervisor that began it has ended, and nobody knows what became of it.
    drop(first);
    let mut asking = second.client();
    asking.send(&order("4", "k"));
    until(|| !members.left.lock().unwrap().is_empty());
    assert_eq!(asking.reply().map(|reply| reply.status), Some(502));
}

/// It does not run the first request.
fn refusing_first() -> Server {
    Server::start("i-1", |got| match got.id() {
        "1" => Does::Sends(status(got, 503, "X-Not-Run: 1\r\n")),
        _ => Does::Sends(ok(got, "ran")),
    })
}

#[test]
fn what_did_not_run_may_be_run_by_a_later_request() {
    let server = refusing_first();
    let members = Members::default();
    let (first, second) = (members.world(1, &[&server]), members.world(2, &[&server]));
    assert_eq!(first.client().ask(&order("1", "k")).status, 503);
    // Members hear that it is free a moment after the client has its answer.
    until(|| members.claims.lock().unwrap().is_empty());
    assert_eq!(second.client().ask(&order("2", "k")).text(), "ran");
}

/// A retry that is quicker than the word to the members that the operation is free: it is told to come again, not that the
/// outcome is unknown.
#[test]
fn a_retry_that_comes_before_the_claim_is_free_is_told_to_come_again() {
    let server = refusing_first();
    let members = Members::default();
    let (first, second) = (members.world(1, &[&server]), members.world(2, &[&server]));
    *members.keeps_claims.lock().unwrap() = true;
    assert_eq!(first.client().ask(&order("1", "k")).status, 503);
    let mut asking = second.client();
    asking.send(&order("2", "k"));
    members.carry(&second, &first);
    let reply = asking.reply().expect("an answer");
    assert_eq!((reply.status, reply.line("retry-after").is_some()), (503, true));
}

/// A client that leaves before the answer: the operation is finished, and its repeat gets what came.
#[test]
fn an_operation_outlives_its_client() {
    let (go, gate) = std::sync::mpsc::channel::<()>();
    let gate = Mutex::new(gate);
    let server = Server::start("i-1", move |got| {
        gate.lock().unwrap().recv().unwrap();
        Does::Sends(ok(got, "ran"))
    });
    let members = Members::default();
    let world = members.world(1, &[&server]);
    let mut leaving = world.client();
    leaving.send(&order("1", "k"));
    until(|| world.ask(|quay, _| quay.counters().sent) == 1);
    drop(leaving);
    until(|| world.ask(|quay, _| quay.counters().closed_early + quay.counters().abandoned) == 1);
    go.send(()).unwrap();
    until(|| world.ask(|quay, _| quay.at_work()) == 0);
    let again = world.client().ask(&order("2", "k"));
    assert_eq!((again.status, again.text().as_str()), (200, "ran"));
}

#[test]
fn without_a_majority_nothing_is_begun() {
    let (server, runs) = counting();
    let members = Members::default();
    *members.silent.lock().unwrap() = true;
    let world = members.world(1, &[&server]);
    let reply = world.client().ask(&order("1", "k"));
    assert_eq!((reply.status, reply.line("retry-after").is_some()), (503, true));
    *members.silent.lock().unwrap() = false;
    assert_eq!(world.client().ask(&order("2", "k")).text(), "run 1");
    assert_eq!(*runs.lock().unwrap(), 1);
    let tales = world.ask(|quay, now| quay.tales(now, Some("1"), 9));
    assert_eq!(tales[0].why.word(), "unclaimed");
}

#[test]
fn a_registered_request_without_its_key_is_refused() {
    let (server, runs) = counting();
    let world = Members::default().world(1, &[&server]);
    assert_eq!(world.get("/registered/", "1").status, 400);
    assert_eq!(world.client().ask(&order("2", "")).status, 400);
    let doubled = order("3", "k").replace("X-Deadline-Ms", "X-Idempotency-Key: l\r\nX-Deadline-Ms");
    assert_eq!(world.client().ask(&doubled).status, 400);
    assert_eq!(*runs.lock().unwrap(), 0);
    assert!(matches!(
        world.ask(
            |quay, _| quay.operation_state(OperationId([0; 16]), Attempt { node: MEMBERS[0], number: 1 })
        ),
        OperationState::NotHere
    ));
}
