//! The ledger of effects. Each entry is the trace token of a statement that changed data. In a file, entries survive
//! the process of their engine.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};

/// The reason why an effect was not entered into a ledger.
#[derive(Debug, thiserror::Error)]
pub enum PostError {
    /// Another thread panicked while it wrote to the ledger.
    #[error("another thread panicked while it wrote to the ledger")]
    WriterPanicked,
    /// Writing to the file failed.
    #[error("writing to the ledger file failed")]
    Write(#[from] io::Error),
}

/// A ledger in a file or in memory. Clones share their entries.
#[derive(Clone, Default)]
pub struct Ledger(Arc<Mutex<Entries>>);

#[derive(Default)]
struct Entries {
    lines: Vec<String>,
    file: Option<File>,
}

impl Ledger {
    /// Opens a ledger file with its existing entries, or creates it.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read or opened for writing.
    pub fn open(path: &Path) -> io::Result<Ledger> {
        let text = match std::fs::read_to_string(path) {
            Ok(text) => text,
            Err(error) if error.kind() == io::ErrorKind::NotFound => String::new(),
            Err(error) => return Err(error),
        };
        // A last line without a line break was truncated by a crash and never acknowledged, so it is not counted here.
        // The line break that is added keeps the next entry from being joined to it. A later `open` counts the line.
        let complete_bytes = text.rfind('\n').map_or(0, |last_break| last_break + 1);
        let mut file = File::options().create(true).append(true).open(path)?;
        if complete_bytes < text.len() {
            file.write_all(b"\n")?;
        }
        let lines = text[..complete_bytes].lines().map(str::to_owned).collect();
        let entries = Entries {
            lines,
            file: Some(file),
        };
        Ok(Ledger(Arc::new(Mutex::new(entries))))
    }

    /// Enters the effect of a statement. If the ledger has a file, the entry has been written to it when this returns.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be written, or another thread panicked while it wrote.
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

    /// Returns the number of entries of each trace token.
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
