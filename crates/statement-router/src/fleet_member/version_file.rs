//! The file that keeps a router's enforced versions for its next incarnation.

use std::path::{Path, PathBuf};

use hoptiller_coordination::Version;
use hoptiller_coordination_client::secret::digest;

use crate::atomic_file;

/// Name of the file in the state directory.
const FILE_NAME: &str = "agreed";

/// A file with the digest of its body on the first line, followed by the body in JSON.
pub(super) struct VersionFile {
    path: PathBuf,
}

impl VersionFile {
    pub(super) fn new(state_dir: &Path) -> VersionFile {
        VersionFile {
            path: state_dir.join(FILE_NAME),
        }
    }

    /// Returns the stored versions, or none if the file is missing, unreadable or invalid. Only an invalid file is
    /// logged.
    pub(super) fn load(&self) -> Vec<Version> {
        let Ok(bytes) = atomic_file::read(&self.path) else {
            return Vec::new();
        };
        decode(&bytes).unwrap_or_else(|| {
            tracing::warn!(
                file = %self.path.display(),
                "stored versions not decoded"
            );
            Vec::new()
        })
    }

    /// Stores versions. A failure is only logged: without the file, the next incarnation waits for its first lease.
    pub(super) fn store(&self, versions: &[Version]) {
        if let Err(error) = atomic_file::write(&self.path, &encode(versions)) {
            tracing::warn!(file = %self.path.display(), %error, "enforced versions not stored");
        }
    }
}

fn encode(versions: &[Version]) -> Vec<u8> {
    let body = serde_json::to_vec(versions).unwrap_or_default();
    [digest(&body).as_bytes(), b"\n", &body].concat()
}

fn decode(bytes: &[u8]) -> Option<Vec<Version>> {
    let line_end = bytes.iter().position(|b| *b == b'\n')?;
    let (expected, body) = (&bytes[..line_end], &bytes[line_end + 1..]);
    if digest(body).as_bytes() != expected {
        return None;
    }
    serde_json::from_slice(body).ok()
}
