//! Owns what goes out to a client: pages of rows, and the one final answer.

use std::rc::Rc;

use hoptiller_policy::Micros;
use serde_json::value::RawValue;

/// A page of a result, as an engine sent it.
#[derive(Clone, Debug, Default)]
pub struct ResultPage {
    /// What its rows consist of, as JSON text.
    pub columns: Option<Rc<RawValue>>,
    /// Rows, as JSON text.
    pub rows: Option<Rc<RawValue>>,
    /// Session fields to pass on to the client.
    pub session_fields: Vec<(String, String)>,
    /// What a change changed, and how many rows.
    pub update: Option<(String, Option<u64>)>,
    /// Whether it is the last one.
    pub is_last: bool,
    /// The engine's load, where told.
    pub load_report: Option<hoptiller_policy::LoadReport>,
    /// Work that the statement needed, if reported.
    pub work: Option<Micros>,
}

impl ResultPage {
    /// Bytes that it takes.
    pub fn bytes(&self) -> u64 {
        let texts = [&self.columns, &self.rows]
            .into_iter()
            .flatten()
            .map(|t| t.get().len())
            .sum::<usize>();
        (texts
            + self
                .session_fields
                .iter()
                .map(|f| f.0.len() + f.1.len())
                .sum::<usize>()) as u64
    }
}

/// An engine's own error.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineError {
    /// For people.
    pub message: String,
    /// Its code.
    pub code: u32,
    /// Its name.
    pub name: String,
}

/// How a statement ended for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FinalResponse {
    /// All rows were given out.
    Completed,
    /// Not done; trying again is harmless.
    Rejected {
        /// When to come back.
        retry_after: Option<Micros>,
        /// For people.
        reason: String,
    },
    /// A rule ended it, and nothing of it stands; trying again is harmless.
    TerminatedByRule {
        /// When to come back.
        retry_after: Option<Micros>,
        /// For people.
        reason: String,
    },
    /// Nothing promised: it may have run.
    MayHaveRun(String),
    /// Rows were given out, and the rest is lost.
    Truncated(String),
    /// The engine says that the statement is wrong.
    EngineError(EngineError),
    /// The client ended it.
    Canceled,
    /// The client went away.
    Abandoned,
}

impl FinalResponse {
    /// Why it was not served, for people.
    pub fn reason(&self) -> &str {
        match self {
            FinalResponse::Rejected { reason: why, .. }
            | FinalResponse::TerminatedByRule { reason: why, .. } => why,
            FinalResponse::MayHaveRun(why) | FinalResponse::Truncated(why) => why,
            FinalResponse::EngineError(failure) => &failure.message,
            FinalResponse::Completed | FinalResponse::Canceled | FinalResponse::Abandoned => "",
        }
    }

    /// A word for logs and metrics.
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

/// What an answer holds.
#[derive(Clone, Debug)]
pub enum ResponseContent {
    /// Nothing new.
    NoChange,
    /// Rows; final where the page is the last.
    Rows(ResultPage),
    /// The final answer.
    Final(FinalResponse),
}

/// One numbered answer.
#[derive(Clone, Debug)]
pub struct StatementResponse {
    /// Its number.
    pub page: u64,
    /// Its statement's class.
    pub class: usize,
    /// What it holds.
    pub content: ResponseContent,
    /// Whether an engine had it.
    pub running: bool,
    /// Whether rows have been given out, with it or before.
    pub streaming: bool,
    /// Time since the statement came.
    pub elapsed: Micros,
    /// Part of that before its first attempt.
    pub queued: Micros,
}

impl StatementResponse {
    /// Whether no other answer follows.
    pub fn is_final(&self) -> bool {
        match &self.content {
            ResponseContent::NoChange => false,
            ResponseContent::Rows(page) => page.is_last,
            ResponseContent::Final(_) => true,
        }
    }
}
