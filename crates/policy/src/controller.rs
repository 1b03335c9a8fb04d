//! The controller's loop: events are applied, periodic control runs, then one dispatch pass.
//!
//! Ordinary path: a request waits in its class queue; each free slot of an engine goes to a class by a weighted random
//! draw (lottery), whose odds a PI loop tunes; the request goes to the engine with the fewest own queries. All else guards
//! against failures and enforces the rules of service.
//!
//! The controller only orders the steps and passes each rule what it reads. What a rule decides, with its state and its
//! constants, stands in the module that is named after it.

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

/// The decision module of one gateway: no I/O and no clock of its own.
pub struct Controller {
    settings: Settings,
    rng: Pcg64Mcg,
    now: Micros,
    next_control_period: Micros,
    /// 0 until the first batch.
    next_housekeeping: Micros,
    requests: RequestTable,
    queues: ClassQueues,
    ordering_keys: OrderingKeys,
    holds: Holds,
    engines: Engines,
    /// By class number, as `grant_margins`.
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
    /// A controller that knows no engine yet. The same seed and events give the same actions.
    ///
    /// # Errors
    /// Settings without classes or gateways, a class without latency objective, deadline or threads, or a negative or
    /// infinite number in a class, the cores, the slow-start rules or the cost of health checks.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let classes = settings.classes.len();
        Ok(Controller {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: 0,
            next_control_period: 0,
            next_housekeeping: 0,
            requests: RequestTable::default(),
            queues: ClassQueues::new(classes),
            ordering_keys: OrderingKeys::default(),
            holds: Holds::default(),
            engines: Engines::new(),
            statistics: settings.classes.iter().map(ClassStatistics::new).collect(),
            grant_margins: std::iter::repeat_with(GrantMargin::new)
                .take(classes)
                .collect(),
            scheduler: Scheduler::new(classes),
            objective_balance: ObjectiveBalance::default(),
            congestion_window: CongestionWindow::new(&settings),
            load_level: LoadLevel::new(),
            retry_usage: RetryUsage::default(),
            health_checks: HealthChecks::new(&settings),
            subscription: Subscription::new(settings.discovery),
            settings,
        })
    }

    /// Handles one batch: the events in their order, then one dispatch pass. Actions are appended to `out`.
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

    /// Attempts in flight at an engine, for hosts that check them against their sockets.
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

    /// Updates the odds of the classes, and the concurrency limits: they grow only while requests wait and objectives are
    /// met.
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
                .is_some_and(|request| request.hold_targets.contains(hold.target))
        };
        let attempts = self.engines.values().flat_map(|engine| engine.in_flight());
        let in_flight = attempts
            .filter(|attempt| is_covered(attempt.request))
            .count() as u32;
        self.holds.replace(hold, in_flight);
    }

    /// Applies new settings: what is queued and in flight stays, and the next decision follows them. The cost of health
    /// checks and the kind of discovery keep their values from the start. Settings that are
    /// unusable or lack a known class are ignored, as classes keep their numbers.
    fn on_settings(&mut self, settings: &Settings) {
        let known = self.statistics.len();
        if settings.validate().is_err() || settings.classes.len() < known {
            return;
        }
        self.settings = settings.clone();
        let classes = self.settings.classes.len();
        self.statistics.extend(
            self.settings.classes[known..]
                .iter()
                .map(ClassStatistics::new),
        );
        self.grant_margins.resize_with(classes, GrantMargin::new);
        self.queues.extend_to(classes);
        self.scheduler.extend_to(classes);
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
