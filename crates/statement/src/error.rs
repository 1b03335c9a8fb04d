//! Names, codes and types of the errors in responses to clients.

use serde::{Deserialize, Serialize};

/// The category of an error, by which clients classify it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum ErrorType {
    /// The statement is invalid, or its user cancelled it.
    UserError,
    /// The service failed.
    InternalError,
    /// No capacity is available for the statement now.
    InsufficientResources,
    /// A dependency of the service failed.
    External,
}

/// The router's own errors. Errors of engines are forwarded under their own names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorName {
    /// The statement was rejected: it has not run, or running it again has no further effect. A retry is safe.
    Rejected,
    /// A rule terminated the statement at its engine. Its effects were rolled back, or running it again has no further
    /// effect. A retry is safe but will be terminated as well.
    TerminatedByRule,
    /// The statement failed and may have run. The client must check whether it did before a retry.
    MayHaveRun,
    /// The statement failed after rows were delivered, so the result is truncated.
    ResultTruncated,
    /// The router restarted, and the statement has changed nothing. A retry is safe.
    RouterRestarted,
    /// The client cancelled the statement.
    UserCanceled,
    /// The client stopped polling for the result.
    Abandoned,
}

impl ErrorName {
    /// The specification's error name for a statement that an administrator killed at an engine.
    pub const ADMINISTRATIVELY_KILLED: &'static str = "ADMINISTRATIVELY_KILLED";

    /// All error names.
    pub const ALL: [ErrorName; 7] = [
        ErrorName::Rejected,
        ErrorName::TerminatedByRule,
        ErrorName::MayHaveRun,
        ErrorName::ResultTruncated,
        ErrorName::RouterRestarted,
        ErrorName::UserCanceled,
        ErrorName::Abandoned,
    ];

    /// Returns the name used in responses.
    pub fn name(self) -> &'static str {
        match self {
            ErrorName::Rejected => "HOPTILLER_REFUSED",
            ErrorName::TerminatedByRule => "HOPTILLER_ENDED_BY_RULE",
            ErrorName::MayHaveRun => "HOPTILLER_MAY_HAVE_RUN",
            ErrorName::ResultTruncated => "HOPTILLER_RESULT_CUT",
            ErrorName::RouterRestarted => "HOPTILLER_ROUTER_RESTARTED",
            ErrorName::UserCanceled => "USER_CANCELED",
            ErrorName::Abandoned => "ABANDONED_QUERY",
        }
    }

    /// Returns the code used in responses. It lies within the specification's range for the error type; the router's
    /// own codes start at 0xF000 in that range.
    pub fn code(self) -> u32 {
        match self {
            ErrorName::UserCanceled => 3,
            ErrorName::Abandoned => 0x0001_0006,
            ErrorName::Rejected => 0x0002_F001,
            ErrorName::RouterRestarted => 0x0002_F002,
            ErrorName::TerminatedByRule => 0x0002_F003,
            ErrorName::MayHaveRun => 0x0100_F001,
            ErrorName::ResultTruncated => 0x0100_F002,
        }
    }

    /// Returns the type used in responses.
    pub fn error_type(self) -> ErrorType {
        match self {
            ErrorName::UserCanceled => ErrorType::UserError,
            ErrorName::Abandoned => ErrorType::InternalError,
            ErrorName::Rejected | ErrorName::RouterRestarted | ErrorName::TerminatedByRule => {
                ErrorType::InsufficientResources
            }
            ErrorName::MayHaveRun | ErrorName::ResultTruncated => ErrorType::External,
        }
    }

    /// Returns whether the error promises that a retry is safe.
    pub fn is_retryable(self) -> bool {
        matches!(
            self,
            ErrorName::Rejected | ErrorName::RouterRestarted | ErrorName::TerminatedByRule
        )
    }
}

#[cfg(test)]
mod tests;
