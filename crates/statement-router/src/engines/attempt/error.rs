//! Errors of attempts and what they prove about the execution of the statement.

use std::io;

use hoptiller_http::ParseError;
use hoptiller_http::client::ClientError;
use hoptiller_policy::{AttemptStatus, LoadReport};
use hoptiller_router_core::AttemptOutcome;

use crate::engines::observer::SendRejected;

/// An error that ends an attempt without a result.
#[derive(Debug, thiserror::Error)]
pub(super) enum AttemptError {
    #[error("the engine is no longer listed")]
    EngineNotListed,
    #[error(transparent)]
    NotAuthorized(#[from] SendRejected),
    #[error("no connection: {0}")]
    Connect(#[source] io::Error),
    #[error("the engine did not respond in time")]
    SubmitTimedOut,
    /// The connection failed after the request was begun.
    #[error(transparent)]
    Submit(ClientError),
    /// By the protocol, the statement was not accepted and can be retried.
    #[error("the engine did not accept the statement (status {status})")]
    NotAccepted {
        status: u16,
        load_report: Option<LoadReport>,
    },
    #[error("the engine responded to the submission with status {0}")]
    SubmitStatus(u16),
    #[error("the response has no nextUri")]
    NoNextUri,
    #[error("the engine no longer knows the statement")]
    UnknownToEngine,
    #[error("the engine responded to a poll with status {0}")]
    PollStatus(u16),
    /// Several consecutive polls have failed; this is the last failure.
    #[error(transparent)]
    PollsFailed(PollError),
    #[error("cannot connect to the engine for a poll: {0}")]
    PollConnect(#[source] io::Error),
    #[error("the engine's response is not valid HTTP: {0}")]
    InvalidHttp(#[source] ParseError),
    #[error("the engine did not finish before the deadline")]
    DeadlineExceeded,
    #[error("cancelled")]
    Cancelled,
    #[error("the engine's response is not valid QueryResults: {0}")]
    InvalidResults(#[source] serde_json::Error),
    /// The engine was restarted and has assigned the URI to another statement.
    #[error("the engine's response belongs to another statement")]
    OtherStatement,
    #[error("the engine's nextUri is not a valid path at the engine's address")]
    InvalidNextUri,
    /// The engine reports an error that the statement did not cause.
    #[error("{name}: {message}")]
    EngineFailure {
        name: String,
        message: String,
        load_report: Option<LoadReport>,
    },
}

/// An error of a single poll that can be repeated.
#[derive(Debug, thiserror::Error)]
pub(super) enum PollError {
    #[error("the engine responded to a poll with status {0}")]
    Unavailable(u16),
    #[error(transparent)]
    Exchange(ClientError),
}

impl AttemptError {
    /// Returns what the error proves about the attempt.
    fn attempt_status(&self) -> AttemptStatus {
        match self {
            AttemptError::EngineNotListed | AttemptError::NotAuthorized(_) => {
                AttemptStatus::NotSent
            }
            AttemptError::Connect(_) => AttemptStatus::ConnectFailed,
            AttemptError::SubmitTimedOut | AttemptError::DeadlineExceeded => {
                AttemptStatus::TimedOut
            }
            AttemptError::Submit(_)
            | AttemptError::UnknownToEngine
            | AttemptError::PollsFailed(_)
            | AttemptError::PollConnect(_)
            | AttemptError::OtherStatement => AttemptStatus::ConnectionReset,
            AttemptError::NotAccepted { .. } => AttemptStatus::Rejected,
            AttemptError::SubmitStatus(_)
            | AttemptError::NoNextUri
            | AttemptError::PollStatus(_)
            | AttemptError::InvalidHttp(_)
            | AttemptError::InvalidResults(_)
            | AttemptError::InvalidNextUri
            | AttemptError::EngineFailure { .. } => AttemptStatus::ErrorResponse,
            AttemptError::Cancelled => AttemptStatus::Cancelled,
        }
    }

    pub(super) fn into_outcome(self) -> AttemptOutcome {
        let (status, reason) = (self.attempt_status(), self.to_string());
        let load_report = match self {
            AttemptError::NotAccepted { load_report, .. }
            | AttemptError::EngineFailure { load_report, .. } => load_report,
            _ => None,
        };
        AttemptOutcome {
            status,
            reason,
            load_report,
        }
    }
}
