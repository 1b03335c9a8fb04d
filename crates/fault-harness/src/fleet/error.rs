//! Errors of setting up and controlling a fleet.

use std::io;
use std::path::{Path, PathBuf};

use crate::process::ProcessError;

/// Error of setting up or controlling a fleet.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// A file or folder of the fleet can't be used.
    #[error("can't use {}: {source}", .path.display())]
    File {
        /// Path of the file or folder.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A link or mock server can't be started.
    #[error("can't start {name}: {source}")]
    Server {
        /// Name of the server.
        name: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A process did not start.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// The replicas did not accept the first version in time.
    #[error("the replicas did not accept the first version in time")]
    FirstVersionNotAccepted,
    /// Not all routers enforced the first version in time.
    #[error("not all routers enforced the first version in time")]
    FirstVersionNotEnforced,
}

impl FleetError {
    pub(super) fn file(path: &Path) -> impl FnOnce(io::Error) -> FleetError {
        move |source| FleetError::File {
            path: path.to_owned(),
            source,
        }
    }

    pub(super) fn server(name: &str) -> impl FnOnce(io::Error) -> FleetError {
        move |source| FleetError::Server {
            name: name.to_owned(),
            source,
        }
    }
}
