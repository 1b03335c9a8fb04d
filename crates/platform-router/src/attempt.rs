//! One attempt at an engine: what is sent and until when, the response, and the reasons why there is none.

use std::io;
use std::time::Instant;

use hoptiller_platform_protocol::engine_response::LineError;
use hoptiller_platform_protocol::{RowsError, StatementCommand};
use hoptiller_policy::{AttemptStatus, LoadReport, Micros};

use crate::cancel::CancelToken;
use crate::endpoint::EndpointState;

/// An attempt that the policy decided on.
pub struct AttemptRequest<'a> {
    /// The statement to be executed.
    pub command: StatementCommand<'a>,
    /// When the attempt times out.
    pub deadline: Instant,
    /// If set, the first byte is written before this time or not at all.
    pub send_by: Option<Instant>,
    /// Whether an attempt of the same request was made before.
    pub is_retry: bool,
    /// Cancels the attempt.
    pub token: &'a CancelToken,
    /// The state of the engine's endpoint at the time of the decision.
    pub endpoint: EndpointState,
}

/// A response with all pages of its result.
#[derive(Debug)]
pub struct CompleteResponse {
    /// The rows as JSON.
    pub rows: String,
    /// The work that the statement took, if reported.
    pub work: Option<Micros>,
    /// The engine's load, if reported.
    pub load_report: Option<LoadReport>,
}

/// Why an attempt has no response. The trace analysis matches the messages of `Overloaded` and `Connect`.
#[derive(Debug, thiserror::Error)]
pub enum AttemptError {
    /// Not sent: the limit of connections is reached.
    #[error("no descriptor was left for it")]
    NoDescriptor,
    /// Not sent: the engine is not on the endpoint list.
    #[error("the engine has gone from the list")]
    UnknownEngine,
    /// Not sent: when the first byte could be written, the attempt was no longer allowed.
    #[error("not sent: {0}")]
    NotSent(#[source] NotSentReason),
    /// No connection was established.
    #[error("no connection: {0}")]
    Connect(#[source] io::Error),
    /// The connection broke before a byte of the request was written.
    #[error("the connection broke before it was sent: {0}")]
    Unsent(#[source] io::Error),
    /// The connection broke after that.
    #[error("the connection broke: {0}")]
    ConnectionReset(#[source] io::Error),
    /// The engine sent an invalid line.
    #[error("{0}")]
    Line(#[source] LineError),
    /// The pages of the result are invalid.
    #[error("{0}")]
    Rows(#[source] RowsError),
    /// The engine rejected the request for lack of capacity.
    #[error("the engine is full")]
    Overloaded,
    /// The engine failed.
    #[error("the engine's own error")]
    Crashed,
    /// The request was over when the engine received it.
    #[error("it was over before it began")]
    NotExecuted,
    /// No response before the deadline.
    #[error("no answer in time")]
    TimedOut,
    /// The policy cancelled the attempt.
    #[error("withdrawn")]
    Cancelled,
    /// The client disconnected before all pages of the result were fetched.
    #[error("its client left")]
    Abandoned,
}

/// Why an attempt that the policy decided on was not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotSentReason {
    /// It was cancelled, or the client disconnected.
    #[error("it was taken back")]
    Cancelled,
    /// Its deadline had passed.
    #[error("its time was over")]
    TimedOut,
    /// The engine would no longer recognise it as a duplicate.
    #[error("a repeat would no longer be recognised")]
    IdempotencyWindowPassed,
    /// The retry budget was spent.
    #[error("too many further attempts have begun")]
    RetryBudgetSpent,
    /// The state of the engine's endpoint had changed.
    #[error("the list tells something else of the engine now")]
    EndpointChanged,
}

impl AttemptError {
    /// The outcome that is reported to the policy.
    pub fn status(&self) -> AttemptStatus {
        match self {
            AttemptError::NoDescriptor
            | AttemptError::UnknownEngine
            | AttemptError::NotSent(_)
            | AttemptError::NotExecuted => AttemptStatus::NotSent,
            AttemptError::Connect(_) | AttemptError::Unsent(_) => AttemptStatus::ConnectFailed,
            AttemptError::ConnectionReset(_) => AttemptStatus::ConnectionReset,
            AttemptError::Line(_) | AttemptError::Rows(_) | AttemptError::Crashed => {
                AttemptStatus::ErrorResponse
            }
            AttemptError::Overloaded => AttemptStatus::Rejected,
            AttemptError::TimedOut => AttemptStatus::TimedOut,
            AttemptError::Cancelled | AttemptError::Abandoned => AttemptStatus::Cancelled,
        }
    }
}
