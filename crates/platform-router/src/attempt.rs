//! An attempt to execute a statement at an engine: its request, its response, and its errors.

use std::io;
use std::time::Instant;

use hoptiller_platform_protocol::engine_response::LineError;
use hoptiller_platform_protocol::{RowsError, StatementCommand};
use hoptiller_policy::{AttemptStatus, LoadReport, Micros};

use crate::cancel::CancelToken;
use crate::endpoint::EndpointState;

/// Maximum bytes that an engine may send during one request. A result and a duplicate of it are far smaller.
pub(crate) const MAX_BYTES_PER_REQUEST: usize = 512 << 10;

/// An attempt that the policy decided on.
pub struct AttemptRequest<'a> {
    /// The statement to be executed.
    pub command: StatementCommand<'a>,
    /// When the attempt times out.
    pub deadline: Instant,
    /// The end of the idempotency window, if there is one. An attempt is not sent if its first byte can't be written
    /// before that.
    pub send_by: Option<Instant>,
    /// Whether this is a retry by the router, that is, an attempt after the first.
    pub is_retry: bool,
    /// The token that cancels the attempt.
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

/// The reason why an attempt has no complete response. The trace analysis matches the messages of `Overloaded` and
/// `Connect`.
#[derive(Debug, thiserror::Error)]
pub enum AttemptError {
    /// Not sent: the connection limit was reached, and no connection became free in time.
    #[error("connection limit reached, and no connection became free in time")]
    ConnectionLimitReached,
    /// Not sent: the engine was removed from the endpoint list or never listed.
    #[error("the engine is not on the endpoint list")]
    UnknownEngine,
    /// Not sent: the attempt was no longer allowed when its first byte could be written, or it ended before that.
    #[error("not sent: {0}")]
    NotSent(#[source] NotSentReason),
    /// No connection was established.
    #[error("no connection: {0}")]
    Connect(#[source] io::Error),
    /// The connection failed before a byte of the request was written.
    #[error("the connection failed before the request was sent: {0}")]
    FailedBeforeSend(#[source] io::Error),
    /// The connection failed after the first byte of the request was written.
    #[error("the connection failed during the request: {0}")]
    ConnectionReset(#[source] io::Error),
    /// The engine sent an invalid response line.
    #[error("{0}")]
    Line(#[source] LineError),
    /// The engine sent too many bytes for one request.
    #[error("the engine sent over {MAX_BYTES_PER_REQUEST} bytes for one request")]
    TooManyBytes,
    /// The pages of the result are invalid.
    #[error("{0}")]
    Rows(#[source] RowsError),
    /// The engine rejected the request for lack of capacity.
    #[error("the engine is full")]
    Overloaded,
    /// The engine reported a failure, during execution or while pages were fetched; the statement may have been
    /// executed.
    #[error("the engine failed")]
    Crashed,
    /// The request had ended before the engine started it.
    #[error("the request had ended before the engine started it")]
    NotExecuted,
    /// The deadline passed before the response was complete.
    #[error("no complete response before the deadline")]
    TimedOut,
    /// The policy cancelled the attempt.
    #[error("the attempt was cancelled")]
    Cancelled,
    /// The request ended before the other pages of the result were fetched: its client has a response or disconnected.
    #[error("the request ended before its result was complete")]
    RequestEnded,
}

/// The reason why an attempt that the policy decided on was not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotSentReason {
    /// The attempt was cancelled, or its request ended: its client has a response or disconnected.
    #[error("the attempt was cancelled or its request ended")]
    Cancelled,
    /// The deadline of the attempt had passed.
    #[error("the deadline had passed")]
    TimedOut,
    /// The engine would no longer recognize the attempt as a duplicate.
    #[error("the idempotency window had passed")]
    IdempotencyWindowPassed,
    /// The retry budget was exhausted.
    #[error("the retry budget is exhausted")]
    RetryBudgetExhausted,
    /// The state of the engine's endpoint had changed.
    #[error("the engine's endpoint has changed")]
    EndpointChanged,
}

impl AttemptError {
    /// Returns the status that is reported to the policy.
    pub fn status(&self) -> AttemptStatus {
        match self {
            AttemptError::ConnectionLimitReached
            | AttemptError::UnknownEngine
            | AttemptError::NotSent(_)
            | AttemptError::NotExecuted => AttemptStatus::NotSent,
            AttemptError::Connect(_) | AttemptError::FailedBeforeSend(_) => {
                AttemptStatus::ConnectFailed
            }
            AttemptError::ConnectionReset(_) => AttemptStatus::ConnectionReset,
            AttemptError::Line(_)
            | AttemptError::TooManyBytes
            | AttemptError::Rows(_)
            | AttemptError::Crashed => AttemptStatus::ErrorResponse,
            AttemptError::Overloaded => AttemptStatus::Rejected,
            AttemptError::TimedOut => AttemptStatus::TimedOut,
            AttemptError::Cancelled | AttemptError::RequestEnded => AttemptStatus::Cancelled,
        }
    }
}
