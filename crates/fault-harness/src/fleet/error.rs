//! Why a fleet can't do what a scenario wants.

use std::io;
use std::path::{Path, PathBuf};

use crate::process::ProcessError;

/// Why a fleet can't do what a scenario wants.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// A file or folder of the fleet can't be used.
    #[error("{}: {source}", .path.display())]
    File {
        /// The file or folder.
        path: PathBuf,
        /// What the system reported.
        source: io::Error,
    },
    /// A link or mock server can't be started.
    #[error("{name}: {source}")]
    Server {
        /// The name of the server.
        name: String,
        /// What the system reported.
        source: io::Error,
    },
    /// A process did not start.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// The replicas did not accept the first version in time.
    #[error("keepers never took the first version")]
    FirstVersionNotAccepted,
    /// Not all routers enforced the first version in time.
    #[error("not all routers came to heed the first version")]
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
