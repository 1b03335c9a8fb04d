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
        ScenarioError::UnknownDocument(_) => {
            CommandError::io("cannot propose a document of the scenario")(error)
        }
        // A scenario whose processes do not start is treated as invalid, though it has started some of them.
        ScenarioError::Parse { .. }
        | ScenarioError::RouterNotStarted { .. }
        | ScenarioError::EnginesNotListed { .. } => CommandError::Usage(error.to_string()),
    }
}

/// Returns the path of this program, which scenarios start for each of their processes.
pub(crate) fn own_program() -> Result<PathBuf, CommandError> {
    std::env::current_exe().map_err(CommandError::io(
        "cannot determine the path of this program",
    ))
}
