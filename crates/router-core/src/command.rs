//! Commands that the core issues to its caller, and the outcomes of attempts.

use std::rc::Rc;

use hoptiller_policy::{AttemptStatus, EngineId, LoadReport, Micros};
use hoptiller_runaway::Finding;

use crate::identity::StatementId;
use crate::response::FinalResponse;
use crate::submission::EngineStatement;

/// A command for the caller to execute. The fields named `attempt` hold the number of an attempt, from 0.
#[derive(Clone, Debug)]
pub enum Command {
    /// Send an attempt.
    Send(Attempt),
    /// Fetch the next page of an attempt's result.
    Fetch {
        /// The statement.
        id: StatementId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Cancel an attempt and report its outcome.
    Cancel {
        /// The statement.
        id: StatementId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Discard the rest of an attempt's result; the caller need not report the outcome.
    Release {
        /// The statement.
        id: StatementId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Have the engine kill an attempt; the attempt itself still reports its outcome.
    Kill {
        /// The statement.
        id: StatementId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Have the engine pause or resume an attempt.
    SetPaused {
        /// The statement.
        id: StatementId,
        /// Number of the attempt.
        attempt: u32,
        /// Whether to pause the attempt rather than resume it.
        paused: bool,
    },
    /// Report a finding of the runaway detector on a statement, a fingerprint or an engine.
    ReportFinding(Box<Finding>),
    /// Check the health and load of an engine.
    HealthCheck(EngineId),
    /// Refresh the engine list from discovery now.
    RefreshDiscovery,
    /// Notify the clients that wait for updates of this statement.
    NotifyWaiters(StatementId),
    /// Record that the final response to a statement is settled.
    Settled {
        /// The statement.
        id: StatementId,
        /// Index of its class.
        class: usize,
        /// The final response.
        response: FinalResponse,
        /// Time since the statement was received.
        elapsed: Micros,
        /// Number of attempts made.
        attempts: u32,
    },
}

/// An attempt to send.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Number of the statement.
    pub statement_id: StatementId,
    /// Number of the attempt, from 0.
    pub number: u32,
    /// The engine to send it to.
    pub engine: EngineId,
    /// Index of the statement's class.
    pub class: usize,
    /// Priority from 0 to 3, if set.
    pub priority: Option<u8>,
    /// Memory grant in MB; 0 lets the engine decide.
    pub memory_grant_mb: f64,
    /// Time at which to give up the attempt.
    pub deadline: Micros,
    /// Time by which the first byte must be written; after that the attempt must not be sent at all.
    pub send_by: Option<Micros>,
    /// Statement text and session fields to send.
    pub engine_statement: Rc<EngineStatement>,
}

/// The outcome of an attempt that ended without its complete result.
#[derive(Clone, Debug)]
pub struct AttemptOutcome {
    /// Status of the attempt.
    pub status: AttemptStatus,
    /// Human-readable description of what was observed.
    pub reason: String,
    /// Load reported by the engine, if any.
    pub load_report: Option<LoadReport>,
}

impl AttemptOutcome {
    /// Creates the outcome of an attempt that was cancelled for the given reason.
    pub(crate) fn cancelled(reason: String) -> AttemptOutcome {
        AttemptOutcome {
            status: AttemptStatus::Cancelled,
            reason,
            load_report: None,
        }
    }
}
