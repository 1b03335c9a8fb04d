//! Health of one engine: its failure rate, when something last came from it, and whether it is ejected.

use crate::interface::Micros;

/// Weight of an answer in the failure rate.
const FAILURE_WEIGHT: f64 = 0.2;
/// Failure rate from which an engine is ejected.
const EJECTION_RATE: f64 = 0.35;
/// Time of an ejection, and from one trial to the next.
const EJECTION_TIME: Micros = 4_000_000;

/// What an engine's answers show of its health.
pub(crate) struct EngineHealth {
    /// Exponentially weighted moving average; 1: all fail.
    failure_rate: f64,
    last_response_at: Micros,
    /// Ejected as an outlier until then; after that one trial at a time.
    ejected_until: Option<Micros>,
}

impl EngineHealth {
    pub(crate) fn new(now: Micros) -> Self {
        EngineHealth {
            failure_rate: 0.0,
            last_response_at: now,
            ejected_until: None,
        }
    }

    /// A rejection or a progress event has come from the engine, or it has no attempt in flight.
    pub(crate) fn record_response(&mut self, now: Micros) {
        self.last_response_at = now;
    }

    pub(crate) fn last_response_at(&self) -> Micros {
        self.last_response_at
    }

    /// Counts `time` as if the engine had not been listened to.
    pub(crate) fn exclude_from_silence(&mut self, time: Micros, now: Micros) {
        self.last_response_at = now.min(self.last_response_at + time);
    }

    /// Counts a success; an ejected engine returns once its failure rate is low enough.
    pub(crate) fn record_success(&mut self, now: Micros) {
        self.last_response_at = now;
        self.failure_rate *= 1.0 - FAILURE_WEIGHT;
        self.end_ejection_if_healthy();
    }

    /// Counts a failure. Returns whether the engine is to be ejected.
    pub(crate) fn record_failure(&mut self) -> bool {
        self.failure_rate += (1.0 - self.failure_rate) * FAILURE_WEIGHT;
        self.failure_rate >= EJECTION_RATE
    }

    /// Takes back a failure that was not the engine's.
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

    /// A send to an ejected engine is a trial; the next one comes after a further ejection time.
    pub(crate) fn extend_ejection(&mut self, now: Micros) {
        self.ejected_until = self.ejected_until.map(|_| now + EJECTION_TIME);
    }

    pub(crate) fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Whether requests may be sent there. An ejected engine gets a trial after its time, by a request that may be
    /// repeated anywhere.
    pub(crate) fn admits(&self, is_idempotent: bool, now: Micros) -> bool {
        self.ejected_until
            .is_none_or(|until| until <= now && is_idempotent)
    }
}
