//! A disk that is slow on purpose, for tests over real processes. What is shipped holds nothing of it: it is built in with the
//! feature `slow-disks` alone, which no program asks for.

/// Names how many milliseconds each sync takes longer than the disk needs.
#[cfg(feature = "slow-disks")]
pub const VARIABLE: &str = "FALLGAP_SYNC_MS";

/// Called by the disk's thread before each write that ends with a sync.
#[cfg(feature = "slow-disks")]
pub fn before_sync() {
    use std::sync::OnceLock;
    use std::time::Duration;
    static LONGER: OnceLock<Duration> = OnceLock::new();
    let named = || std::env::var(VARIABLE).ok().and_then(|text| text.parse().ok()).unwrap_or(0);
    std::thread::sleep(*LONGER.get_or_init(|| Duration::from_millis(named())));
}

/// A disk is as quick as it is.
#[cfg(not(feature = "slow-disks"))]
pub fn before_sync() {}
