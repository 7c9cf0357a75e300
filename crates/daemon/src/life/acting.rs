//! When the decisions act, and the one call that is out.

use crate::kept::desk::Desk;
use crate::spoken::datagrams::Post;
use crate::spoken::orders;
use fallgap::Order;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{Receiver, Sender};
use tokio::time::sleep;

/// A call, and when the first of what led to it was reported.
pub type Picked = (Vec<Order>, Option<Duration>);

/// Lets the decisions act: when something was reported, after a short pause in which more of the same
/// moment's news is told, or when they asked to be woken.
pub async fn act(desk: Rc<Desk>, pause: Duration, calls: Sender<Picked>, post: Option<Rc<Post>>) {
    let mut next = desk.clock.now();
    loop {
        tokio::select! {
            () = desk.news.notified() => sleep(pause).await,
            () = sleep(next.saturating_sub(desk.clock.now())) => {}
        }
        let (call, note, since) = {
            let mut supervisor = desk.supervisor.borrow_mut();
            next = supervisor.tick(desk.clock.now());
            let size = |order: &Order| orders::size(order, &desk.names);
            let call = supervisor.pick(desk.limits.call, size);
            // What is reported while a call is out waits for the next one.
            let since = if supervisor.is_unsettled() && call.is_none() { None } else { desk.since.take() };
            (call, supervisor.pick_note(), since)
        };
        if let (Some(note), Some(post)) = (note, &post) {
            post.tell_all(&desk, &note).await;
        }
        // There is room: a call is picked only when the one before is settled.
        if let Some(call) = call
            && calls.send((call, since)).await.is_err()
        {
            return;
        }
    }
}

/// Carries one call after the other to the relay.
pub async fn carry(desk: Rc<Desk>, mut picked: Receiver<Picked>) {
    while let Some((call, since)) = picked.recv().await {
        orders::carry(&desk, call).await;
        if let Some(since) = since {
            let took = desk.clock.now().saturating_sub(since);
            desk.counters.most("report_to_orders_longest_ms", took.as_millis() as usize);
        }
        desk.report(|supervisor, _| supervisor.report_settled());
    }
}
