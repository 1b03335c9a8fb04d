//! Endpoint state: the endpoint list, slow start, outlier ejection, health checks.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::deadlines::HOUSEKEEPING_INTERVAL;
use crate::interface::{
    Action, AttemptStatus, EndpointEntry, EngineId, ListScope, Micros, Outcome, Readiness, Settings,
};
use crate::state::{Controller, Engine};

const HEALTH_CHECK_INTERVAL: Micros = 10 * HOUSEKEEPING_INTERVAL; // While requests wait.
const WORTHWHILE_CHECK_COST: f64 = 0.01; // At this cost a check comes with each send; dearer ones are rarer.
const SLOW_START_SAFETY: f64 = 0.5; // Used part of what a warming engine is sure to bear: chance, slow cores.
const FAILURE_WEIGHT: f64 = 0.2; // Failure rate of an engine: weight of an answer,
const EJECTION_RATE: f64 = 0.35; // and the rate at which it is ejected.
const SILENT_RUNS: f64 = 4.0; // Silent: in flight for this multiple of the class's mean run ...
const SILENT_FOR: Micros = 1_000_000; // ... and nothing at all has come back for this long.
const OWN_STALL: Micros = 10 * HOUSEKEEPING_INTERVAL; // A timer this late tells that the event loop stalled.
const EJECTION_TIME: Micros = 4_000_000; // Time of ejection, and from one trial to the next.
const MAX_EJECTED_RATIO: f64 = 0.5; // At most this part is ejected: a fault of more engines is shared by all.
const SUBSCRIBE_BACKOFF: Micros = 500_000; // Backoff after a failed call to discovery.

/// Part of the sends that bring a health check.
pub(crate) fn health_check_ratio(settings: &Settings) -> f64 {
    let cost = settings.health_check_cost.max(WORTHWHILE_CHECK_COST);
    (WORTHWHILE_CHECK_COST / cost).min(1.0)
}

/// A pseudo-random number for a pair that is the same at all gateways.
#[inline]
pub(crate) fn pair_hash(group: u64, engine: EngineId) -> u64 {
    Pcg64Mcg::seed_from_u64(group << 32 ^ u64::from(engine.0)).next_u64()
}

impl Engine {
    /// Counts a success; an ejected engine returns once its failure rate is low enough.
    fn record_success(&mut self, now: Micros) {
        self.last_response_at = now;
        self.failure_rate *= 1.0 - FAILURE_WEIGHT;
        self.ejected_until = self.ejected_until.filter(|_| self.failure_rate >= EJECTION_RATE);
    }

    /// Takes back a failure that was not the engine's.
    fn revoke_failure(&mut self) {
        self.failure_rate = ((self.failure_rate - FAILURE_WEIGHT) / (1.0 - FAILURE_WEIGHT)).max(0.0);
        self.ejected_until = self.ejected_until.filter(|_| self.failure_rate >= EJECTION_RATE);
    }

    /// A send to an ejected engine is a trial; the next one comes after a further ejection time.
    pub(crate) fn extend_ejection(&mut self, now: Micros) {
        self.ejected_until = self.ejected_until.map(|_| now + EJECTION_TIME);
    }
}

impl Controller {
    pub(crate) fn on_endpoint_list(&mut self, scope: ListScope, entries: &[EndpointEntry]) {
        if scope == ListScope::Failed {
            let backoff = SUBSCRIBE_BACKOFF.min(self.settings.rules.max_poll_interval / 2);
            self.next_subscribe = Some(self.now + backoff);
            return;
        }
        if scope != ListScope::Changes {
            // An engine missing from a complete list is gone: sending on would break the rule on draining.
            for engine in self.engines.values_mut() {
                engine.entry.readiness = Readiness::Removed;
            }
        }
        for entry in entries {
            self.update_endpoint(entry);
        }
        self.engines.retain(|_, e| e.entry.readiness != Readiness::Removed || !e.in_flight.is_empty());
        self.open_congestion_window();
    }

    fn update_endpoint(&mut self, entry: &EndpointEntry) {
        let (share, now) = (self.fair_share(entry.kind), self.now);
        let engine = self.engines.entry(entry.engine).or_insert_with(|| Engine::new(entry, share, now));
        if entry.ready_at > engine.entry.ready_at {
            // A new process: it warms up again, and the health of the former one says nothing of it.
            let in_flight = std::mem::take(&mut engine.in_flight);
            let recent_sends = std::mem::take(&mut engine.recent_sends);
            *engine = Engine { in_flight, recent_sends, ..Engine::new(entry, share, now) };
        }
        engine.entry = entry.clone();
    }

    pub(crate) fn is_warming_up(&self, engine: &Engine) -> bool {
        let (ready_at, window) = (engine.entry.ready_at, self.settings.rules.slow_start_window);
        ready_at > 0 && self.now < ready_at.saturating_add(window)
    }

    /// Slow start: all gateways together can overload an engine that warms up. Each keeps to its equal part
    /// of what the engine is sure to bear from its start on, in every overload window, until it is surely
    /// warm. Where that part is less than the heaviest class's mean work, gateways take turns by their index,
    /// a window each and in another order at each engine, and use the parts of those that don't: otherwise
    /// that class would wait for warm engines.
    pub(crate) fn fits_slow_start(&self, class: usize, id: EngineId, engine: &Engine) -> bool {
        if !self.is_warming_up(engine) {
            return true;
        }
        let (rules, gateways) = (&self.settings.rules, f64::from(self.settings.gateways));
        let capacity = rules.start_capacity * self.cores(engine.entry.kind);
        let bearable = rules.overload_factor * capacity * rules.overload_window as f64;
        let since = self.now.saturating_sub(rules.overload_window);
        let sent: f64 = engine.recent_sends.iter().filter(|s| s.at >= since).map(|s| s.work).sum();
        let part = SLOW_START_SAFETY * bearable / gateways;
        let heaviest = self.classes.iter().map(|c| c.mean_work).fold(0.0, f64::max);
        let turns = (heaviest / part).ceil().clamp(1.0, gateways);
        let window = (self.now.saturating_sub(engine.entry.ready_at) / rules.overload_window.max(1))
            .wrapping_add(self.settings.index.into())
            .wrapping_add(pair_hash(0, id));
        window.is_multiple_of(turns as u64) && sent + self.classes[class].mean_work <= turns * part
    }

    /// Updates an engine's health after an outcome. A time-out alone is no fault of the engine.
    pub(crate) fn update_outlier_state(&mut self, outcome: &Outcome) {
        if outcome.status == AttemptStatus::ErrorResponse && self.is_fault_of_request(outcome) {
            return;
        }
        let Some(engine) = self.engines.get_mut(&outcome.engine) else { return };
        match outcome.status {
            AttemptStatus::Succeeded => engine.record_success(self.now),
            AttemptStatus::Rejected => {
                // A full engine ends attempts at once: with the fewest own queries it would attract all.
                // One query may go there again once nothing else is in flight.
                engine.last_response_at = self.now;
                let own_threads = engine.own_threads(&self.settings.classes);
                engine.concurrency_limit = own_threads.max(self.widest_class);
            }
            AttemptStatus::ErrorResponse | AttemptStatus::ConnectionReset | AttemptStatus::ConnectFailed => {
                engine.failure_rate += (1.0 - engine.failure_rate) * FAILURE_WEIGHT;
                if engine.failure_rate >= EJECTION_RATE {
                    self.eject(outcome.engine);
                }
            }
            AttemptStatus::TimedOut | AttemptStatus::Cancelled | AttemptStatus::NotSent => {}
        }
    }

    /// Whether an error response is the request's own fault, as another engine answered it with an error too.
    /// Such a request would have all engines ejected, one by one: the failures counted for it are revoked.
    fn is_fault_of_request(&mut self, outcome: &Outcome) -> bool {
        let Some(request) = self.requests.get_mut(&outcome.request) else { return false };
        request.fails_everywhere |= request.blamed_engines.iter().any(|other| *other != outcome.engine);
        if !request.fails_everywhere {
            request.blamed_engines.push(outcome.engine);
            return false;
        }
        for blamed in std::mem::take(&mut request.blamed_engines) {
            self.engines.get_mut(&blamed).into_iter().for_each(Engine::revoke_failure);
        }
        true
    }

    /// Outlier ejection, up to a part of the engines: a fault of most is shared, and ejection would not help.
    fn eject(&mut self, id: EngineId) {
        let listed = self.engines.values().filter(|e| e.entry.readiness == Readiness::Up).count() as f64;
        let ejected = self.engines.iter().filter(|(i, e)| **i != id && e.ejected_until.is_some()).count();
        if let Some(engine) = self.engines.get_mut(&id)
            && ejected as f64 + 1.0 <= (MAX_EJECTED_RATIO * listed).max(1.0)
        {
            engine.ejected_until = Some(self.now + EJECTION_TIME);
        }
    }

    /// Ejects engines that owe an answer for long and have sent nothing at all.
    pub(crate) fn eject_silent_engines(&mut self) {
        let (now, classes) = (self.now, &self.classes);
        let is_silent = |engine: &Engine| {
            engine.ejected_until.is_none()
                && now - engine.last_response_at > SILENT_FOR
                && engine.in_flight.iter().any(|attempt| {
                    (now - attempt.sent_at) as f64 > SILENT_RUNS * classes[attempt.class].mean_run
                })
        };
        let silent = self.engines.iter().filter(|(_, engine)| is_silent(engine)).map(|(id, _)| *id);
        silent.collect::<Vec<EngineId>>().into_iter().for_each(|id| self.eject(id));
    }

    /// A gateway whose event loop stalled finds every engine silent when it goes on. The time by which its
    /// own timer is late counts against no engine.
    pub(crate) fn compensate_for_own_stall(&mut self) {
        let late = self.now.saturating_sub(self.next_housekeeping);
        if self.next_housekeeping > 0 && late > OWN_STALL {
            for engine in self.engines.values_mut() {
                engine.last_response_at = self.now.min(engine.last_response_at + late);
            }
        }
    }

    /// Counts a send towards the next health check.
    pub(crate) fn accrue_health_check(&mut self) {
        self.health_check_credit += self.health_check_ratio;
        if self.health_check_credit >= 1.0 {
            (self.next_health_check, self.health_check_credit) = (0, self.health_check_credit - 1.0);
        }
    }

    /// Checks one random engine for each send and, while requests wait, now and then: only so does a gateway
    /// that takes all engines for full find out that they are not.
    pub(crate) fn request_health_check(&mut self, out: &mut Vec<Action>) {
        let wanted = self.next_health_check == 0 || self.any_queued();
        let possible = self.settings.limits.health_checks && self.settings.load_reports;
        if possible && wanted && self.now >= self.next_health_check {
            let interval = (HEALTH_CHECK_INTERVAL as f64 / self.health_check_ratio) as Micros;
            self.next_health_check = self.now.saturating_add(interval);
            let salt = self.rng.next_u64();
            let up = self.engines.iter().filter(|(_, engine)| engine.entry.readiness == Readiness::Up);
            let chosen = up.map(|(id, _)| *id).min_by_key(|id| pair_hash(salt, *id));
            out.extend(chosen.map(Action::HealthCheck));
        }
    }
}
