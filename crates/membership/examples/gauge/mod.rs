//! What a measurement reads of its own process. Examples of other packages take this file by its path.

use std::fs::read_to_string;
use std::time::Duration;

/// Processor time of this thread. It moves on with the system's ticks, some milliseconds.
pub fn ran() -> Duration {
    let text = read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let first = text.split(' ').next().and_then(|nanos| nanos.parse().ok());
    Duration::from_nanos(first.unwrap_or_default())
}

/// Memory of this process that is resident, in KiB.
pub fn resident_kb() -> u64 {
    let text = read_to_string("/proc/self/status").unwrap_or_default();
    let kb = text.lines().find_map(|line| line.strip_prefix("VmRSS:")?.trim().strip_suffix(" kB"));
    kb.and_then(|kb| kb.parse().ok()).unwrap_or_default()
}
