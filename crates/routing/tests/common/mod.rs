use std::time::Duration;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}
