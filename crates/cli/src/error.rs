//! Errors of commands, and their exit codes.

use std::error::Error;
use std::path::Path;

use hoptiller_coordination::Rejection;
use hoptiller_coordination_client::CallError;
use hoptiller_statement_router::SettingError;

/// An error of another package or of the system.
type Source = Box<dyn Error + Send + Sync>;

/// Exit code for an invalid command line, or an invalid file that it names. Nothing was started, except processes of a
/// scenario that fails at the start of its routers.
const EXIT_USAGE: u8 = 2;

/// Exit code for a failure outside of the program.
const EXIT_EXTERNAL: u8 = 3;

/// Errors of commands.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    /// Settings with problems.
    #[error("{}", list_problems(.0))]
    Settings(Vec<SettingError>),
    /// An invalid command line.
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
    /// A command can't do its work with what it was given. Its module defines the error.
    #[error(transparent)]
    Command(Source),
    /// The replicas rejected a proposal.
    #[error(transparent)]
    Proposal(#[from] Rejection),
    /// A replica rejected a call.
    #[error("{0}")]
    CallRejected(#[source] CallError),
    /// A failure outside of the program, of a file, a socket or another process.
    #[error("{context}: {source}")]
    Io {
        /// The operation that failed, or its object.
        context: String,
        /// The cause.
        source: Source,
    },
}

impl CommandError {
    /// Returns a function for `map_err` that adds the context to an error.
    pub(crate) fn io<E: Into<Source>>(
        context: impl Into<String>,
    ) -> impl FnOnce(E) -> CommandError {
        let context = context.into();
        move |error| CommandError::Io {
            context,
            source: error.into(),
        }
    }

    /// Returns a function for `map_err` that adds the path of the invalid file to an error.
    pub(crate) fn invalid_file<E: Into<Source>>(path: &Path) -> impl FnOnce(E) -> CommandError {
        let path = path.display().to_string();
        move |error| CommandError::InvalidFile {
            path,
            source: error.into(),
        }
    }

    /// Wraps the error of a command.
    pub(crate) fn command(error: impl Into<Source>) -> CommandError {
        CommandError::Command(error.into())
    }

    /// Returns the exit code of the program.
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
            unavailable @ CallError::Unavailable(_) => {
                CommandError::io("call to the keepers failed")(unavailable)
            }
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
