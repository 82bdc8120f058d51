//! What was sent, answered and run, written to a file at the end.

use std::fs;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A record. Clones share it.
#[derive(Clone)]
pub struct Record {
    lines: Arc<Mutex<Vec<String>>>,
    started: Instant,
}

impl Record {
    /// An empty record that begins now.
    pub fn new() -> Self {
        Self {
            lines: Arc::default(),
            started: Instant::now(),
        }
    }

    /// Adds a line with the time.
    pub fn add(&self, text: impl AsRef<str>) {
        let at = self.started.elapsed().as_secs_f64();
        let line = format!("{at:8.3} s  {}", text.as_ref());
        self.lines.lock().expect("no panic").push(line);
    }

    /// Writes the record to the file that the variable `RECORD` names.
    pub fn write(&self) {
        let lines = self.lines.lock().expect("no panic");
        let text = lines.join("\n") + "\n";
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
        if let Err(error) = fs::write(&path, text) {
            eprintln!("{path}: {error}");
        }
    }
}
