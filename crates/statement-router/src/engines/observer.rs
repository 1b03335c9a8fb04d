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

    /// Called when a page of rows has been received.
    fn page_received(&self, id: AttemptId, page: ResultPage);

    /// Called when the engine has rejected the statement as invalid.
    fn statement_failed(&self, id: AttemptId, error: EngineError);

    /// Called when an attempt has ended without a result: failed, cancelled or not sent.
    fn attempt_ended(&self, id: AttemptId, outcome: AttemptOutcome);

    /// Called when an attempt was killed at its engine, with the engine's proof of what became of its effects.
    fn attempt_killed(&self, id: AttemptId, proof: Proof, reason: String);

    /// Called when the engine has reported the status of an attempt.
    fn status_reported(&self, id: AttemptId, report: AttemptReport);

    /// Called when the engine has reported the progress of an attempt.
    fn progress_reported(&self, id: AttemptId, progress: Progress);

    /// Called when a health check has completed, with the load report of the engine if its response has one.
    fn health_check_completed(&self, engine: EngineId, report: Option<LoadReport>);

    /// Authorizes an attempt; called right before its first byte is written. Returns the configuration versions that
    /// allow it, if there are any.
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
    pub status: ProgressReport,
    /// The name of the class of the statement that blocks this one.
    pub blocking_class: Option<String>,
}

/// The reason why an attempt must not be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendRejected {
    /// No enforced version has the class, the class must not run without a valid config lease, or the versions cannot
    /// be applied.
    #[error("the fleet configuration does not allow the class to run now")]
    ClassNotAllowed,
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
