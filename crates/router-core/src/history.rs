//! Owns what someone woken at night asks first: the course of one statement.

use hoptiller_policy::{AttemptStatus, EngineId};

/// The course of a statement; times are in ms since it came.
#[derive(Clone, Debug)]
pub struct StatementHistory {
    /// Its class, by number.
    pub class: usize,
    /// Where it stands.
    pub state: &'static str,
    /// Why it was refused or failed.
    pub reason: String,
    /// Up to its end, or to now.
    pub elapsed_ms: u64,
    /// How long its client waits.
    pub timeout_ms: u64,
    /// Before its first attempt.
    pub queued_ms: u64,
    /// Answers given out.
    pub responses: u64,
    /// Its attempts.
    pub attempts: Vec<AttemptHistory>,
}

/// One attempt.
#[derive(Clone, Debug)]
pub struct AttemptHistory {
    /// Which, from 0.
    pub number: u32,
    /// Where.
    pub engine: EngineId,
    /// When it was sent.
    pub sent_ms: u64,
    /// When its first page came.
    pub first_page_ms: Option<u64>,
    /// When it ended.
    pub ended_ms: Option<u64>,
    /// How.
    pub status: Option<AttemptStatus>,
    /// What was seen.
    pub reason: String,
}

/// A word for an ending.
pub fn status_description(ending: AttemptStatus) -> &'static str {
    match ending {
        AttemptStatus::Succeeded => "served",
        AttemptStatus::ErrorResponse => "engine error; it may have run",
        AttemptStatus::Rejected => "turned away unseen; it did not run",
        AttemptStatus::TimedOut => "no answer in time; it may have run",
        AttemptStatus::ConnectFailed => "no connection; it did not run",
        AttemptStatus::ConnectionReset => "connection broken; it may have run",
        AttemptStatus::Cancelled => "withdrawn; it may have run",
        AttemptStatus::NotSent => "never sent",
    }
}
