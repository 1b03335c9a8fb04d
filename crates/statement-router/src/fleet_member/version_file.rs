//! The file of the versions that a router enforces, for its next incarnation.

use std::path::{Path, PathBuf};

use hoptiller_coordination::Version;
use hoptiller_coordination_client::secret::digest;

use crate::atomic_file;

/// Name of the file in the state directory.
const FILE_NAME: &str = "agreed";

/// The file: a line with the digest of the rest, which is JSON.
pub(super) struct VersionFile {
    path: PathBuf,
}

impl VersionFile {
    pub(super) fn new(state_dir: &Path) -> VersionFile {
        VersionFile {
            path: state_dir.join(FILE_NAME),
        }
    }

    /// The stored versions; none where the file is missing or incomplete.
    pub(super) fn load(&self) -> Vec<Version> {
        let Ok(bytes) = atomic_file::read(&self.path) else {
            return Vec::new();
        };
        decode(&bytes).unwrap_or_else(|| {
            tracing::warn!(file = %self.path.display(), "cannot decode the stored configuration versions; ignoring them");
            Vec::new()
        })
    }

    /// Stores versions. A failure is logged: the next incarnation then waits for its first lease.
    pub(super) fn store(&self, versions: &[Version]) {
        if let Err(error) = atomic_file::write(&self.path, &encode(versions)) {
            tracing::warn!(file = %self.path.display(), %error, "cannot store the enforced configuration versions");
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
