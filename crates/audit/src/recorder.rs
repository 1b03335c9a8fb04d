//! Writing records: to memory, and to a file as one JSON object a line.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

use crate::record::Record;

/// The current time, in µs since 1970.
pub fn unix_micros() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_micros() as u64)
}

/// A thread panicked while it wrote a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a writer panicked")]
pub struct WriterPanicked;

/// Keeps records in memory, and in a file where one is given. Clones share both.
#[derive(Clone, Default)]
pub struct Recorder(Arc<Mutex<Sink>>);

#[derive(Default)]
struct Sink {
    records: Vec<Record>,
    file: Option<File>,
    /// The first error of the file since the last call of [`Recorder::records`].
    error: Option<io::Error>,
}

impl Recorder {
    /// Records to memory and appends to a file, which is created where it does not exist.
    ///
    /// # Errors
    ///
    /// If the file can't be opened.
    pub fn to_file(path: &Path) -> io::Result<Recorder> {
        let file = File::options().create(true).append(true).open(path)?;
        Ok(Recorder(Arc::new(Mutex::new(Sink {
            file: Some(file),
            ..Sink::default()
        }))))
    }

    /// Writes a record. An error of the file is returned by the next [`Recorder::records`].
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

    /// All records so far.
    ///
    /// # Errors
    ///
    /// If a record could not be written to the file, or with [`WriterPanicked`] as the inner error.
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
