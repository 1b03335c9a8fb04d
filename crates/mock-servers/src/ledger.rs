//! Owns the ledger of effects: each posting by its trace, in a file that outlives its engine's process.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

/// A ledger, shared by engines that post to the same file or memory.
#[derive(Clone, Default)]
pub struct Ledger(Arc<Mutex<Inner>>);

#[derive(Default)]
struct Inner {
    lines: Vec<String>,
    file: Option<(PathBuf, File)>,
}

impl Ledger {
    /// A ledger in a file; what it holds already counts.
    pub fn open(path: &Path) -> io::Result<Ledger> {
        let text = match std::fs::read_to_string(path) {
            Ok(text) => text,
            Err(e) if e.kind() == io::ErrorKind::NotFound => String::new(),
            Err(e) => return Err(e),
        };
        // A line that a crash cut short has no break at its end: it was never acknowledged.
        let whole = text.rfind('\n').map_or(0, |at| at + 1);
        let mut file = File::options().create(true).append(true).open(path)?;
        if whole < text.len() {
            file.write_all(b"\n")?;
        }
        let lines = text[..whole].lines().map(str::to_owned).collect();
        Ok(Ledger(Arc::new(Mutex::new(Inner {
            lines,
            file: Some((path.to_owned(), file)),
        }))))
    }

    /// Posts an effect; it is in the file when this returns.
    pub fn post(&self, trace: &str) -> io::Result<()> {
        let Ok(mut inner) = self.0.lock() else {
            return Err(io::Error::other("a writer panicked"));
        };
        let line = trace.replace(['\n', '\r'], " ");
        if let Some((_, file)) = &mut inner.file {
            file.write_all(format!("{line}\n").as_bytes())?;
            file.flush()?;
        }
        inner.lines.push(line);
        Ok(())
    }

    /// How often each trace was posted.
    pub fn postings(&self) -> BTreeMap<String, usize> {
        let mut all = BTreeMap::new();
        if let Ok(inner) = self.0.lock() {
            for line in &inner.lines {
                *all.entry(line.clone()).or_default() += 1;
            }
        }
        all
    }
}
