//! Errors of loading and running scenarios.

use std::io;
use std::path::PathBuf;

use hoptiller_statement_router::SettingError;

use crate::fleet::FleetError;

/// Error of loading or running a scenario.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The scenario file has the listed problems.
    #[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
    Invalid(Vec<SettingError>),
    /// The file does not have the structure of a scenario.
    #[error("{}: {source}", .path.display())]
    Parse {
        /// Path of the file.
        path: PathBuf,
        /// Error of the parser.
        source: serde_json::Error,
    },
    /// Setting up a fleet failed, or applying an event to it while the scenario ran.
    #[error("{step}: {source}")]
    Fleet {
        /// Step of the run that failed.
        step: &'static str,
        /// Error of the fleet.
        source: FleetError,
    },
    /// A file, thread or mock server failed.
    #[error("{subject}: {source}")]
    Io {
        /// Name of the file, thread or server.
        subject: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A router of a [`RouterScenario`](crate::RouterScenario) did not become ready.
    #[error("{router} did not become ready; see {}", .log.display())]
    RouterNotStarted {
        /// Name of the router.
        router: String,
        /// Path of the log of the router.
        log: PathBuf,
    },
    /// A router of a [`RouterScenario`](crate::RouterScenario) did not list all engines in time.
    #[error("{router} did not list all engines in time; see {}", .log.display())]
    EnginesNotListed {
        /// Name of the router.
        router: String,
        /// Path of the log of the router.
        log: PathBuf,
    },
    /// An event proposes a document that the scenario does not define.
    #[error("the scenario has no document {0:?}")]
    UnknownDocument(String),
}

impl ScenarioError {
    /// Returns a conversion of I/O errors that names their subject.
    pub(crate) fn io(subject: impl Into<String>) -> impl FnOnce(io::Error) -> ScenarioError {
        let subject = subject.into();
        move |source| ScenarioError::Io { subject, source }
    }
}
