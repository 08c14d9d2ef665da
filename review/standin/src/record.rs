//! What was sent, answered and run, with times.

use std::fs;
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

pub struct Record {
    started: Instant,
    lines: Mutex<Vec<String>>,
    random: AtomicU64,
}

impl Record {
    pub fn new(seed: u64) -> Record {
        let random = AtomicU64::new(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
        Record { started: Instant::now(), lines: Mutex::default(), random }
    }

    pub fn note(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        self.lines.lock().unwrap().push(format!("{at:9.3} {text}"));
    }

    /// A random number in `0..1`.
    pub fn chance(&self) -> f64 {
        let next = |x: u64| {
            let x = x ^ (x << 13);
            let x = x ^ (x >> 7);
            Some(x ^ (x << 17))
        };
        let x = self.random.fetch_update(Ordering::Relaxed, Ordering::Relaxed, next);
        (x.unwrap_or(1) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Writes all lines, in the order in which they were noted.
    pub fn write(&self, path: &Path) {
        let text = self.lines.lock().unwrap().join("\n") + "\n";
        fs::write(path, text).expect("the record can be written");
    }

    /// The lines that name this text.
    pub fn of(&self, text: &str) -> Vec<String> {
        let lines = self.lines.lock().unwrap();
        lines.iter().filter(|line| line.contains(text)).cloned().collect()
    }
}
