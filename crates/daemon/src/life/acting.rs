//! When the decisions act, and the one call that is out.

use crate::kept::desk::Desk;
use crate::spoken::datagrams::Post;
use crate::spoken::orders;
use fallgap::Order;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{Receiver, Sender};
use tokio::time::sleep;

/// Lets the decisions act: when something was reported, after a short pause in which more of the same
/// moment's news is told, or when they asked to be woken.
pub async fn act(desk: Rc<Desk>, pause: Duration, calls: Sender<Vec<Order>>, post: Option<Rc<Post>>) {
    let mut next = desk.clock.now();
    loop {
        tokio::select! {
            () = desk.news.notified() => sleep(pause).await,
            () = sleep(next.saturating_sub(desk.clock.now())) => {}
        }
        let (call, note) = {
            let mut supervisor = desk.supervisor.borrow_mut();
            next = supervisor.tick(desk.clock.now());
            let size = |order: &Order| orders::size(order, &desk.names);
            (supervisor.pick(desk.limits.call, size), supervisor.pick_note())
        };
        if let (Some(note), Some(post)) = (note, &post) {
            post.tell_all(&desk, &note).await;
        }
        // There is room: a call is picked only when the one before is settled.
        if let Some(call) = call
            && calls.send(call).await.is_err()
        {
            return;
        }
    }
}

/// Carries one call after the other to the relay.
pub async fn carry(desk: Rc<Desk>, mut picked: Receiver<Vec<Order>>) {
    while let Some(call) = picked.recv().await {
        orders::carry(&desk, call).await;
        desk.report(|supervisor, _| supervisor.report_settled());
    }
}
