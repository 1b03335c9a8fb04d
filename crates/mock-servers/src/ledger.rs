//! The ledger of effects: each entry is the trace token of a statement that changed data, in a file that outlives the
//! process of its engine.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};

/// An effect that could not be entered into a ledger.
#[derive(Debug, thiserror::Error)]
pub enum PostError {
    /// A thread panicked while it wrote to the ledger.
    #[error("another thread panicked while it wrote to the ledger")]
    WriterPanicked,
    /// The file can't be written.
    #[error("the ledger's file can't be written")]
    Write(#[from] io::Error),
}

/// A ledger, shared by the engines that write to the same file or memory.
#[derive(Clone, Default)]
pub struct Ledger(Arc<Mutex<Entries>>);

#[derive(Default)]
struct Entries {
    lines: Vec<String>,
    file: Option<File>,
}

impl Ledger {
    /// Opens a ledger in a file, which is created where it does not exist. Entries in it count.
    ///
    /// # Errors
    ///
    /// If the file can't be read or opened for writing.
    pub fn open(path: &Path) -> io::Result<Ledger> {
        let text = match std::fs::read_to_string(path) {
            Ok(text) => text,
            Err(e) if e.kind() == io::ErrorKind::NotFound => String::new(),
            Err(e) => return Err(e),
        };
        // A line that a crash cut short has no break at its end: it was never acknowledged.
        let complete = text.rfind('\n').map_or(0, |last_break| last_break + 1);
        let mut file = File::options().create(true).append(true).open(path)?;
        if complete < text.len() {
            file.write_all(b"\n")?;
        }
        let lines = text[..complete].lines().map(str::to_owned).collect();
        let entries = Entries {
            lines,
            file: Some(file),
        };
        Ok(Ledger(Arc::new(Mutex::new(entries))))
    }

    /// Enters the effect of a statement; it is in the file when this returns.
    ///
    /// # Errors
    ///
    /// If the file can't be written, or another thread panicked while it wrote.
    pub fn post(&self, trace: &str) -> Result<(), PostError> {
        let Ok(mut entries) = self.0.lock() else {
            return Err(PostError::WriterPanicked);
        };
        let line = trace.replace(['\n', '\r'], " ");
        if let Some(file) = &mut entries.file {
            file.write_all(format!("{line}\n").as_bytes())?;
            file.flush()?;
        }
        entries.lines.push(line);
        Ok(())
    }

    /// How often the effect of each trace token was entered.
    pub fn postings(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        if let Ok(entries) = self.0.lock() {
            for line in &entries.lines {
                *counts.entry(line.clone()).or_default() += 1;
            }
        }
        counts
    }
}
