//! Writes records to memory, and to a file with one JSON object per line.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

use crate::record::Record;

/// Returns the current time, in µs since the Unix epoch.
pub fn unix_micros() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_micros() as u64)
}

/// Error for a recorder whose lock is poisoned because a thread panicked while writing a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a thread panicked while writing a record")]
pub struct WriterPanicked;

/// Collects records in memory, and in a file if one is given. Clones share both.
#[derive(Clone, Default)]
pub struct Recorder(Arc<Mutex<Sink>>);

#[derive(Default)]
struct Sink {
    records: Vec<Record>,
    file: Option<File>,
    /// First write error of the file since the last call of [`Recorder::records`].
    error: Option<io::Error>,
}

impl Recorder {
    /// Creates a recorder that also appends to a file, which is created if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be opened.
    pub fn to_file(path: &Path) -> io::Result<Recorder> {
        let file = File::options().create(true).append(true).open(path)?;
        Ok(Recorder(Arc::new(Mutex::new(Sink {
            file: Some(file),
            ..Sink::default()
        }))))
    }

    /// Writes a record. If writing to the file fails, the next call of [`Recorder::records`] returns the error.
    pub fn write(&self, record: Record) {
        let Ok(mut sink) = self.0.lock() else { return };
        if let Some(file) = &mut sink.file {
            let mut line = serde_json::to_vec(&record).unwrap_or_default();
            line.push(b'\n');
            if let Err(error) = file.write_all(&line) {
                sink.error.get_or_insert(error);
            }
        }
        sink.records.push(record);
    }

    /// Returns all records so far.
    ///
    /// # Errors
    ///
    /// Returns an error if a record could not be written to the file, or an error that wraps [`WriterPanicked`] if a
    /// writing thread panicked.
    pub fn records(&self) -> io::Result<Vec<Record>> {
        let Ok(mut sink) = self.0.lock() else {
            return Err(io::Error::other(WriterPanicked));
        };
        match sink.error.take() {
            Some(error) => Err(error),
            None => Ok(sink.records.clone()),
        }
    }
}
