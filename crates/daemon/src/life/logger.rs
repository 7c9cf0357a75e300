//! Log lines on standard error: seconds since start, level, text.

use log::{Level, LevelFilter, Log, Metadata, Record};
use std::io::Write;
use std::sync::OnceLock;
use std::time::Instant;

struct Lines {
    since: Instant,
}

static LINES: OnceLock<Lines> = OnceLock::new();

/// Libraries are heard only when they warn.
pub fn start() {
    let lines = LINES.get_or_init(|| Lines { since: Instant::now() });
    if log::set_logger(lines).is_ok() {
        log::set_max_level(LevelFilter::Info);
    }
}

impl Log for Lines {
    fn enabled(&self, of: &Metadata) -> bool {
        of.level() <= Level::Warn || (of.level() <= Level::Info && of.target().starts_with("fallgap"))
    }
    fn log(&self, record: &Record) {
        if self.enabled(record.metadata()) {
            let (at, level) = (self.since.elapsed().as_secs_f64(), record.level());
            // A closed standard error stops no supervisor.
            let _ = writeln!(std::io::stderr(), "{at:.3} {level} {}", record.args());
        }
    }
    fn flush(&self) {}
}
