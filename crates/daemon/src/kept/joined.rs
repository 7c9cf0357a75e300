//! Which proxies are joined, through breaks of the stream of news.

use std::collections::BTreeSet;

#[derive(Default)]
pub struct Joined {
    proxies: BTreeSet<u32>,
    /// Joined before the stream of news broke, and not named since it is back.
    unnamed: Option<BTreeSet<u32>>,
}

impl Joined {
    /// A stream of news opens: it names every proxy that is joined.
    pub fn opens(&mut self) {
        self.unnamed = Some(self.proxies.clone());
    }
    pub fn joins(&mut self, proxy: u32) {
        self.proxies.insert(proxy);
        self.unnamed.iter_mut().for_each(|u| _ = u.remove(&proxy));
    }
    /// Tells whether the proxy was joined.
    pub fn leaves(&mut self, proxy: u32) -> bool {
        self.unnamed.iter_mut().for_each(|u| _ = u.remove(&proxy));
        self.proxies.remove(&proxy)
    }
    pub fn holds(&self, proxy: u32) -> bool {
        self.proxies.contains(&proxy)
    }
    /// The first sign of life ends the opening: whoever was not named again has left.
    pub fn opened(&mut self) -> Vec<u32> {
        let left: Vec<u32> = self.unnamed.take().unwrap_or_default().into_iter().collect();
        left.iter().for_each(|proxy| _ = self.proxies.remove(proxy));
        left
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against proxies that left while the news was broken and stay joined for ever.
    #[test]
    fn whoever_is_not_named_again_has_left() {
        let mut joined = Joined::default();
        joined.opens();
        (1..=3).for_each(|p| joined.joins(p));
        assert!(joined.opened().is_empty());
        joined.opens();
        joined.joins(2);
        assert!(joined.leaves(3) && !joined.leaves(3));
        assert_eq!(joined.opened(), [1]);
        assert!(joined.opened().is_empty() && joined.holds(2) && !joined.holds(1));
    }
}
