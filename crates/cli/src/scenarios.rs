//! What the commands that run scenarios share.

use std::io;
use std::path::PathBuf;

use hoptiller_fault_harness::ScenarioError;

use crate::run::Failure;

/// The failure of a command whose scenario can't be loaded or run.
pub(crate) fn failure(error: ScenarioError) -> Failure {
    match error {
        ScenarioError::Invalid(problems) => Failure::Settings(problems),
        ScenarioError::Io { subject, source } => Failure::Outside(subject, source),
        ScenarioError::Fleet { step, source } => {
            Failure::Outside(step.to_owned(), io::Error::other(source))
        }
        ScenarioError::UnknownDocument(_) => {
            Failure::Outside("the day".to_owned(), io::Error::other(error))
        }
        ScenarioError::Parse { .. }
        | ScenarioError::RouterNotStarted { .. }
        | ScenarioError::EnginesNotListed { .. } => Failure::Usage(error.to_string()),
    }
}

/// The file of this program, which scenarios start again for their processes; `subject` names it in the failure.
pub(crate) fn own_program(subject: &str) -> Result<PathBuf, Failure> {
    std::env::current_exe().map_err(|error| Failure::Outside(subject.to_owned(), error))
}
