//! The record of a run: what was sent, answered and run, a line each, with Unix times in milliseconds.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the Unix time in milliseconds.
pub fn now_ms() -> f64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0.0, |elapsed| elapsed.as_micros() as f64 / 1000.0)
}

/// A record that threads share.
#[derive(Clone)]
pub struct Record(Arc<Mutex<BufWriter<File>>>);

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        let file = BufWriter::new(File::create(path)?);
        Ok(Record(Arc::new(Mutex::new(file))))
    }

    /// Writes a line, also to standard output if `shown`.
    pub fn line(&self, text: &str, shown: bool) {
        if shown {
            println!("{text}");
        }
        let mut file = self.0.lock().unwrap_or_else(|error| error.into_inner());
        let _ = writeln!(file, "{:.1} {text}", now_ms());
        let _ = file.flush();
    }

    pub fn note(&self, text: &str) {
        self.line(text, false);
    }

    pub fn say(&self, text: &str) {
        self.line(text, true);
    }
}
