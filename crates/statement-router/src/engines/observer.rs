//! What an engine client reports, and whom it asks for permission.

use hoptiller_policy::{EngineId, LoadReport, Micros, Progress};
use hoptiller_router_core::{AttemptOutcome, EngineError, ResultPage};
use hoptiller_runaway::{ProgressReport, Proof};
use hoptiller_statement::extra::ConfigVersions;

use super::attempt_id::AttemptId;

/// Receives what an engine client observes.
pub trait EngineObserver {
    /// The time, by the clock of the core.
    fn now(&self) -> Micros;

    /// A page of rows has been received.
    fn page_received(&self, id: AttemptId, page: ResultPage);

    /// The engine has rejected the statement itself as wrong.
    fn statement_failed(&self, id: AttemptId, error: EngineError);

    /// An attempt has ended without its result: failed, cancelled or not sent.
    fn attempt_ended(&self, id: AttemptId, outcome: AttemptOutcome);

    /// An attempt was killed at its engine, with the engine's proof of what became of its effects.
    fn attempt_killed(&self, id: AttemptId, proof: Proof, reason: String);

    /// The engine has reported the status of an attempt.
    fn status_reported(&self, id: AttemptId, report: AttemptReport);

    /// The engine has reported the progress of an attempt.
    fn progress_reported(&self, id: AttemptId, progress: Progress);

    /// A health check has ended, with a load report where the engine has answered with one.
    fn health_check_completed(&self, engine: EngineId, report: Option<LoadReport>);

    /// Asked right before the first byte of an attempt is written: whether it may be sent now, and the configuration
    /// versions that allow it, if there are any.
    ///
    /// # Errors
    ///
    /// The attempt must not be sent.
    fn authorize_send(
        &self,
        _engine: EngineId,
        _class: usize,
    ) -> Result<Option<ConfigVersions>, SendRejected> {
        Ok(None)
    }
}

/// The status of an attempt, as its engine reports it.
#[derive(Clone, Debug, Default)]
pub struct AttemptReport {
    /// The status. A blocking statement in it has no class yet.
    pub progress: ProgressReport,
    /// Name of the class of the statement that blocks this one.
    pub blocking_class: Option<String>,
}

/// Why an attempt must not be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendRejected {
    /// The config lease has expired, or the class is in no enforced version.
    #[error("the config lease does not allow the class")]
    NoLease,
    /// The engine has left the endpoint list.
    #[error("the engine is no longer listed")]
    NotListed,
    /// The class is restricted to other kinds or zones by now.
    #[error("the fleet configuration has changed: the class may no longer run on this engine")]
    ClassRestricted,
    /// The configured endpoint list has the engine as draining.
    #[error("the configured endpoint list has the engine as draining")]
    Draining,
    /// The idempotency key may have expired at the engine.
    #[error("the idempotency key may have expired at the engine")]
    KeyExpired,
}
