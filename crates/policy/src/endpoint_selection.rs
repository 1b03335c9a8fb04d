//! Endpoint selection: which engines a request may be sent to, and which of them it is sent to.

use crate::capacity::engine_capacity;
use crate::class_statistics::Classes;
use crate::congestion_window::CongestionWindow;
use crate::engine::{Engine, Engines};
use crate::hold::Holds;
use crate::idempotency::deduplicates_retry;
use crate::interface::{EngineId, Idempotency, Micros, Settings};
use crate::rendezvous::rendezvous_hash;
use crate::request::Request;
use crate::slow_start::{is_warming_up, is_within_slow_start_budget};
use crate::units::Load;

/// The load at which an engine is full.
const FULL_LOAD: Load = Load(1.0);
/// An engine that shows so much more load than the admission threshold gets nothing.
const OVERLOAD_MARGIN: Load = Load(0.25);
/// One engine in so many is a home of a table group ...
const ENGINES_PER_HOME: u64 = 4;
/// ... and an engine at which a request is misplaced counts as showing so much more load.
const MISPLACED_LOAD_PENALTY: Load = Load(0.25);
/// Loads are compared in steps of 1 / `LOAD_STEPS`, so that noise does not send all gateways to the same engine.
const LOAD_STEPS: f64 = 8.0;

/// What endpoint selection reads.
#[derive(Clone, Copy)]
pub(crate) struct EndpointSelection<'a> {
    pub(crate) settings: &'a Settings,
    pub(crate) classes: Classes<'a>,
    pub(crate) engines: &'a Engines,
    pub(crate) congestion_window: &'a CongestionWindow,
    /// Load of all engines together.
    pub(crate) load_level: Load,
    pub(crate) holds: &'a Holds,
    pub(crate) now: Micros,
}

impl EndpointSelection<'_> {
    /// The eligible engine with the fewest own queries, untried ones first; ties by load, then at random by `salt`.
    ///
    /// An engine that is warming up counts as one without own queries: what it may be sent is open for a short time only.
    pub(crate) fn select(&self, request: &Request, salt: u64) -> Option<EngineId> {
        let eligible = self
            .engines
            .iter()
            .filter(|(id, engine)| self.is_eligible(request, **id, engine));
        let best = eligible.min_by_key(|(id, engine)| {
            let own_queries = if self.is_warming_up(engine) {
                0
            } else {
                engine.in_flight().len()
            };
            let load = self.tie_break_load(request, **id, engine);
            (
                request.attempts.has_tried(**id),
                own_queries,
                load,
                rendezvous_hash(salt, **id),
            )
        });
        best.map(|(id, _)| *id)
    }

    /// Whether a request may be sent to an engine; every send has passed here. In turn: endpoint list, placement, outlier
    /// ejection, concurrency limit, congestion window, one attempt at an engine, slow start, holds.
    fn is_eligible(&self, request: &Request, id: EngineId, engine: &Engine) -> bool {
        let class = self.classes.config(request.class);
        engine.is_up()
            && self.is_placement_allowed(request, engine)
            && engine
                .health
                .admits(class.idempotency == Idempotency::Idempotent, self.now)
            && self.is_within_concurrency_limit(request, engine)
            && self.is_within_congestion_window(request, engine)
            && !request.attempts.is_in_flight_at(id)
            && self.is_within_slow_start(request, id, engine)
            && self.holds.has_slot(request.hold_targets, id)
    }

    /// Zones and machine kinds of the class. A request with an idempotency key that may have run goes only to engines that
    /// recognize its repeat.
    fn is_placement_allowed(&self, request: &Request, engine: &Engine) -> bool {
        let class = self.classes.config(request.class);
        let is_within = |allowed: &Option<Vec<usize>>, value: Option<usize>| {
            allowed
                .as_ref()
                .is_none_or(|allowed| value.is_some_and(|value| allowed.contains(&value)))
        };
        is_within(&class.zones, engine.entry.zone)
            && is_within(&class.kinds, engine.entry.kind)
            && deduplicates_retry(
                class.idempotency,
                request.attempts.possible_run(),
                &engine.entry,
            )
    }

    fn is_within_concurrency_limit(&self, request: &Request, engine: &Engine) -> bool {
        let capacity = engine_capacity(self.settings, engine.entry.kind);
        let threads = self.classes.config(request.class).threads();
        engine.own_threads(&self.settings.classes) + threads <= engine.limit.threads(capacity)
    }

    /// Where the congestion window binds, an engine that shows overload gets nothing either.
    fn is_within_congestion_window(&self, request: &Request, engine: &Engine) -> bool {
        if !self.congestion_window.is_enforced() {
            return true;
        }
        self.congestion_window
            .fits(self.classes, request.class, request.is_late(), self.now)
            && self.decayed_load(engine) <= self.admission_threshold() + OVERLOAD_MARGIN
    }

    fn is_within_slow_start(&self, request: &Request, id: EngineId, engine: &Engine) -> bool {
        if !self.is_warming_up(engine) {
            return true;
        }
        let work = self.classes.statistics(request.class).mean_work();
        let heaviest = self.classes.heaviest_mean_work();
        is_within_slow_start_budget(
            id,
            &engine.entry,
            &engine.recent_sends,
            work,
            heaviest,
            self.settings,
            self.now,
        )
    }

    fn is_warming_up(&self, engine: &Engine) -> bool {
        is_warming_up(&engine.entry, &self.settings.rules, self.now)
    }

    /// Load of an engine for ties, in steps: with many gateways most counts of own queries are 0. Each table group has home
    /// engines, the same at all gateways: its queries gather there, so that it stays in their caches, and load statements,
    /// which lock it, keep away.
    fn tie_break_load(&self, request: &Request, id: EngineId, engine: &Engine) -> u64 {
        if self.is_warming_up(engine) {
            return 0;
        }
        let is_misplaced = request
            .hold_targets
            .group
            .is_some_and(|group| self.is_misplaced(request, group, id));
        let penalty = if is_misplaced {
            MISPLACED_LOAD_PENALTY
        } else {
            Load::ZERO
        };
        ((self.decayed_load(engine) + penalty) * LOAD_STEPS).0 as u64
    }

    /// Whether a query is away from the home engines of its table group, or a load statement is at one of them. Homes exist only
    /// where some class locks its group.
    fn is_misplaced(&self, request: &Request, group: u64, id: EngineId) -> bool {
        let is_home = rendezvous_hash(group, id).is_multiple_of(ENGINES_PER_HOME);
        let locks_group = self.classes.config(request.class).locks_group;
        self.settings.classes.iter().any(|class| class.locks_group) && is_home == locks_group
    }

    /// The admission threshold: where the congestion window is enforced, an engine that shows more than this and
    /// [`OVERLOAD_MARGIN`] gets nothing. Full load, where a health check can tell that it has capacity again;
    /// otherwise no less than the mean of all engines, or none would be eligible.
    fn admission_threshold(&self) -> Load {
        let recovery_is_seen =
            self.settings.limits.health_checks && self.settings.reports_in_flight;
        if recovery_is_seen {
            FULL_LOAD
        } else {
            self.load_level.max(FULL_LOAD)
        }
    }

    /// The load that an engine showed, decaying towards that of all.
    fn decayed_load(&self, engine: &Engine) -> Load {
        let usual = self.load_level.min(self.admission_threshold());
        engine.load.decayed(usual, self.now)
    }
}
