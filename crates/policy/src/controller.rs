//! The controller's loop: events are applied, periodic control runs, then one dispatch pass.
//!
//! Ordinary path: a request waits in its class queue; each free slot of an engine goes to a class by a
//! weighted random draw (lottery), whose odds a PI loop tunes; the request goes to the engine with the fewest
//! own queries. All else guards against failures and enforces the rules of service.
//!
//! Order of reading: this file, `queues` (arrival, queueing), `scheduler` (which class), `dispatch` (which
//! engine), `concurrency` (limits, congestion window), `endpoints` (list, slow start, health), `attempts`
//! (outcomes, retries), `deadlines` (housekeeping, final answers). Data: `state`, `interface`.

use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::attempts::initial_class_state;
use crate::concurrency::{INITIAL_LOAD_LEVEL, needs_window};
use crate::deadlines::HOUSEKEEPING_INTERVAL;
use crate::endpoints::health_check_ratio;
use crate::interface::{Action, Event, Micros, Settings, SettingsError};
use crate::scheduler::CONTROL_PERIOD;
use crate::state::Controller;

impl Controller {
    /// A controller that knows no engine yet. The same seed and events give the same actions.
    ///
    /// # Errors
    /// Settings without classes or gateways, or with a figure that is negative, infinite or not a number.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let mut controller = Controller::empty(settings, Pcg64Mcg::seed_from_u64(seed));
        let settings = &controller.settings;
        controller.classes = settings.classes.iter().map(initial_class_state).collect();
        controller.window_enforced = needs_window(settings, controller.widest_class);
        controller.health_check_ratio = health_check_ratio(settings);
        controller.load_level = INITIAL_LOAD_LEVEL;
        Ok(controller)
    }

    /// Handles one batch: the events in their order, then one dispatch pass. Actions are appended to `out`.
    pub fn handle(&mut self, now: Micros, events: &[Event], out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.compensate_for_own_stall();
        for event in events {
            self.apply(event, out);
        }
        if self.now >= self.next_period {
            self.next_period = self.now + CONTROL_PERIOD;
            self.update_odds();
            self.update_concurrency_limits();
        }
        if self.now >= self.next_housekeeping {
            self.next_housekeeping = self.now + HOUSEKEEPING_INTERVAL;
            self.housekeep(out);
            out.push(Action::Timer(HOUSEKEEPING_INTERVAL));
        }
        self.dispatch(out);
        self.request_health_check(out);
    }

    fn apply(&mut self, event: &Event, out: &mut Vec<Action>) {
        match event {
            Event::EndpointList(scope, entries) => self.on_endpoint_list(*scope, entries),
            Event::Arrival(arrival) => self.on_arrival(arrival, out),
            Event::Outcome(outcome) => self.on_outcome(outcome, out),
            Event::Progress { request, attempt, engine, progress } => {
                self.on_progress(*request, *attempt, *engine, *progress, out);
            }
            Event::HealthChecked(engine, report) => self.on_health_check(*engine, *report),
            Event::ClientDisconnected(request) => self.finish(*request, None, out),
            Event::Abandoned(request) => self.abandon(*request, out),
            Event::Hold(hold) => self.replace_hold(hold),
            Event::SettingsChanged(settings) => self.on_settings(settings),
            Event::Wakeup => {}
        }
    }

    /// New settings on the fly: what is queued and in flight stays, and the next decision follows them.
    fn on_settings(&mut self, settings: &Settings) {
        let Ok(mut fresh) = Controller::new(settings.clone(), 0) else { return };
        if settings.classes.len() < self.classes.len() {
            return; // Classes keep their numbers.
        }
        self.classes.extend(fresh.classes.drain(self.classes.len()..));
        self.odds_ratios.resize(self.classes.len() - 1, 1.0);
        self.previous_errors.resize(self.classes.len() - 1, 0.0);
        (self.widest_class, self.any_locks_group) = (fresh.widest_class, fresh.any_locks_group);
        (self.window_enforced, self.no_load_feedback) = (fresh.window_enforced, fresh.no_load_feedback);
        self.settings = fresh.settings;
        self.recount_threads();
        let shares: Vec<f64> = self.engines.values().map(|e| self.fair_share(e.entry.kind)).collect();
        self.engines.values_mut().zip(shares).for_each(|(engine, share)| engine.fair_share = share);
    }
}
