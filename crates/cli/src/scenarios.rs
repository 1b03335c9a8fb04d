//! What the commands that run scenarios share.

use std::path::PathBuf;

use hoptiller_fault_harness::ScenarioError;

use crate::error::CommandError;

/// The failure of a command whose scenario can't be loaded or run.
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

/// The file of this program, which scenarios start again for their processes; `subject` names it in the failure.
pub(crate) fn own_program(subject: &str) -> Result<PathBuf, CommandError> {
    std::env::current_exe().map_err(CommandError::io(subject))
}
