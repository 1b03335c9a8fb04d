//! Errors of commands, with their exit codes.

use std::error::Error;
use std::path::Path;

use hoptiller_coordination::Rejection;
use hoptiller_coordination_client::CallError;
use hoptiller_statement_router::SettingError;

use crate::commands::audit::AuditError;
use crate::commands::beliefs::EmptyTraceError;
use crate::commands::experiment::MissingClassError;
use crate::commands::runaways::ReleaseError;

/// An error of another package or of the system.
type Source = Box<dyn Error + Send + Sync>;

/// Exit code: the command line or a file that it names is wrong, and nothing was started.
const EXIT_USAGE: u8 = 2;

/// Exit code: something outside of the program failed.
const EXIT_EXTERNAL: u8 = 3;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    /// Settings with problems.
    #[error("{}", list_problems(.0))]
    Settings(Vec<SettingError>),
    /// A wrong command line.
    #[error("{0}")]
    Usage(String),
    /// A file that the command line names is not what the command expects.
    #[error("{path}: {source}")]
    InvalidFile {
        /// The file.
        path: String,
        /// What is wrong with it.
        source: Source,
    },
    /// The router can't be set up from its settings.
    #[error(transparent)]
    Router(#[from] hoptiller_policy::SettingsError),
    /// There are no records to judge, or malformed ones.
    #[error(transparent)]
    Audit(#[from] AuditError),
    /// There are no attempts to compare.
    #[error(transparent)]
    EmptyTrace(#[from] EmptyTraceError),
    /// The settings do not fit the study.
    #[error(transparent)]
    Study(#[from] MissingClassError),
    /// A router does not release a hold.
    #[error(transparent)]
    Release(#[from] ReleaseError),
    /// The replicas reject a proposal.
    #[error(transparent)]
    Proposal(#[from] Rejection),
    /// A replica rejects a call.
    #[error("{0}")]
    CallRejected(#[source] CallError),
    /// Something outside failed: a file, a socket, another process.
    #[error("{context}: {source}")]
    Io {
        /// What was done, or with what.
        context: String,
        /// What failed.
        source: Source,
    },
}

impl CommandError {
    /// Adds to an error in which context it occurred; for `map_err`.
    pub(crate) fn io<E: Into<Source>>(
        context: impl Into<String>,
    ) -> impl FnOnce(E) -> CommandError {
        let context = context.into();
        move |error| CommandError::Io {
            context,
            source: error.into(),
        }
    }

    /// Adds to an error in which file it was found; for `map_err`.
    pub(crate) fn invalid_file<E: Into<Source>>(path: &Path) -> impl FnOnce(E) -> CommandError {
        let path = path.display().to_string();
        move |error| CommandError::InvalidFile {
            path,
            source: error.into(),
        }
    }

    /// The exit code of the program.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            CommandError::Io { .. } => EXIT_EXTERNAL,
            _ => EXIT_USAGE,
        }
    }
}

impl From<Vec<SettingError>> for CommandError {
    fn from(problems: Vec<SettingError>) -> CommandError {
        CommandError::Settings(problems)
    }
}

impl From<SettingError> for CommandError {
    fn from(problem: SettingError) -> CommandError {
        CommandError::Settings(vec![problem])
    }
}

impl From<CallError> for CommandError {
    fn from(error: CallError) -> CommandError {
        match error {
            rejected @ CallError::Rejected { .. } => CommandError::CallRejected(rejected),
            unavailable @ CallError::Unavailable(_) => CommandError::io("the keepers")(unavailable),
        }
    }
}

fn list_problems(problems: &[SettingError]) -> String {
    let count = problems.len();
    let plural = if count == 1 { "" } else { "s" };
    let mut list = format!("the settings have {count} problem{plural}; nothing was started");
    for problem in problems {
        list.push_str(&format!("\n  {problem}"));
    }
    list
}
