//! The core of one router: its state, settings and batches of decisions.

mod actions;
mod admission;
mod attempts;
mod delivery;
mod expiry;
mod runaways;

use std::collections::VecDeque;

use hoptiller_policy::{
    Action, Controller, EndpointEntry, EngineId, Event, ListScope, LoadReport, Micros, Settings,
    SettingsError,
};
use hoptiller_runaway::RunawayDetector;

use crate::command::Command;
use crate::endpoints::EndpointTable;
use crate::identity::{RouterIdentity, StatementId};
use crate::limits::{CoreLimits, CoreUsage};
use crate::statement_table::StatementTable;

/// The core of one router.
///
/// Most methods queue events for the controller. [`Core::run_batch`] has the controller decide on all queued events,
/// and [`Core::next_command`] returns the resulting commands.
pub struct Core {
    controller: Controller,
    /// `None` if runaway detection is disabled.
    runaway_detector: Option<RunawayDetector>,
    endpoints: EndpointTable,
    identity: RouterIdentity,
    limits: CoreLimits,
    /// Maximum timeout of a statement, by class.
    class_timeouts: Vec<Micros>,
    statements: StatementTable,
    /// Events for the next batch.
    events: Vec<Event>,
    /// Buffer that is reused between batches.
    actions: Vec<Action>,
    commands: VecDeque<Command>,
    wake_at: Option<Micros>,
    is_shutting_down: bool,
    /// Statements and attempts whose next page is fetched once the buffers have space.
    awaiting_fetch: VecDeque<(StatementId, u32)>,
    buffered_bytes: u64,
    /// Memory of statements beyond their allowances.
    statement_bytes: u64,
}

impl Core {
    /// Creates a core with an empty engine list.
    ///
    /// # Errors
    ///
    /// Returns an error if the controller rejects the settings.
    pub fn new(
        settings: Settings,
        seed: u64,
        limits: CoreLimits,
        runaway_detector: Option<RunawayDetector>,
        identity: RouterIdentity,
    ) -> Result<Core, SettingsError> {
        Ok(Core {
            endpoints: EndpointTable::new(&settings),
            runaway_detector,
            identity,
            class_timeouts: class_timeouts(&settings),
            controller: Controller::new(settings, seed)?,
            limits,
            statements: StatementTable::default(),
            events: Vec::new(),
            actions: Vec::new(),
            commands: VecDeque::new(),
            wake_at: Some(0),
            is_shutting_down: false,
            awaiting_fetch: VecDeque::new(),
            buffered_bytes: 0,
            statement_bytes: 0,
        })
    }

    /// Applies new settings, also to queued statements. Existing classes keep their indexes; new classes follow them.
    pub fn update_settings(
        &mut self,
        settings: Settings,
        runaway_settings: hoptiller_runaway::Settings,
    ) {
        self.class_timeouts = class_timeouts(&settings);
        self.endpoints.update_settings(&settings);
        if let Some(detector) = &mut self.runaway_detector {
            detector.update_settings(runaway_settings);
        }
        self.events.push(Event::SettingsChanged(Box::new(settings)));
    }

    /// Applies an update of the engine list.
    pub fn update_endpoints(&mut self, now: Micros, scope: ListScope, entries: Vec<EndpointEntry>) {
        self.report_endpoints_to_runaway_detector(now, scope, &entries);
        self.events.push(Event::EndpointList(scope, entries));
    }

    /// Reports the result of a health check: the engine's load, or `None` if the check failed.
    pub fn report_health_check(&mut self, engine: EngineId, load_report: Option<LoadReport>) {
        self.events.push(Event::HealthChecked(engine, load_report));
    }

    /// Returns the number of attempts that the controller counts as in flight at an engine.
    pub fn in_flight_at(&self, engine: EngineId) -> usize {
        self.controller.in_flight_at(engine)
    }

    /// Returns whether no statement is open and no final response is undelivered.
    pub fn is_idle(&self) -> bool {
        self.statements.open_count() == 0 && self.statements.undelivered_count() == 0
    }

    /// Returns the current resource usage of the core.
    pub fn usage(&self) -> CoreUsage {
        CoreUsage {
            open_statements: self.statements.open_count(),
            statement_bytes: self.statement_bytes,
            retained_statements: self.statements.retained_count(),
            statement_timers: self.statements.timer_count(),
            buffered_bytes: self.buffered_bytes,
        }
    }

    /// Returns the time at which the next batch is due even without an event.
    ///
    /// The controller sets this timer anew in each housekeeping, so that statement timers and the runaway detector,
    /// which run with each batch, need none of their own.
    pub fn wake_at(&self) -> Option<Micros> {
        self.wake_at
    }

    /// Returns whether events are queued for the next batch.
    pub fn has_events(&self) -> bool {
        !self.events.is_empty()
    }

    /// Runs one batch: handles due statement timers, runs the runaway detector, and has the controller decide on the
    /// events since the previous batch.
    pub fn run_batch(&mut self, now: Micros) {
        self.handle_due_timers(now);
        self.detect_runaways(now);
        if self.wake_at.is_some_and(|at| at <= now) {
            self.wake_at = None;
            self.events.push(Event::Wakeup);
        }
        if self.events.is_empty() {
            return;
        }
        let events = std::mem::take(&mut self.events);
        let mut actions = std::mem::take(&mut self.actions);
        self.controller.handle(now, &events, &mut actions);
        for action in actions.drain(..) {
            self.apply_action(now, action);
        }
        self.actions = actions;
        self.request_pages_within_limit();
    }

    /// Takes the next command; returns `None` if there is none.
    pub fn next_command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }
}

fn class_timeouts(settings: &Settings) -> Vec<Micros> {
    settings
        .classes
        .iter()
        .map(|class| class.deadline)
        .collect()
}
