//! Health of an engine: its failure rate, the time of its latest activity, and its ejection.

use crate::interface::Micros;

/// Weight of one outcome in the failure rate.
const FAILURE_WEIGHT: f64 = 0.2;
/// Failure rate from which an engine is ejected.
const EJECTION_RATE: f64 = 0.35;
/// Duration of an ejection, and interval between trial requests after it.
const EJECTION_TIME: Micros = 4_000_000;

/// Health of an engine as observed from its responses.
pub(crate) struct EngineHealth {
    /// Exponentially weighted moving average; 1: all attempts fail.
    failure_rate: f64,
    /// Time of the latest success, rejection or progress event, or when an attempt was sent to the idle engine.
    last_active_at: Micros,
    /// End of the ejection as an outlier. After it, the engine gets one trial request at a time.
    ejected_until: Option<Micros>,
}

impl EngineHealth {
    pub(crate) fn new(now: Micros) -> Self {
        EngineHealth {
            failure_rate: 0.0,
            last_active_at: now,
            ejected_until: None,
        }
    }

    /// Records a rejection, a progress event, or that the engine was idle until now.
    pub(crate) fn record_activity(&mut self, now: Micros) {
        self.last_active_at = now;
    }

    pub(crate) fn last_active_at(&self) -> Micros {
        self.last_active_at
    }

    /// Excludes `duration` from the engine's silence.
    pub(crate) fn exclude_from_silence(&mut self, duration: Micros, now: Micros) {
        self.last_active_at = now.min(self.last_active_at + duration);
    }

    /// Counts a success. The ejection ends once the failure rate is low enough.
    pub(crate) fn record_success(&mut self, now: Micros) {
        self.last_active_at = now;
        self.failure_rate *= 1.0 - FAILURE_WEIGHT;
        self.end_ejection_if_healthy();
    }

    /// Counts a failure. Returns whether the engine should be ejected.
    pub(crate) fn record_failure(&mut self) -> bool {
        self.failure_rate += (1.0 - self.failure_rate) * FAILURE_WEIGHT;
        self.failure_rate >= EJECTION_RATE
    }

    /// Revokes a failure that the engine did not cause.
    pub(crate) fn revoke_failure(&mut self) {
        self.failure_rate =
            ((self.failure_rate - FAILURE_WEIGHT) / (1.0 - FAILURE_WEIGHT)).max(0.0);
        self.end_ejection_if_healthy();
    }

    fn end_ejection_if_healthy(&mut self) {
        self.ejected_until = self
            .ejected_until
            .filter(|_| self.failure_rate >= EJECTION_RATE);
    }

    pub(crate) fn eject(&mut self, now: Micros) {
        self.ejected_until = Some(now + EJECTION_TIME);
    }

    /// Delays the next trial request by the ejection time when a trial request is sent to an ejected engine.
    pub(crate) fn extend_ejection(&mut self, now: Micros) {
        self.ejected_until = self.ejected_until.map(|_| now + EJECTION_TIME);
    }

    pub(crate) fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Returns whether the engine may be sent a request. After the ejection time, an ejected engine gets a trial
    /// request, which must be idempotent.
    pub(crate) fn may_receive(&self, is_idempotent: bool, now: Micros) -> bool {
        self.ejected_until
            .is_none_or(|until| until <= now && is_idempotent)
    }
}
