//! State of an engine: its endpoint list entry, its attempts in flight, and the state kept by each mechanism.

use std::collections::BTreeMap;

use crate::attempt::InFlightAttempt;
use crate::concurrency_limit::ConcurrencyLimit;
use crate::engine_health::EngineHealth;
use crate::interface::{Action, Class, EndpointEntry, EngineId, Micros, Readiness, RequestId};
use crate::load::EngineLoad;
use crate::slow_start::RecentSends;
use crate::units::{Threads, Work};

/// All listed engines, and removed ones with attempts in flight.
pub(crate) type Engines = BTreeMap<EngineId, Engine>;

/// State of an engine on this gateway.
pub(crate) struct Engine {
    pub(crate) entry: EndpointEntry,
    pub(crate) limit: ConcurrencyLimit,
    pub(crate) load: EngineLoad,
    pub(crate) health: EngineHealth,
    pub(crate) recent_sends: RecentSends,
    in_flight: Vec<InFlightAttempt>,
}

impl Engine {
    /// Creates the state of a newly listed engine.
    pub(crate) fn new(entry: &EndpointEntry, fair_share: Threads, now: Micros) -> Self {
        Engine {
            entry: entry.clone(),
            limit: ConcurrencyLimit::new(fair_share),
            load: EngineLoad::default(),
            health: EngineHealth::new(now),
            recent_sends: RecentSends::default(),
            in_flight: Vec::new(),
        }
    }

    /// Resets the state after the engine's process has restarted: the new process warms up again, and observations of
    /// the previous one don't apply to it. Attempts are kept because their outcomes are pending, and recent sends
    /// because they count against the slow-start budget.
    pub(crate) fn reset_for_new_process(
        &mut self,
        entry: &EndpointEntry,
        fair_share: Threads,
        now: Micros,
    ) {
        *self = Engine {
            in_flight: std::mem::take(&mut self.in_flight),
            recent_sends: std::mem::take(&mut self.recent_sends),
            ..Engine::new(entry, fair_share, now)
        };
    }

    pub(crate) fn is_up(&self) -> bool {
        self.entry.readiness == Readiness::Up
    }

    /// Returns the attempts in flight at the engine.
    pub(crate) fn in_flight(&self) -> &[InFlightAttempt] {
        &self.in_flight
    }

    pub(crate) fn in_flight_mut(&mut self) -> &mut [InFlightAttempt] {
        &mut self.in_flight
    }

    /// Returns the number of threads used by this gateway's attempts in flight.
    pub(crate) fn own_threads(&self, classes: &[Class]) -> Threads {
        self.in_flight
            .iter()
            .map(|attempt| classes[attempt.class].threads())
            .sum()
    }

    /// Adds an attempt that is sent now. `work` is the mean work of its class.
    pub(crate) fn add_attempt(&mut self, attempt: InFlightAttempt, work: Work) {
        let now = attempt.sent_at;
        if self.in_flight.is_empty() {
            // The silence of an idle engine does not count against it.
            self.health.record_activity(now);
        }
        self.health.extend_ejection(now);
        self.recent_sends.record(now, work);
        self.in_flight.push(attempt);
    }

    /// Removes an attempt after its outcome. Returns `None` if it is not in flight.
    pub(crate) fn remove_attempt(
        &mut self,
        request: RequestId,
        number: u32,
    ) -> Option<InFlightAttempt> {
        let position = self.position_of(request, number)?;
        Some(self.in_flight.swap_remove(position))
    }

    /// Returns the position of an attempt among those in flight.
    pub(crate) fn position_of(&self, request: RequestId, number: u32) -> Option<usize> {
        let is_match =
            |attempt: &InFlightAttempt| attempt.request == request && attempt.number == number;
        self.in_flight.iter().position(is_match)
    }
}

/// Cancels all attempts in flight that satisfy `predicate`.
pub(crate) fn cancel_attempts(
    engines: &mut Engines,
    out: &mut Vec<Action>,
    predicate: impl Fn(&InFlightAttempt) -> bool,
) {
    let attempts = engines
        .values_mut()
        .flat_map(|engine| &mut engine.in_flight);
    attempts
        .filter(|attempt| predicate(attempt))
        .for_each(|attempt| attempt.cancel(out));
}
