//! The controller: applies the events of a batch, runs periodic control, and then makes one dispatch pass.
//!
//! In the common case, a request waits in its class queue. A weighted random draw (lottery scheduling) gives each free
//! slot of an engine to a class, a PI loop tunes the odds of the draw, and the request is sent to the engine with the
//! fewest queries of this gateway. All other code guards against failures and enforces the service rules.
//!
//! The controller only orders the steps and passes its input to each mechanism. Each mechanism has a module of its own,
//! with its state and constants.

mod attempts;
mod dispatch;
mod housekeeping;
mod requests;

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::class_queue::ClassQueues;
use crate::class_statistics::{ClassStatistics, Classes};
use crate::concurrency_limit::ObjectiveBalance;
use crate::congestion_window::CongestionWindow;
use crate::endpoint_list::{Subscription, apply_update, update_fair_shares};
use crate::engine::Engines;
use crate::health_check::{HealthChecks, choose_engine};
use crate::hold::Holds;
use crate::interface::{
    Action, EndpointEntry, EngineId, Event, Hold, ListScope, LoadReport, Micros, Settings,
    SettingsError,
};
use crate::intervals::{CONTROL_PERIOD, HOUSEKEEPING_INTERVAL};
use crate::load::{LoadLevel, cap_observed_load};
use crate::memory_grant::GrantMargin;
use crate::ordering_key::OrderingKeys;
use crate::outlier_detection::exclude_event_loop_stall;
use crate::request::RequestTable;
use crate::retry::RetryUsage;
use crate::scheduler::Scheduler;

/// Makes the decisions of one gateway, without I/O and without a clock of its own.
pub struct Controller {
    settings: Settings,
    rng: Pcg64Mcg,
    now: Micros,
    next_control_period: Micros,
    /// Time of the next housekeeping; 0 until the first batch.
    next_housekeeping: Micros,
    requests: RequestTable,
    queues: ClassQueues,
    ordering_keys: OrderingKeys,
    holds: Holds,
    engines: Engines,
    /// Indexed by class number, like `grant_margins`.
    statistics: Vec<ClassStatistics>,
    grant_margins: Vec<GrantMargin>,
    scheduler: Scheduler,
    objective_balance: ObjectiveBalance,
    congestion_window: CongestionWindow,
    load_level: LoadLevel,
    retry_usage: RetryUsage,
    health_checks: HealthChecks,
    subscription: Subscription,
}

impl Controller {
    /// Creates a controller without engines. The same seed and events always result in the same actions.
    ///
    /// # Errors
    /// Returns an error if the settings have no classes or gateways, if a class has no latency objective, deadline or
    /// threads, or if a number in a class, the cores, the slow-start rules or the cost of health checks is negative or
    /// not finite.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let class_count = settings.classes.len();
        Ok(Controller {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: 0,
            next_control_period: 0,
            next_housekeeping: 0,
            requests: RequestTable::default(),
            queues: ClassQueues::new(class_count),
            ordering_keys: OrderingKeys::default(),
            holds: Holds::default(),
            engines: Engines::new(),
            statistics: settings.classes.iter().map(ClassStatistics::new).collect(),
            grant_margins: std::iter::repeat_with(GrantMargin::new)
                .take(class_count)
                .collect(),
            scheduler: Scheduler::new(class_count),
            objective_balance: ObjectiveBalance::default(),
            congestion_window: CongestionWindow::new(&settings),
            load_level: LoadLevel::new(),
            retry_usage: RetryUsage::default(),
            health_checks: HealthChecks::new(&settings),
            subscription: Subscription::new(settings.discovery),
            settings,
        })
    }

    /// Handles one batch: applies the events in order, then makes one dispatch pass. Appends the actions to `out`.
    pub fn handle(&mut self, now: Micros, events: &[Event], out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        exclude_event_loop_stall(&mut self.engines, self.next_housekeeping, self.now);
        for event in events {
            self.apply(event, out);
        }
        if self.now >= self.next_control_period {
            self.next_control_period = self.now + CONTROL_PERIOD;
            self.end_control_period();
        }
        if self.now >= self.next_housekeeping {
            self.next_housekeeping = self.now + HOUSEKEEPING_INTERVAL;
            self.run_housekeeping(out);
            out.push(Action::Timer(HOUSEKEEPING_INTERVAL));
        }
        self.dispatch(out);
        self.request_health_check(out);
    }

    /// Returns the number of attempts in flight at an engine, for hosts that compare it with their open connections.
    pub fn in_flight_at(&self, engine: EngineId) -> usize {
        self.engines
            .get(&engine)
            .map_or(0, |engine| engine.in_flight().len())
    }

    fn apply(&mut self, event: &Event, out: &mut Vec<Action>) {
        match event {
            Event::EndpointList(scope, entries) => self.on_endpoint_list(*scope, entries),
            Event::Arrival(arrival) => self.on_arrival(arrival, out),
            Event::Outcome(outcome) => self.on_outcome(outcome, out),
            Event::Progress {
                request,
                attempt,
                engine,
                progress,
            } => {
                self.on_progress(*request, *attempt, *engine, *progress, out);
            }
            Event::HealthChecked(engine, report) => self.on_health_check(*engine, *report),
            Event::ClientDisconnected(request) => self.finish(*request, None, out),
            Event::Abandoned(request) => self.abandon(*request, out),
            Event::Hold(hold) => self.on_hold(hold),
            Event::SettingsChanged(settings) => self.on_settings(settings),
            Event::Wakeup => {}
        }
    }

    /// Updates the odds of the classes and the concurrency limits. Limits grow only while requests wait and objectives
    /// are met.
    fn end_control_period(&mut self) {
        let (now, requests) = (self.now, &self.requests);
        let mean_waits = self.queues.take_mean_waits(|id| {
            requests
                .get(id)
                .map_or(0, |request| now - request.arrived_at)
        });
        let classes = Classes::new(&self.settings.classes, &self.statistics);
        self.scheduler
            .update_odds(&mean_waits, classes, self.settings.tick);
        let is_objective_met = self.objective_balance.end_period();
        let may_grow = is_objective_met && self.queues.is_any_queued();
        for engine in self.engines.values_mut() {
            engine.limit.end_period(may_grow);
        }
    }

    fn on_endpoint_list(&mut self, scope: ListScope, entries: &[EndpointEntry]) {
        if scope == ListScope::Failed {
            self.subscription
                .record_failure(self.settings.rules.max_poll_interval, self.now);
            return;
        }
        apply_update(&mut self.engines, scope, entries, &self.settings, self.now);
        let entries = self.engines.values().map(|engine| &engine.entry);
        self.congestion_window
            .set_initial_size(&self.settings, entries);
    }

    fn on_health_check(&mut self, id: EngineId, report: Option<LoadReport>) {
        let load = self
            .reported_load(id, report.as_ref())
            .map(cap_observed_load);
        let (Some(load), Some(engine)) = (load, self.engines.get_mut(&id)) else {
            return;
        };
        engine.load.record(load, self.now);
        if self.settings.reports_in_flight {
            self.load_level.observe(load);
        }
    }

    fn on_hold(&mut self, hold: &Hold) {
        let is_covered = |id| {
            self.requests
                .get(id)
                .is_some_and(|request| request.properties.contains(hold.target))
        };
        let attempts = self.engines.values().flat_map(|engine| engine.in_flight());
        let in_flight = attempts
            .filter(|attempt| is_covered(attempt.request))
            .count() as u32;
        self.holds.replace(hold, in_flight);
    }

    /// Applies new settings from the next decision on. Requests that are queued or in flight stay. The cost of health
    /// checks and the way of discovery keep their initial values. Invalid settings are ignored, and so are settings
    /// with fewer classes, because classes keep their numbers.
    fn on_settings(&mut self, settings: &Settings) {
        let old_count = self.statistics.len();
        if settings.validate().is_err() || settings.classes.len() < old_count {
            return;
        }
        self.settings = settings.clone();
        let class_count = self.settings.classes.len();
        self.statistics.extend(
            self.settings.classes[old_count..]
                .iter()
                .map(ClassStatistics::new),
        );
        self.grant_margins
            .resize_with(class_count, GrantMargin::new);
        self.queues.extend_to(class_count);
        self.scheduler.extend_to(class_count);
        self.congestion_window.apply_settings(&self.settings);
        let attempts = self.engines.values().flat_map(|engine| engine.in_flight());
        let threads = |class: usize| self.settings.classes[class].threads();
        let in_flight = attempts.map(|attempt| (attempt.class, threads(attempt.class)));
        self.congestion_window.recount_in_flight(in_flight);
        update_fair_shares(&mut self.engines, &self.settings);
    }

    fn request_health_check(&mut self, out: &mut Vec<Action>) {
        if self
            .health_checks
            .take_due(&self.settings, self.queues.is_any_queued(), self.now)
        {
            let salt = self.rng.next_u64();
            out.extend(choose_engine(&self.engines, salt).map(Action::HealthCheck));
        }
    }

    fn classes(&self) -> Classes<'_> {
        Classes::new(&self.settings.classes, &self.statistics)
    }
}
