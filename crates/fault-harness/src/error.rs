//! Why a scenario can't be loaded or run.

use std::io;
use std::path::PathBuf;

use hoptiller_statement_router::SettingError;

use crate::fleet::FleetError;

/// Why a scenario can't be loaded or run.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The file has problems; all of them are listed.
    #[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
    Invalid(Vec<SettingError>),
    /// The file has another form than a scenario.
    #[error("{}: {source}", .path.display())]
    Parse {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// A fleet could not be set up, or be started again while the scenario ran.
    #[error("{step}: {source}")]
    Fleet {
        /// What was being done.
        step: &'static str,
        /// What failed.
        source: FleetError,
    },
    /// A file, thread or mock server failed.
    #[error("{subject}: {source}")]
    Io {
        /// The file, thread or server.
        subject: String,
        /// What the system reported.
        source: io::Error,
    },
    /// A router of a [`RouterScenario`](crate::RouterScenario) ended before it was ready.
    #[error("{router} did not start; see {}", .log.display())]
    RouterNotStarted {
        /// The name of the router.
        router: String,
        /// The file with what it logged.
        log: PathBuf,
    },
    /// A router of a [`RouterScenario`](crate::RouterScenario) does not list all engines in time.
    #[error("{router} does not see its engines; see {}", .log.display())]
    EnginesNotListed {
        /// The name of the router.
        router: String,
        /// The file with what it logged.
        log: PathBuf,
    },
    /// An event proposes a document that the scenario does not have.
    #[error("the day has no document {0:?}")]
    UnknownDocument(String),
}

impl ScenarioError {
    /// Puts an I/O error under its subject.
    pub(crate) fn io(subject: impl Into<String>) -> impl FnOnce(io::Error) -> ScenarioError {
        let subject = subject.into();
        move |source| ScenarioError::Io { subject, source }
    }
}
