//! Dispatch: each free slot goes to the head of a drawn class, and the request to an eligible engine.

use rand_core::RngCore;

use crate::endpoints::pair_hash;
use crate::interface::{Action, DeduplicationScope, EngineId, Idempotency, Micros, Readiness, RequestId};
use crate::state::{Controller, Engine, HoldState, Request};

/// Time in which the load that an engine showed decays. If it decays too fast, a query from each of many
/// gateways keeps an engine short of memory crawling.
const LOAD_DECAY: Micros = 10_000_000;
const OVERLOAD_MARGIN: f64 = 0.25; // An engine that shows so much more than the threshold gets nothing.
const HOME_ENGINE_RATIO: u64 = 4; // One engine in so many is a home of a table group,
const HOME_LOAD_BONUS: f64 = 0.25; // and being there makes up for so much load.
const LOAD_STEPS: f64 = 8.0; // Loads are compared in eighths, so that noise does not herd gateways.
const LATE_WINDOW_RATIO: f64 = 0.5; // Part of the congestion window that late requests may fill.

impl Controller {
    /// Gives every free slot to a class by draw. Late requests come after all others.
    pub(crate) fn dispatch(&mut self, out: &mut Vec<Action>) {
        for late in [false, true] {
            let mut open: Vec<usize> = (0..self.classes.len()).collect();
            loop {
                open.retain(|class| self.first_queued(*class, late).is_some());
                if open.is_empty() {
                    break;
                }
                let class = self.draw_class(&open);
                let Some(id) = self.first_queued(class, late) else { break };
                if !self.try_dispatch(id, out) {
                    open.retain(|other| *other != class); // No engine is eligible: it yields to the others.
                }
            }
        }
    }

    /// Sends, answers or blocks the head of a queue; false where it stays, as no engine is eligible.
    fn try_dispatch(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let request = &self.requests[&id];
        if (request.attempts > 0 && !self.may_retry(request)) || self.would_end_unknown(request) {
            self.abandon(id, out);
            return true;
        }
        if let Some(engine) = self.select_engine(id) {
            self.send(id, engine, out);
            return true;
        }
        let held = self.requests.get(&id).is_some_and(|request| self.holds_on(request).next().is_some());
        if held {
            // Left in its queue, a held request without a slot would keep its whole class waiting behind it.
            self.dequeue(id);
            self.blocked.insert(id);
        }
        held
    }

    /// A request that must not run twice, sent with less than a usual run to go, would end as one that may
    /// have run, and somebody has to look it up. Rejected before it can have run, it can be tried again.
    fn would_end_unknown(&self, request: &Request) -> bool {
        let class = &self.classes[request.class];
        let left = request.valid_until.saturating_sub(self.now) as f64;
        let idempotency = self.settings.classes[request.class].idempotency;
        idempotency == Idempotency::NotIdempotent && class.samples > 0.0 && left < class.mean_run
    }

    /// The eligible engine with the fewest own queries, untried ones first; ties by load, then at random.
    fn select_engine(&mut self, id: RequestId) -> Option<EngineId> {
        let (salt, request) = (self.rng.next_u64(), &self.requests[&id]);
        let eligible = self.engines.iter().filter(|(id, engine)| self.is_eligible(request, **id, engine));
        let best = eligible.min_by_key(|(id, engine)| {
            // An engine that is warming up goes first: its budget is open for a short time only.
            let own = if self.is_warming_up(engine) { 0 } else { engine.in_flight.len() };
            let load = self.tie_break_load(request, **id, engine);
            (request.tried.contains(id), own, load, pair_hash(salt, **id))
        });
        best.map(|(id, _)| *id)
    }

    /// Load of an engine for ties: with many gateways most counts of own queries are 0. Each table group has
    /// home engines, the same at all gateways (rendezvous hashing): its queries gather there, so that it
    /// stays in their caches, and loads, which lock it, keep away.
    fn tie_break_load(&self, request: &Request, id: EngineId, engine: &Engine) -> u64 {
        if self.is_warming_up(engine) {
            return 0;
        }
        let locks_group = self.settings.classes[request.class].locks_group;
        let is_home = |group| pair_hash(group, id).is_multiple_of(HOME_ENGINE_RATIO);
        let misplaced = |group| self.any_locks_group && is_home(group) == locks_group;
        let penalty = if request.group.is_some_and(misplaced) { HOME_LOAD_BONUS } else { 0.0 };
        ((self.decayed_load(engine) + penalty) * LOAD_STEPS) as u64
    }

    /// The load over which an engine gets nothing: full, where a health check can tell that it has capacity
    /// again; otherwise no less than the mean of all engines, or none would be eligible.
    fn admission_threshold(&self) -> f64 {
        let recovers = self.settings.limits.health_checks && self.settings.reports_in_flight;
        if recovers { 1.0 } else { self.load_level.max(1.0) }
    }

    /// The load that an engine showed, decaying towards that of all.
    fn decayed_load(&self, engine: &Engine) -> f64 {
        let age = self.now.saturating_sub(engine.load_at) as f64 / LOAD_DECAY as f64;
        let usual = self.load_level.min(self.admission_threshold());
        usual + (engine.load - usual) * (-age).exp()
    }

    /// Whether a request may be sent to an engine: every send has passed here.
    fn is_eligible(&self, request: &Request, id: EngineId, engine: &Engine) -> bool {
        let class = &self.settings.classes[request.class];
        let max_load = || self.admission_threshold() + OVERLOAD_MARGIN;
        let healthy = |until| until <= self.now && class.idempotency == Idempotency::Idempotent;
        let has_slot = |state: &HoldState| {
            state.in_flight < state.hold.max_in_flight && !state.hold.excluded_engines.contains(&id)
        };
        engine.entry.readiness == Readiness::Up
            && self.is_placement_allowed(request, engine)
            && engine.ejected_until.is_none_or(healthy)
            && engine.own_threads(&self.settings.classes) + class.threads <= self.concurrency_limit(engine)
            && (!self.window_enforced || self.fits_congestion_window(request))
            && (!self.window_enforced || self.decayed_load(engine) <= max_load())
            && !request.in_flight.iter().any(|(_, busy)| *busy == id)
            && self.fits_slow_start(request.class, id, engine)
            && self.holds_on(request).all(has_slot)
    }

    /// Zones and kinds of the class. A request with an idempotency key that may have run goes only to engines
    /// that recognise its repeat: elsewhere it would run twice.
    fn is_placement_allowed(&self, request: &Request, engine: &Engine) -> bool {
        let class = &self.settings.classes[request.class];
        let within = |allowed: &Option<Vec<usize>>, value: Option<usize>| {
            allowed.as_ref().is_none_or(|set| value.is_some_and(|v| set.contains(&v)))
        };
        let deduplicated = request.possible_run.is_none_or(|run| match class.idempotency {
            Idempotency::WithKey { scope: DeduplicationScope::Zone, .. } => engine.entry.zone == run.zone,
            Idempotency::WithKey { scope: DeduplicationScope::Cell, .. } => engine.entry.cell == run.cell,
            _ => true,
        });
        within(&class.zones, engine.entry.zone) && within(&class.kinds, engine.entry.kind) && deduplicated
    }

    /// At least one query, but after the pause of its class; late requests fill only a part of the window.
    fn fits_congestion_window(&self, request: &Request) -> bool {
        let (ahead, late) = (self.threads_of_equal_or_higher_value(request.class), request.is_late());
        let limit = if late { LATE_WINDOW_RATIO } else { 1.0 } * self.congestion_window;
        let threads = self.settings.classes[request.class].threads;
        let fits = (ahead == 0.0 && !late) || ahead + threads <= limit;
        fits && self.now >= self.classes[request.class].paused_until
    }

    /// Sends a request; nothing else sends.
    fn send(&mut self, id: RequestId, engine_id: EngineId, out: &mut Vec<Action>) {
        let request = &self.requests[&id];
        let (priority, safe_until) = (self.priority(request), self.safe_until(request));
        self.dequeue(id);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(engine) = self.engines.get_mut(&engine_id) else { return };
        let class = &mut self.classes[request.class];
        if request.attempts == 0 {
            class.waits.add(self.now - request.arrived_at);
        } else {
            self.retries.push_back(self.now);
        }
        class.threads_in_flight += self.settings.classes[request.class].threads;
        engine.add_attempt(id, request, class.mean_work, self.now);
        engine.extend_ejection(self.now);
        request.add_attempt(engine_id);
        for target in request.hold_targets() {
            self.holds.get_mut(&target).into_iter().for_each(|h| h.in_flight += 1);
        }
        let grant = request.grant_mb;
        if (self.settings.limits.priorities && priority != 1) || grant > 0.0 {
            out.push(Action::SetOptions { request: id, priority, memory_grant_mb: grant });
        }
        let send_by = Some(safe_until).filter(|by| *by < Micros::MAX);
        out.push(Action::Send { request: id, engine: engine_id, send_by });
        self.accrue_health_check();
    }

    /// The class with the most priority weight for its work runs ahead inside engines too; late and
    /// low-priority requests run behind.
    fn priority(&self, request: &Request) -> u8 {
        let own = self.weight_per_work(request.class);
        let best = (0..self.classes.len()).all(|class| self.weight_per_work(class) <= own);
        let behind = request.is_late() || self.holds_on(request).any(|h| h.hold.low_priority);
        if behind { 0 } else { 1 + 2 * u8::from(best) }
    }
}
