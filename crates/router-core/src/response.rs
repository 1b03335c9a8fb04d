//! Responses to clients: pages of rows, and the final response.

use std::rc::Rc;

use hoptiller_policy::{LoadReport, Micros};
use serde_json::value::RawValue;

/// A page of a result, as the engine sent it.
#[derive(Clone, Debug, Default)]
pub struct ResultPage {
    /// Column descriptions, as JSON text.
    pub columns: Option<Rc<RawValue>>,
    /// Rows, as JSON text.
    pub rows: Option<Rc<RawValue>>,
    /// Names and values of session fields to forward to the client, such as headers of the client protocol.
    pub session_fields: Vec<(String, String)>,
    /// Update type and number of affected rows, for a statement that changes data.
    pub update: Option<(String, Option<u64>)>,
    /// Whether this is the last page.
    pub is_last: bool,
    /// Load reported by the engine, if any.
    pub load_report: Option<LoadReport>,
    /// Work that the statement needed, summed over all threads, if reported.
    pub work: Option<Micros>,
}

impl ResultPage {
    /// Returns the size of columns, rows and session fields in bytes.
    pub(crate) fn size_bytes(&self) -> u64 {
        let json_bytes = [&self.columns, &self.rows]
            .into_iter()
            .flatten()
            .map(|text| text.get().len())
            .sum::<usize>();
        let field_bytes = self
            .session_fields
            .iter()
            .map(|(name, value)| name.len() + value.len())
            .sum::<usize>();
        (json_bytes + field_bytes) as u64
    }
}

/// An error that an engine reports for a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineError {
    /// Human-readable message.
    pub message: String,
    /// Error code.
    pub code: u32,
    /// Error name.
    pub name: String,
}

/// The final outcome of a statement for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FinalResponse {
    /// All rows were delivered.
    Completed,
    /// The statement was not run, or running it again has no further effect. A retry is safe.
    Rejected {
        /// Time that the client should wait before a retry.
        retry_after: Option<Micros>,
        /// Human-readable reason.
        reason: String,
    },
    /// A rule terminated the statement. Its effects were rolled back, or running it again has no further effect. A
    /// retry is safe.
    TerminatedByRule {
        /// Time that the client should wait before a retry.
        retry_after: Option<Micros>,
        /// Human-readable reason.
        reason: String,
    },
    /// The outcome is unknown: the statement may have run. Holds the reason.
    MayHaveRun(String),
    /// Some rows were delivered, but the rest is lost. Holds the reason.
    Truncated(String),
    /// The engine reported an error in the statement.
    EngineError(EngineError),
    /// The client cancelled the statement.
    Canceled,
    /// The client did not poll within [`CoreLimits::abandon_after`](crate::CoreLimits::abandon_after).
    Abandoned,
}

impl FinalResponse {
    /// Returns a human-readable reason why the statement was not completed, or an empty string if there is none.
    pub fn reason(&self) -> &str {
        match self {
            FinalResponse::Rejected { reason, .. }
            | FinalResponse::TerminatedByRule { reason, .. }
            | FinalResponse::MayHaveRun(reason)
            | FinalResponse::Truncated(reason) => reason,
            FinalResponse::EngineError(error) => &error.message,
            FinalResponse::Completed | FinalResponse::Canceled | FinalResponse::Abandoned => "",
        }
    }

    /// Returns the label for logs and metrics.
    pub fn label(&self) -> &'static str {
        match self {
            FinalResponse::Completed => "served",
            FinalResponse::Rejected { .. } => "refused",
            FinalResponse::TerminatedByRule { .. } => "ended by rule",
            FinalResponse::MayHaveRun(_) => "failed",
            FinalResponse::Truncated(_) => "cut",
            FinalResponse::EngineError(_) => "wrong",
            FinalResponse::Canceled => "canceled",
            FinalResponse::Abandoned => "abandoned",
        }
    }
}

/// The content of a response.
#[derive(Clone, Debug)]
pub enum ResponseContent {
    /// Nothing has changed.
    NoChange,
    /// A page of rows; the response is final if this is the last page.
    Rows(ResultPage),
    /// The final response.
    Final(FinalResponse),
}

/// One numbered response to a statement.
#[derive(Clone, Debug)]
pub struct StatementResponse {
    /// Number of the response.
    pub number: u64,
    /// Index of the statement's class.
    pub class: usize,
    /// Content of the response.
    pub content: ResponseContent,
    /// Whether the statement has been sent to an engine.
    pub was_sent: bool,
    /// Whether rows have been delivered with this response or an earlier one.
    pub streaming: bool,
    /// Time since the statement was received.
    pub elapsed: Micros,
    /// Part of `elapsed` before the first attempt.
    pub queued: Micros,
}

impl StatementResponse {
    /// Returns whether no further response follows.
    pub fn is_final(&self) -> bool {
        match &self.content {
            ResponseContent::NoChange => false,
            ResponseContent::Rows(page) => page.is_last,
            ResponseContent::Final(_) => true,
        }
    }
}

/// The outcome of a poll.
#[derive(Clone, Debug)]
pub enum PollOutcome {
    /// The requested response.
    Response(Rc<StatementResponse>),
    /// Nothing is new yet; [`Command::NotifyWaiters`](crate::Command::NotifyWaiters) follows when there is.
    Pending,
    /// The response was superseded by a later one, or the statement is no longer retained.
    Gone,
    /// No response with that number was ever offered.
    Unknown,
}
