//! Owns the file in which what was learnt of kinds of statements outlives the process. It is written beside and
//! renamed, so that a crash leaves the old one or the new one; what can't be read is said, set aside, and the
//! router starts from what the settings say.

use std::cell::Cell;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use hoptiller_router_core::event_loop::EventLoop;

/// The file's name in the state folder.
pub const NAME: &str = "runaways";
/// More than a file of ours can have: what is larger is not read.
const MOST: u64 = 256 << 20;

/// The file.
pub struct Learnt {
    dir: PathBuf,
    /// The last writing failed: said once.
    failing: Cell<bool>,
}

impl Learnt {
    /// In this folder.
    pub fn new(dir: &Path) -> Learnt {
        Learnt {
            dir: dir.to_owned(),
            failing: Cell::new(false),
        }
    }

    /// Reads it, if there is one.
    pub fn take_up(&self, rounds: &EventLoop) {
        let path = self.dir.join(NAME);
        let bytes = match read(&path) {
            Ok(bytes) => bytes,
            Err(e) if e.kind() == io::ErrorKind::NotFound => {
                return tracing::info!(
                    "nothing was learnt of kinds yet; the settings say what is usual"
                );
            }
            Err(why) => {
                let why = why.to_string();
                return tracing::warn!(file = %path.display(), why, "what was learnt of kinds can't be read");
            }
        };
        let Some(done) = rounds.with_core(|core, now| core.restore_runaway_detector(now, &bytes))
        else {
            return;
        };
        match done {
            Ok(done) => {
                tracing::info!(
                    kinds = done.fingerprints,
                    holds = done.holds,
                    dropped = done.dropped,
                    "taken up"
                )
            }
            Err(why) => {
                // Kept for whoever wants to know; the next writing would take its place.
                let aside = self.dir.join(format!("{NAME}.unreadable"));
                let moved = fs::rename(&path, &aside).is_ok();
                let why = why.to_string();
                tracing::warn!(
                    file = %path.display(), why, moved_to = %aside.display(), moved,
                    "what was learnt of kinds is lost; the settings say what is usual until it is learnt anew"
                );
            }
        }
    }

    /// Writes it. A failure is said, and the next writing tries again: nothing else depends on it.
    pub fn write(&self, bytes: &[u8]) {
        match self.try_write(bytes) {
            Ok(()) => {
                if self.failing.replace(false) {
                    tracing::info!("what was learnt of kinds is written again");
                }
            }
            Err(e) => {
                if !self.failing.replace(true) {
                    let why = e.to_string();
                    tracing::warn!(dir = %self.dir.display(), why, "what was learnt of kinds can't be written");
                }
            }
        }
    }

    fn try_write(&self, bytes: &[u8]) -> io::Result<()> {
        write_whole(&self.dir.join(NAME), bytes)
    }
}

/// Writes a file beside and renames it: a crash leaves the old one or the new one.
pub(crate) fn write_whole(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let dir = path.parent().unwrap_or(path);
    fs::create_dir_all(dir)?;
    let beside = path.with_extension("new");
    let written = File::create(&beside).and_then(|mut file| {
        file.write_all(bytes)?;
        file.sync_all()
    });
    if let Err(e) = written {
        let _ = fs::remove_file(&beside);
        return Err(e);
    }
    fs::rename(&beside, path)?;
    File::open(dir)?.sync_all()
}

pub(crate) fn read(path: &Path) -> io::Result<Vec<u8>> {
    let size = fs::metadata(path)?.len();
    if size > MOST {
        return Err(io::Error::new(
            io::ErrorKind::InvalidData,
            format!("{size} bytes are more than it can have"),
        ));
    }
    fs::read(path)
}

#[cfg(test)]
mod tests;
