//! What this disk holds of locks, for those who look. Nothing is asked of others: it may be behind.

use crate::Keeper;
use crate::subjects::lock_seen;
use crate::types::Key;
use std::time::Duration;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LockSeen {
    pub name: String,
    pub holder: Option<String>,
    pub fence: u64,
    /// The most that the hold may still last: its age is never taken for more than it is.
    pub left: Duration,
}

impl Keeper {
    /// The locks behind that name, in order; so many at most.
    pub fn locks(&self, now: Duration, after: &str, most: usize) -> Vec<LockSeen> {
        let after = Key::Lock(after.to_owned());
        let all = self.acceptor.list(u64::MAX, Some(&after));
        let locks = all.map_while(|(key, accepted)| match key {
            Key::Lock(name) => Some((name, accepted)),
            _ => None,
        });
        let seen = locks.filter_map(|(name, accepted)| {
            let age = accepted.age.saturating_add(now.saturating_sub(accepted.at));
            let (holder, fence, left) = lock_seen(accepted.value.bytes(), age)?;
            Some(LockSeen { name: name.clone(), holder, fence, left })
        });
        seen.take(most).collect()
    }

    /// Who holds a lock, as far as this disk knows.
    pub fn lock_holder(&self, now: Duration, name: &str) -> Option<String> {
        let register = self.acceptor.get(&Key::Lock(name.to_owned()))?;
        let accepted = register.accepted.as_ref()?;
        let age = accepted.age.saturating_add(now.saturating_sub(accepted.at));
        let (holder, _, left) = lock_seen(accepted.value.bytes(), age)?;
        holder.filter(|_| !left.is_zero())
    }
}
