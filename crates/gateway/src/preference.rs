//! Which homes a supervisor prefers: itself if it is one, near ones before far ones, and among these each supervisor its
//! own, so that homes share the work. All supervisors that know the same keepers come to the same order.

use crate::calls::ordered_hash;
use fallgap_control_state::Key;
use std::cmp::Reverse;
use std::net::Ipv4Addr;
use std::sync::Arc;

/// A machine and its zone.
pub type Place = (Ipv4Addr, Arc<str>);

/// The homes of a supervisor, the preferred one first.
pub fn homes_of(supervisor: &Place, keepers: &[Place]) -> Vec<Ipv4Addr> {
    let key = key_of(supervisor);
    let mut homes: Vec<&Place> = keepers.iter().collect();
    homes.sort_by_key(|keeper| rank(supervisor, &key, keeper));
    homes.into_iter().map(|(node, _)| *node).collect()
}

/// The first of them.
pub fn first_home_of(supervisor: &Place, keepers: &[Place]) -> Option<Ipv4Addr> {
    let key = key_of(supervisor);
    keepers.iter().min_by_key(|keeper| rank(supervisor, &key, keeper)).map(|(node, _)| *node)
}

/// What its own order is drawn by.
fn key_of(supervisor: &Place) -> Key {
    Key::Number(supervisor.0.to_string())
}

/// The lower the better.
fn rank(supervisor: &Place, key: &Key, keeper: &Place) -> (bool, bool, Reverse<u64>) {
    let drawn = ordered_hash(key, &keeper.0);
    (keeper.0 != supervisor.0, keeper.1 != supervisor.1, Reverse(drawn))
}
