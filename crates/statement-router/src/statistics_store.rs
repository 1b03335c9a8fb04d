//! Saves the runaway detector's statistics and restores them after a restart.

use std::cell::Cell;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use hoptiller_router_core::event_loop::EventLoop;

use crate::atomic_file;

/// Name of the file in the state directory.
pub const FILE_NAME: &str = "runaways";
/// Extension to which a file that cannot be decoded is renamed.
const UNREADABLE_EXTENSION: &str = "unreadable";

/// The file of saved statistics.
pub struct StatisticsStore {
    dir: PathBuf,
    /// Whether the last save failed. Only the first of consecutive failures is logged.
    is_failing: Cell<bool>,
}

impl StatisticsStore {
    /// Creates the store of a state directory.
    pub fn new(dir: &Path) -> StatisticsStore {
        StatisticsStore {
            dir: dir.to_owned(),
            is_failing: Cell::new(false),
        }
    }

    fn path(&self) -> PathBuf {
        self.dir.join(FILE_NAME)
    }

    /// Restores the saved statistics into the core, if there are any. A file that cannot be decoded is renamed, and
    /// the router starts without statistics.
    pub fn restore(&self, event_loop: &EventLoop) {
        let path = self.path();
        let bytes = match atomic_file::read(&path) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == io::ErrorKind::NotFound => {
                tracing::info!(file = %path.display(), "no statistics saved yet");
                return;
            }
            Err(error) => {
                tracing::warn!(file = %path.display(), %error, "statistics not read");
                return;
            }
        };
        let restored = event_loop.with_core(|core, now| core.restore_runaway_detector(now, &bytes));
        match restored {
            None => {}
            Some(Ok(restored)) => tracing::info!(
                kinds = restored.fingerprints,
                holds = restored.holds,
                dropped = restored.dropped,
                "statistics restored"
            ),
            Some(Err(error)) => {
                // The file is renamed, since the next save would overwrite it.
                let moved_to = path.with_extension(UNREADABLE_EXTENSION);
                let moved = fs::rename(&path, &moved_to).is_ok();
                tracing::warn!(
                    file = %path.display(), %error, moved_to = %moved_to.display(), moved,
                    "statistics not decoded and set aside"
                );
            }
        }
    }

    /// Saves statistics. A failure is only logged: nothing else depends on the file, and the next save retries.
    pub fn save(&self, bytes: &[u8]) {
        match atomic_file::write(&self.path(), bytes) {
            Ok(()) => {
                if self.is_failing.replace(false) {
                    tracing::info!("statistics saved again");
                }
            }
            Err(error) => {
                if !self.is_failing.replace(true) {
                    tracing::warn!(dir = %self.dir.display(), %error, "statistics not saved");
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
