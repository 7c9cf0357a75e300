//! What this node knows of the other disk machines: members and those that stand by.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Peer;
use crate::types::NodeId;

#[derive(Clone, Debug, Hash, Default)]
struct View {
    heard: Option<Duration>,
    /// Its silence counts from here, if nothing was heard since.
    from: Duration,
    /// As it said of itself last, and when.
    disk: Option<(u64, Duration)>,
    caught_up: Option<u64>,
    /// When it said last that it leaves, and in which life: in that one it does not stay after all.
    leaving: Option<(Duration, u64)>,
    /// It has said that it hears this node.
    hears_us: bool,
    /// How long records wait for its disk of late, as it says.
    sync: Duration,
    /// Since when it says that it is out of contact with a majority.
    out: Option<Duration>,
    /// As the beacon has it: its disk, whether it is here, and since when that has been so.
    stands: Option<(Option<u64>, bool, Duration)>,
}

#[derive(Clone, Debug, Hash)]
pub(crate) struct Crew {
    views: BTreeMap<NodeId, View>,
    most: usize,
    /// A silence is counted from here at the earliest.
    grace: Duration,
}

impl Crew {
    pub fn new(now: Duration, most: usize) -> Crew {
        Crew { views: BTreeMap::new(), most, grace: now }
    }

    /// This node slept: nobody's silence counts from before.
    pub fn woke_late(&mut self, now: Duration) {
        self.grace = now;
    }

    fn view(&mut self, now: Duration, node: NodeId) -> Option<&mut View> {
        if !self.views.contains_key(&node) && self.views.len() >= self.most {
            return None;
        }
        Some(self.views.entry(node).or_insert_with(|| View { from: now, ..View::default() }))
    }

    pub fn heard(&mut self, now: Duration, node: NodeId) {
        if let Some(view) = self.view(now, node) {
            view.heard = Some(now);
        }
    }

    pub fn pulse(
        &mut self, now: Duration, node: NodeId, disk: Option<u64>, caught_up: Option<u64>, life: u64,
        leaving: bool,
    ) {
        if let Some(view) = self.view(now, node) {
            view.disk = disk.map(|disk| (disk, now));
            view.caught_up = caught_up;
            // What it said before may come after.
            if leaving || view.leaving.is_some_and(|(_, left)| left != life) {
                view.leaving = leaving.then_some((now, life));
            }
        }
    }

    /// It says whether it hears this node, and whether it is in contact with a majority.
    pub fn hears(&mut self, now: Duration, node: NodeId, us: bool, contact: bool) {
        if let Some(view) = self.view(now, node) {
            view.hears_us = us;
            view.out = if contact { None } else { view.out.or(Some(now)) };
        }
    }

    /// It says how long records wait for its disk of late.
    pub fn syncs(&mut self, now: Duration, node: NodeId, sync: Duration) {
        if let Some(view) = self.view(now, node) {
            view.sync = sync;
        }
    }

    /// As it said last.
    pub fn sync_of(&self, node: NodeId) -> Duration {
        self.views.get(&node).map_or(Duration::ZERO, |view| view.sync)
    }

    /// The beacon's view, whole. Machines without a disk are left out; those that it no longer names are not here.
    pub fn peers(&mut self, now: Duration, peers: &[Peer]) {
        for (node, view) in &mut self.views {
            let named = || peers.iter().any(|peer| peer.node == *node && peer.disk.is_some());
            if let Some((disk, true, _)) = view.stands
                && !named()
            {
                view.stands = Some((disk, false, now));
            }
        }
        for peer in peers.iter().filter(|peer| peer.disk.is_some()) {
            let Some(view) = self.view(now, peer.node) else { continue };
            view.stands = match view.stands {
                Some((disk, here, since)) if disk == peer.disk && here == peer.here => {
                    Some((disk, here, since))
                }
                before => {
                    if peer.here && !before.is_some_and(|(_, here, _)| here) {
                        // Another life.
                        view.leaving = None;
                    }
                    Some((peer.disk, peer.here, now))
                }
            };
        }
    }

    /// It is no member any more. One that was taken out because it leaves runs on for a while, and its word to say so
    /// may not have come.
    pub fn taken_out(&mut self, now: Duration, node: NodeId) {
        if let Some(view) = self.views.get_mut(&node) {
            view.leaving = Some((now, view.leaving.map_or(0, |(_, life)| life)));
        }
    }

    /// Forgets machines that are neither members nor with the beacon.
    pub fn keep(&mut self, members: impl Fn(NodeId) -> bool) {
        self.views.retain(|node, view| view.stands.is_some_and(|(_, here, _)| here) || members(*node));
    }

    pub fn is_heard(&self, now: Duration, node: NodeId, within: Duration) -> bool {
        let heard = self.views.get(&node).and_then(|view| view.heard);
        heard.is_some_and(|heard| now.saturating_sub(heard) <= within)
    }

    /// As it said last.
    pub fn hears_us(&self, node: NodeId) -> bool {
        self.views.get(&node).is_some_and(|view| view.hears_us)
    }

    /// For so long it has said that it is out of contact with a majority.
    pub fn is_out(&self, now: Duration, node: NodeId, since: Duration) -> bool {
        let out = self.views.get(&node).and_then(|view| view.out);
        out.is_some_and(|out| now.saturating_sub(out) >= since)
    }

    pub fn is_here(&self, node: NodeId) -> bool {
        self.views.get(&node).and_then(|view| view.stands).is_some_and(|(_, here, _)| here)
    }

    pub fn is_leaving(&self, node: NodeId) -> bool {
        self.views.get(&node).is_some_and(|view| view.leaving.is_some())
    }

    /// It said within this that it leaves: its process may run on for as long.
    pub fn is_going(&self, now: Duration, node: NodeId, within: Duration) -> bool {
        let said = self.views.get(&node).and_then(|view| view.leaving);
        said.is_some_and(|(said, _)| now.saturating_sub(said) <= within)
    }

    /// How long a machine has been silent, though this node was awake.
    pub fn silence(&self, now: Duration, node: NodeId) -> Duration {
        let from = self.views.get(&node).map_or(Duration::ZERO, |view| view.heard.unwrap_or(view.from));
        now.saturating_sub(from.max(self.grace))
    }

    /// It said that its disk has caught up since it came in with this epoch.
    pub fn is_caught_up(&self, node: NodeId, disk: u64, joined: u64) -> bool {
        self.views.get(&node).is_some_and(|view| {
            view.caught_up == Some(joined) && view.disk.is_some_and(|(told, _)| told == disk)
        })
    }

    /// The disk that a machine is here with, if it has not said otherwise itself a moment ago.
    pub fn disk(&self, now: Duration, node: NodeId, moment: Duration) -> Option<u64> {
        let view = self.views.get(&node)?;
        let (disk, here, _) = view.stands?;
        let told = view.disk.filter(|(_, at)| now.saturating_sub(*at) <= moment).map(|(disk, _)| disk);
        disk.filter(|disk| here && told.is_none_or(|told| told == *disk))
    }

    /// Machines with a disk that are here and did not say within this that they leave: node, disk, since when.
    pub fn staying(&self, now: Duration, within: Duration) -> impl Iterator<Item = (NodeId, u64, Duration)> {
        self.here().filter(move |(node, ..)| !self.is_going(now, *node, within))
    }

    /// Machines with a disk that are here: node, disk, since when.
    pub fn here(&self) -> impl Iterator<Item = (NodeId, u64, Duration)> {
        self.views.iter().filter_map(|(node, view)| match view.stands {
            Some((Some(disk), true, since)) => Some((*node, disk, since)),
            _ => None,
        })
    }
}
