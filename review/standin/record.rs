//! What was sent, answered and run, line by line with the seconds since the start.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> Record {
        let file = File::create(path).unwrap_or_else(|e| {
            eprintln!("{path}: {e}");
            std::process::exit(2)
        });
        Record { began: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    pub fn line(&self, text: &str) {
        let at = self.now().as_secs_f64();
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{at:9.3} {text}");
        }
    }
}
