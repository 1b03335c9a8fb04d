//! What the core asks its caller to do, and what comes back of attempts.

use std::rc::Rc;

use hoptiller_policy::{AttemptStatus, EngineId, LoadReport, Micros};
use hoptiller_runaway::Finding;

use crate::identity::StatementId;
use crate::response::FinalResponse;
use crate::submission::EngineStatement;

/// What the caller is to carry out. Fields `attempt` hold an attempt's number, from 0.
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
    /// Discard the rest of an attempt's result; its outcome need not be reported.
    Release {
        /// The statement.
        id: StatementId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Have the engine kill an attempt; the outcome is still reported by the attempt itself.
    Kill {
        /// The statement.
        id: StatementId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Have the engine pause or resume an attempt.
    Pause {
        /// The statement.
        id: StatementId,
        /// Number of the attempt.
        attempt: u32,
        /// Whether to pause (or else to resume).
        paused: bool,
    },
    /// Report a finding of the runaway detector on a statement, a fingerprint or an engine.
    ReportFinding(Box<Finding>),
    /// Check the health and load of an engine.
    HealthCheck(EngineId),
    /// Refresh the engine list from discovery now.
    RefreshDiscovery,
    /// Notify those who wait for updates of this statement.
    NotifyWaiters(StatementId),
    /// The final response to a statement is settled.
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

/// An attempt to be sent.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The statement.
    pub id: StatementId,
    /// Number of the attempt, from 0.
    pub number: u32,
    /// The engine to send it to.
    pub engine: EngineId,
    /// Index of the statement's class.
    pub class: usize,
    /// Priority, 0 to 3, if one was set.
    pub priority: Option<u8>,
    /// Memory to grant, in MB; 0 leaves it to the engine.
    pub memory_grant_mb: f64,
    /// When to give it up.
    pub deadline: Micros,
    /// If its first byte is not written by then, it must not be sent at all.
    pub send_by: Option<Micros>,
    /// What to send.
    pub work: Rc<EngineStatement>,
}

/// How an attempt ended without its result.
#[derive(Clone, Debug)]
pub struct AttemptOutcome {
    /// Its status.
    pub status: AttemptStatus,
    /// What was observed, for people.
    pub reason: String,
    /// The engine's load, if reported.
    pub load_report: Option<LoadReport>,
}

impl AttemptOutcome {
    /// The outcome of an attempt that was cancelled for this reason.
    pub(crate) fn cancelled(reason: String) -> AttemptOutcome {
        AttemptOutcome {
            status: AttemptStatus::Cancelled,
            reason,
            load_report: None,
        }
    }
}
