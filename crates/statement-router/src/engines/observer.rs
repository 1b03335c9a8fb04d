//! The interface through which the engine client reports observations and asks for authorization.

use hoptiller_policy::{EngineId, LoadReport, Micros, Progress};
use hoptiller_router_core::{AttemptOutcome, EngineError, ResultPage};
use hoptiller_runaway::{ProgressReport, Proof};
use hoptiller_statement::extra::ConfigVersions;

use super::attempt_id::AttemptId;

/// A receiver of an engine client's observations.
pub trait EngineObserver {
    /// Returns the time, by the clock of the core.
    fn now(&self) -> Micros;

    /// Reports a received page of rows.
    fn page_received(&self, id: AttemptId, page: ResultPage);

    /// Reports that the engine has rejected the statement as invalid.
    fn statement_failed(&self, id: AttemptId, error: EngineError);

    /// Reports an attempt that ended without a result: failed, cancelled or not sent.
    fn attempt_ended(&self, id: AttemptId, outcome: AttemptOutcome);

    /// Reports an attempt that was killed at its engine, with the engine's proof of what became of its effects.
    fn attempt_killed(&self, id: AttemptId, proof: Proof, reason: String);

    /// Reports the status that the engine gives of an attempt.
    fn status_reported(&self, id: AttemptId, report: AttemptReport);

    /// Reports the progress that the engine gives of an attempt.
    fn progress_reported(&self, id: AttemptId, progress: Progress);

    /// Reports a completed health check, with the load report of the engine if its response has one.
    fn health_check_completed(&self, engine: EngineId, report: Option<LoadReport>);

    /// Authorizes an attempt right before its first byte is written. Returns the configuration versions that allow
    /// it, if there are any.
    ///
    /// # Errors
    ///
    /// Returns an error if the attempt must not be sent.
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
    /// The status. The class of a blocking statement in it is not resolved yet.
    pub progress: ProgressReport,
    /// The name of the class of the statement that blocks this one.
    pub blocking_class: Option<String>,
}

/// The reason why an attempt must not be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendRejected {
    /// The config lease has expired, no enforced version has the class, or the versions cannot be applied.
    #[error("the config lease does not allow the class")]
    NoLease,
    /// The engine has left the endpoint list.
    #[error("the engine is no longer listed")]
    NotListed,
    /// The class is now restricted to other kinds or zones.
    #[error("the fleet configuration has changed: the class may no longer run on this engine")]
    ClassRestricted,
    /// The configured endpoint list marks the engine as draining.
    #[error("the configured endpoint list has the engine as draining")]
    Draining,
    /// The idempotency key may have expired at the engine.
    #[error("the idempotency key may have expired at the engine")]
    KeyExpired,
}
