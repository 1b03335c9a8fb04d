//! What goes out to a client: pages of rows, and the one final response.

use std::rc::Rc;

use hoptiller_policy::{LoadReport, Micros};
use serde_json::value::RawValue;

/// A page of a result, as an engine sent it.
#[derive(Clone, Debug, Default)]
pub struct ResultPage {
    /// Descriptions of the columns, as JSON text.
    pub columns: Option<Rc<RawValue>>,
    /// Rows, as JSON text.
    pub rows: Option<Rc<RawValue>>,
    /// Names and values of session fields to forward to the client.
    pub session_fields: Vec<(String, String)>,
    /// For a statement that changes data: the type of the update, and the number of rows affected.
    pub update: Option<(String, Option<u64>)>,
    /// Whether it is the last page.
    pub is_last: bool,
    /// The engine's load, if reported.
    pub load_report: Option<LoadReport>,
    /// Work that the statement needed, if reported.
    pub work: Option<Micros>,
}

impl ResultPage {
    /// Size of its texts in bytes.
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
    /// Message for people.
    pub message: String,
    /// Error code.
    pub code: u32,
    /// Error name.
    pub name: String,
}

/// How a statement ended for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FinalResponse {
    /// All rows were delivered.
    Completed,
    /// It was not run; a retry is safe.
    Rejected {
        /// How long the client should wait before a retry.
        retry_after: Option<Micros>,
        /// Reason for people.
        reason: String,
    },
    /// A rule terminated it, and none of its effects remain; a retry is safe.
    TerminatedByRule {
        /// How long the client should wait before a retry.
        retry_after: Option<Micros>,
        /// Reason for people.
        reason: String,
    },
    /// Its result is unknown: it may have run. Holds the reason.
    MayHaveRun(String),
    /// Rows were delivered, and the rest is lost. Holds the reason.
    Truncated(String),
    /// The engine reported an error in the statement.
    EngineError(EngineError),
    /// The client canceled it.
    Canceled,
    /// The client went away.
    Abandoned,
}

impl FinalResponse {
    /// Why it was not completed, for people; empty where there is nothing to say.
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

    /// Label in logs and metrics.
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

/// What a response holds.
#[derive(Clone, Debug)]
pub enum ResponseContent {
    /// Nothing new.
    NoChange,
    /// Rows; the response is final if the page is the last one.
    Rows(ResultPage),
    /// The final response.
    Final(FinalResponse),
}

/// One numbered response to a statement.
#[derive(Clone, Debug)]
pub struct StatementResponse {
    /// Its number.
    pub page: u64,
    /// Index of the statement's class.
    pub class: usize,
    /// What it holds.
    pub content: ResponseContent,
    /// Whether the statement had been sent to an engine.
    pub running: bool,
    /// Whether rows have been delivered, with it or before.
    pub streaming: bool,
    /// Time since the statement was received.
    pub elapsed: Micros,
    /// Part of that time before the first attempt.
    pub queued: Micros,
}

impl StatementResponse {
    /// Whether no other response follows.
    pub fn is_final(&self) -> bool {
        match &self.content {
            ResponseContent::NoChange => false,
            ResponseContent::Rows(page) => page.is_last,
            ResponseContent::Final(_) => true,
        }
    }
}

/// What a poll finds.
#[derive(Clone, Debug)]
pub enum PollOutcome {
    /// The response.
    Response(Rc<StatementResponse>),
    /// Nothing new yet: wait for [`Command::NotifyWaiters`](crate::Command::NotifyWaiters).
    Pending,
    /// That response was superseded by a later one, or the statement is no longer retained.
    Gone,
    /// No such response was ever offered.
    Unknown,
}
