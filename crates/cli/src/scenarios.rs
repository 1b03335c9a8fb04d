//! Functions shared by the commands that run scenarios.

use std::path::PathBuf;

use hoptiller_fault_harness::ScenarioError;

use crate::error::CommandError;

/// Converts the error of a scenario into that of a command.
pub(crate) fn failure(error: ScenarioError) -> CommandError {
    match error {
        ScenarioError::Invalid(problems) => CommandError::Settings(problems),
        ScenarioError::Io { subject, source } => CommandError::io(subject)(source),
        ScenarioError::Fleet { step, source } => CommandError::io(step)(source),
        ScenarioError::UnknownDocument(_) => CommandError::io("fleet run")(error),
        ScenarioError::Parse { .. }
        | ScenarioError::RouterNotStarted { .. }
        | ScenarioError::EnginesNotListed { .. } => CommandError::Usage(error.to_string()),
    }
}

/// Returns the path of this program, which scenarios run as their processes. An error names it by `subject`.
pub(crate) fn own_program(subject: &str) -> Result<PathBuf, CommandError> {
    std::env::current_exe().map_err(CommandError::io(subject))
}
