//! Endpoint selection: determines the engines to which a request may be sent, and selects one of them.

use crate::capacity::engine_capacity;
use crate::class_statistics::Classes;
use crate::congestion_window::CongestionWindow;
use crate::engine::{Engine, Engines};
use crate::hold::Holds;
use crate::idempotency::is_within_deduplication_scope;
use crate::interface::{EngineId, Idempotency, Micros, Settings};
use crate::rendezvous::salted_hash;
use crate::request::Request;
use crate::slow_start::{is_warming_up, is_within_slow_start_budget};
use crate::units::Load;

/// Load at which an engine is full.
const FULL_LOAD: Load = Load(1.0);
/// Margin above the overload threshold beyond which an engine gets no requests.
const OVERLOAD_MARGIN: Load = Load(0.25);
/// On average, one of this many engines is a home engine of a table group.
const ENGINES_PER_HOME: u64 = 4;
/// Load that is added to an engine in the comparison if the request is misplaced there.
const MISPLACED_LOAD_PENALTY: Load = Load(0.25);
/// Loads are compared in steps of 1 / `LOAD_STEPS` so that noise does not make all gateways select the same engine.
const LOAD_STEPS: f64 = 8.0;

/// Input of endpoint selection.
#[derive(Clone, Copy)]
pub(crate) struct EndpointSelection<'a> {
    pub(crate) settings: &'a Settings,
    pub(crate) classes: Classes<'a>,
    pub(crate) engines: &'a Engines,
    pub(crate) congestion_window: &'a CongestionWindow,
    /// Load of all engines together, as a moving average.
    pub(crate) load_level: Load,
    pub(crate) holds: &'a Holds,
    pub(crate) now: Micros,
}

impl EndpointSelection<'_> {
    /// Returns the eligible engine with the fewest queries of this gateway, preferring engines that the request has not
    /// tried. Ties are broken by load and then at random by `salt`.
    ///
    /// An engine that is warming up is treated as one without queries, because its slow-start budget expires soon.
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
                salted_hash(salt, **id),
            )
        });
        best.map(|(id, _)| *id)
    }

    /// Returns whether a request may be sent to an engine. Every send passes this check of readiness, placement,
    /// outlier ejection, concurrency limit, congestion window, other attempts at the engine, slow start and holds.
    fn is_eligible(&self, request: &Request, id: EngineId, engine: &Engine) -> bool {
        let class = self.classes.config(request.class);
        engine.is_up()
            && self.is_placement_allowed(request, engine)
            && engine
                .health
                .may_receive(class.idempotency == Idempotency::Idempotent, self.now)
            && self.is_within_concurrency_limit(request, engine)
            && self.is_within_congestion_window(request, engine)
            && !request.attempts.is_in_flight_at(id)
            && self.is_within_slow_start(request, id, engine)
            && self.holds.has_slot(request.properties, id)
    }

    /// Returns whether the engine is in a zone and of a machine kind that the class may use. A request with an
    /// idempotency key that may have run is sent only to engines that recognise the duplicate.
    fn is_placement_allowed(&self, request: &Request, engine: &Engine) -> bool {
        let class = self.classes.config(request.class);
        let is_within = |allowed: &Option<Vec<usize>>, value: Option<usize>| {
            allowed
                .as_ref()
                .is_none_or(|allowed| value.is_some_and(|value| allowed.contains(&value)))
        };
        is_within(&class.zones, engine.entry.zone)
            && is_within(&class.kinds, engine.entry.kind)
            && is_within_deduplication_scope(
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

    /// Returns whether the request fits into the congestion window. While the window is enforced, overloaded engines
    /// get no requests either.
    fn is_within_congestion_window(&self, request: &Request, engine: &Engine) -> bool {
        if !self.congestion_window.is_enforced() {
            return true;
        }
        self.congestion_window
            .fits(self.classes, request.class, request.is_late(), self.now)
            && self.decayed_load(engine) <= self.overload_threshold() + OVERLOAD_MARGIN
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

    /// Returns the load of an engine for breaking ties, in steps. Ties are common with many gateways, because most
    /// counts of own queries are 0. Each table group has home engines, which are the same for all gateways. Its queries
    /// prefer them, so that the group stays in their caches, and load statements, which lock the group, avoid them.
    fn tie_break_load(&self, request: &Request, id: EngineId, engine: &Engine) -> u64 {
        if self.is_warming_up(engine) {
            return 0;
        }
        let is_misplaced = request
            .properties
            .group
            .is_some_and(|group| self.is_misplaced(request, group, id));
        let penalty = if is_misplaced {
            MISPLACED_LOAD_PENALTY
        } else {
            Load::ZERO
        };
        ((self.decayed_load(engine) + penalty) * LOAD_STEPS).0 as u64
    }

    /// Returns whether the engine is not a home engine of the table group, or, for a load statement, whether it is one.
    /// Home engines exist only if a class locks its table group.
    fn is_misplaced(&self, request: &Request, group: u64, id: EngineId) -> bool {
        let is_home = salted_hash(group, id).is_multiple_of(ENGINES_PER_HOME);
        let locks_group = self.classes.config(request.class).locks_group;
        self.settings.classes.iter().any(|class| class.locks_group) && is_home == locks_group
    }

    /// Returns the overload threshold. While the congestion window is enforced, engines whose load exceeds it by more
    /// than [`OVERLOAD_MARGIN`] get no requests. The threshold is full load if a health check can show that an engine
    /// has capacity again. Otherwise it is at least the mean load of all engines, since a lower one could leave no
    /// engine eligible.
    fn overload_threshold(&self) -> Load {
        let is_recovery_observable =
            self.settings.limits.health_checks && self.settings.reports_in_flight;
        if is_recovery_observable {
            FULL_LOAD
        } else {
            self.load_level.max(FULL_LOAD)
        }
    }

    /// Returns the latest observed load of an engine, decayed towards the load of all engines but at most towards the
    /// overload threshold, so that an overloaded engine becomes eligible again.
    fn decayed_load(&self, engine: &Engine) -> Load {
        let baseline = self.load_level.min(self.overload_threshold());
        engine.load.decayed(baseline, self.now)
    }
}
