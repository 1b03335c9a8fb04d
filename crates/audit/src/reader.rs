//! Reads a folder of record files.

use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};

use crate::record::Record;

/// A line of a record file that can't be parsed.
#[derive(Debug, thiserror::Error)]
#[error("{}:{line}: {source}", path.display())]
pub struct MalformedLine {
    /// Path of the file.
    pub path: PathBuf,
    /// Number of the line, counted from 1.
    pub line: usize,
    /// Error of the parser.
    #[source]
    pub source: serde_json::Error,
}

/// Content of a folder of record files.
#[derive(Debug, Default)]
pub struct RecordFiles {
    /// Records of all files, sorted by time.
    pub records: Vec<Record>,
    /// Lines that can't be parsed.
    pub malformed: Vec<MalformedLine>,
}

/// Reads all `*.jsonl` files of a folder. Malformed lines are returned apart from the records. Directory entries that
/// can't be read are skipped.
///
/// # Errors
///
/// Returns an error if the folder or a file can't be read.
pub fn read_records(dir: &Path) -> io::Result<RecordFiles> {
    let mut paths: Vec<_> = std::fs::read_dir(dir)?
        .filter_map(|entry| entry.ok().map(|entry| entry.path()))
        .filter(|path| {
            path.extension()
                .is_some_and(|extension| extension == "jsonl")
        })
        .collect();
    paths.sort();
    let mut files = RecordFiles::default();
    for path in paths {
        files.read_file(&path)?;
    }
    files.records.sort_by_key(Record::at);
    Ok(files)
}

impl RecordFiles {
    fn read_file(&mut self, path: &Path) -> io::Result<()> {
        for (index, line) in BufReader::new(File::open(path)?).split(b'\n').enumerate() {
            let line = line?;
            if line.iter().all(u8::is_ascii_whitespace) {
                continue;
            }
            match serde_json::from_slice(&line) {
                Ok(record) => self.records.push(record),
                Err(source) => self.malformed.push(MalformedLine {
                    path: path.to_owned(),
                    line: index + 1,
                    source,
                }),
            }
        }
        Ok(())
    }
}
