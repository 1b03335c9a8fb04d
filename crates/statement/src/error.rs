//! Owns the names, codes and types of errors that a client can be answered with.

use serde::{Deserialize, Serialize};

/// Whose fault an error is, as clients sort them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum ErrorType {
    /// The statement is wrong, or its user ended it.
    UserError,
    /// The service is at fault.
    InternalError,
    /// There is no room for it now.
    InsufficientResources,
    /// Something that the service depends on is at fault.
    External,
}

/// The errors that the router answers with itself. Those of engines pass through with their own names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorName {
    /// Refused: it has not run, or running it again changes nothing. Trying again is harmless.
    Refused,
    /// Refused: a rule ended it at its engine, and nothing of it stands. Trying again is harmless, and will end alike.
    EndedByRule,
    /// Failed: it may have run, and must be looked up before it is sent again.
    MayHaveRun,
    /// Failed after rows were delivered: the result is cut short.
    ResultCut,
    /// Its router was restarted; nothing was changed by it. Trying again is harmless.
    RouterRestarted,
    /// Ended at its client's wish.
    UserCanceled,
    /// Its client did not ask for its result any more.
    Abandoned,
}

impl ErrorName {
    /// The specification's name of what an administrator ended at an engine.
    pub const KILLED: &'static str = "ADMINISTRATIVELY_KILLED";

    /// All of them, for the documentation and its test.
    pub const ALL: [ErrorName; 7] = [
        ErrorName::Refused,
        ErrorName::EndedByRule,
        ErrorName::MayHaveRun,
        ErrorName::ResultCut,
        ErrorName::RouterRestarted,
        ErrorName::UserCanceled,
        ErrorName::Abandoned,
    ];

    /// The name as answered.
    pub fn name(self) -> &'static str {
        match self {
            ErrorName::Refused => "HOPTILLER_REFUSED",
            ErrorName::EndedByRule => "HOPTILLER_ENDED_BY_RULE",
            ErrorName::MayHaveRun => "HOPTILLER_MAY_HAVE_RUN",
            ErrorName::ResultCut => "HOPTILLER_RESULT_CUT",
            ErrorName::RouterRestarted => "HOPTILLER_ROUTER_RESTARTED",
            ErrorName::UserCanceled => "USER_CANCELED",
            ErrorName::Abandoned => "ABANDONED_QUERY",
        }
    }

    /// The code as answered: the specification's ranges by type, ours from 0xF000 in each.
    pub fn code(self) -> u32 {
        match self {
            ErrorName::UserCanceled => 3,
            ErrorName::Abandoned => 0x0001_0006,
            ErrorName::Refused => 0x0002_F001,
            ErrorName::RouterRestarted => 0x0002_F002,
            ErrorName::EndedByRule => 0x0002_F003,
            ErrorName::MayHaveRun => 0x0100_F001,
            ErrorName::ResultCut => 0x0100_F002,
        }
    }

    /// The type as answered.
    pub fn error_type(self) -> ErrorType {
        match self {
            ErrorName::UserCanceled => ErrorType::UserError,
            ErrorName::Abandoned => ErrorType::InternalError,
            ErrorName::Refused | ErrorName::RouterRestarted | ErrorName::EndedByRule => {
                ErrorType::InsufficientResources
            }
            ErrorName::MayHaveRun | ErrorName::ResultCut => ErrorType::External,
        }
    }

    /// Whether the answer promises that trying again is harmless.
    pub fn is_harmless(self) -> bool {
        matches!(
            self,
            ErrorName::Refused | ErrorName::RouterRestarted | ErrorName::EndedByRule
        )
    }
}

#[cfg(test)]
mod tests;
