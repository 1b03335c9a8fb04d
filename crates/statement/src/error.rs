//! Names, codes and types of the errors in responses to clients.

use serde::{Deserialize, Serialize};

/// The category of an error, by which clients sort them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum ErrorType {
    /// The statement is wrong, or its user cancelled it.
    UserError,
    /// The service is at fault.
    InternalError,
    /// There is no capacity for the statement now.
    InsufficientResources,
    /// A dependency of the service is at fault.
    External,
}

/// The errors of the router itself. Those of engines are forwarded under their own names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorName {
    /// The statement was rejected: it has not run, or running it again changes nothing. A retry is safe.
    Rejected,
    /// A rule ended the statement at its engine, and its effects were rolled back. A retry is safe, but will end alike.
    EndedByRule,
    /// The statement failed and may have run: whether it did must be checked before a retry.
    MayHaveRun,
    /// The statement failed after rows were delivered: the result is truncated.
    ResultTruncated,
    /// The router was restarted; the statement has changed nothing. A retry is safe.
    RouterRestarted,
    /// The client cancelled the statement.
    UserCanceled,
    /// The client stopped polling for the result.
    Abandoned,
}

impl ErrorName {
    /// The specification's name of the error of a statement that an administrator ended at an engine.
    pub const ADMINISTRATIVELY_KILLED: &'static str = "ADMINISTRATIVELY_KILLED";

    /// All error names.
    pub const ALL: [ErrorName; 7] = [
        ErrorName::Rejected,
        ErrorName::EndedByRule,
        ErrorName::MayHaveRun,
        ErrorName::ResultTruncated,
        ErrorName::RouterRestarted,
        ErrorName::UserCanceled,
        ErrorName::Abandoned,
    ];

    /// The name in responses.
    pub fn name(self) -> &'static str {
        match self {
            ErrorName::Rejected => "HOPTILLER_REFUSED",
            ErrorName::EndedByRule => "HOPTILLER_ENDED_BY_RULE",
            ErrorName::MayHaveRun => "HOPTILLER_MAY_HAVE_RUN",
            ErrorName::ResultTruncated => "HOPTILLER_RESULT_CUT",
            ErrorName::RouterRestarted => "HOPTILLER_ROUTER_RESTARTED",
            ErrorName::UserCanceled => "USER_CANCELED",
            ErrorName::Abandoned => "ABANDONED_QUERY",
        }
    }

    /// The code in responses: within the specification's range of the type, the router's own from 0xF000.
    pub fn code(self) -> u32 {
        match self {
            ErrorName::UserCanceled => 3,
            ErrorName::Abandoned => 0x0001_0006,
            ErrorName::Rejected => 0x0002_F001,
            ErrorName::RouterRestarted => 0x0002_F002,
            ErrorName::EndedByRule => 0x0002_F003,
            ErrorName::MayHaveRun => 0x0100_F001,
            ErrorName::ResultTruncated => 0x0100_F002,
        }
    }

    /// The type in responses.
    pub fn error_type(self) -> ErrorType {
        match self {
            ErrorName::UserCanceled => ErrorType::UserError,
            ErrorName::Abandoned => ErrorType::InternalError,
            ErrorName::Rejected | ErrorName::RouterRestarted | ErrorName::EndedByRule => {
                ErrorType::InsufficientResources
            }
            ErrorName::MayHaveRun | ErrorName::ResultTruncated => ErrorType::External,
        }
    }

    /// Whether the response promises that a retry is safe.
    pub fn is_retryable(self) -> bool {
        matches!(
            self,
            ErrorName::Rejected | ErrorName::RouterRestarted | ErrorName::EndedByRule
        )
    }
}

#[cfg(test)]
mod tests;
