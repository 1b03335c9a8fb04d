//! The routers: events are passed to their cores, and the commands of the cores are executed.

use std::collections::BTreeMap;

use hoptiller_policy::{AttemptStatus, EngineId, LoadReport, Micros};
use hoptiller_router_core::{
    Attempt, AttemptOutcome, Command, Core, CoreLimits, RouterIdentity, StatementId,
};
use hoptiller_runaway::{Finding, Proof, RunawayDetector};
use hoptiller_statement_router::service::RESPONSE_MARGIN;

use super::events::{AttemptId, SimulatedEvent};
use super::{ONE_WAY_LATENCY, Simulation};
use crate::plan::Plan;
use crate::run::ReportedFinding;

/// Time from an event at a router to its decisions.
const BATCH_DELAY: Micros = 100;
/// Time after which a router would consider a client gone. It is beyond every run, as simulated clients never abandon a
/// statement.
const ABANDON_AFTER: Micros = Micros::MAX / 4;

/// The engine and job of an admitted attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct EngineJob {
    pub(super) engine: usize,
    pub(super) job: u64,
}

/// The options of an attempt that its engine applies.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AttemptOptions {
    pub(super) priority: Option<u8>,
    pub(super) memory_grant_mb: f64,
}

/// The simulated state of a router.
pub(super) struct SimulatedRouter {
    pub(super) core: Core,
    pub(super) identity: RouterIdentity,
    /// Attempts in flight that an engine has admitted.
    pub(super) in_flight: BTreeMap<AttemptId, EngineJob>,
    /// Options of the attempts that have not reached their engine.
    pub(super) options: BTreeMap<AttemptId, AttemptOptions>,
    /// Number of the page that the client of each statement polls next.
    pub(super) next_pages: BTreeMap<StatementId, u64>,
    is_batch_scheduled: bool,
    wake_at: Option<Micros>,
}

impl SimulatedRouter {
    fn new(core: Core, identity: RouterIdentity) -> Self {
        Self {
            core,
            identity,
            in_flight: BTreeMap::new(),
            options: BTreeMap::new(),
            next_pages: BTreeMap::new(),
            is_batch_scheduled: false,
            wake_at: None,
        }
    }
}

/// Creates the routers of a plan.
pub(super) fn routers(plan: &Plan, seed: u64) -> Vec<SimulatedRouter> {
    let limits = core_limits(plan);
    (0..plan.settings.router.fleet_size)
        .map(|index| {
            let mut settings = plan.settings.clone();
            settings.router.index = index;
            let identity = RouterIdentity {
                router: format!("r{index}"),
                incarnation: "emulated".into(),
            };
            let detector = RunawayDetector::new(settings.runaway_settings());
            let core = Core::new(
                settings.policy_settings(),
                seed ^ u64::from(index),
                limits,
                Some(detector),
                identity.clone(),
            )
            .unwrap_or_else(|error| unreachable!("checked settings: {error}"));
            SimulatedRouter::new(core, identity)
        })
        .collect()
}

fn core_limits(plan: &Plan) -> CoreLimits {
    let limits = &plan.settings.limits;
    CoreLimits {
        max_open_statements: limits.max_open_statements,
        max_statement_bytes: limits.max_incoming_bytes,
        max_retained_responses: limits.max_retained_responses,
        retention: limits.retention.as_micros() as Micros,
        abandon_after: ABANDON_AFTER,
        max_buffered_bytes: limits.max_buffered_bytes,
        response_margin: RESPONSE_MARGIN,
    }
}

impl Simulation<'_> {
    pub(super) fn run_decision_batch(&mut self, router: usize) {
        let now = self.now;
        let simulated = &mut self.routers[router];
        simulated.is_batch_scheduled = false;
        simulated.wake_at = simulated.wake_at.filter(|at| *at > now);
        simulated.core.run_batch(now);
        self.process_router(router);
    }

    /// Executes the commands of a router, and schedules its next batch of decisions.
    pub(super) fn process_router(&mut self, router: usize) {
        while let Some(command) = self.routers[router].core.next_command() {
            self.execute_command(router, command);
        }
        let batch = SimulatedEvent::DecisionBatch { router };
        let simulated = &mut self.routers[router];
        if simulated.core.has_events() && !simulated.is_batch_scheduled {
            simulated.is_batch_scheduled = true;
            self.schedule_after(BATCH_DELAY, batch);
        }
        let now = self.now;
        let simulated = &mut self.routers[router];
        if let Some(at) = simulated.core.wake_at().map(|at| at.max(now))
            && simulated.wake_at.is_none_or(|wake_at| at < wake_at)
        {
            simulated.wake_at = Some(at);
            self.events.schedule(at, batch);
        }
    }

    fn execute_command(&mut self, router: usize, command: Command) {
        let attempt_id = |statement, number| AttemptId { statement, number };
        match command {
            Command::Send(attempt) => self.send_attempt(router, &attempt),
            Command::Cancel { id, attempt } => {
                let attempt = attempt_id(id, attempt);
                self.release_attempt(router, attempt);
                self.finish_attempt(router, attempt, AttemptStatus::Cancelled, "withdrawn", None);
            }
            Command::Release { id, attempt } => {
                self.release_attempt(router, attempt_id(id, attempt));
            }
            Command::Kill { id, attempt } => self.kill_attempt(router, attempt_id(id, attempt)),
            Command::SetPaused {
                id,
                attempt,
                paused,
            } => self.pause_attempt(router, attempt_id(id, attempt), paused),
            Command::HealthCheck(engine) => {
                let engine = engine.0 as usize;
                let event = SimulatedEvent::HealthCheck { router, engine };
                self.schedule_after(2 * ONE_WAY_LATENCY, event);
            }
            Command::NotifyWaiters(id) => {
                let event = SimulatedEvent::ClientPoll { router, id };
                self.schedule_after(ONE_WAY_LATENCY, event);
            }
            Command::ReportFinding(finding) => self.record_finding(router, *finding),
            Command::Fetch { .. } | Command::RefreshDiscovery | Command::Settled { .. } => {}
        }
    }

    fn record_finding(&mut self, router: usize, finding: Finding) {
        let at = self.now;
        self.record.findings.push(ReportedFinding {
            router,
            at,
            finding,
        });
    }

    fn send_attempt(&mut self, router: usize, sent: &Attempt) {
        let attempt = AttemptId {
            statement: sent.statement_id,
            number: sent.number,
        };
        let options = AttemptOptions {
            priority: sent.priority,
            memory_grant_mb: sent.memory_grant_mb,
        };
        self.routers[router].options.insert(attempt, options);
        let arrival = SimulatedEvent::AttemptArrival {
            router,
            attempt,
            engine: sent.engine.0 as usize,
        };
        self.schedule_after(ONE_WAY_LATENCY, arrival);
        let timeout = SimulatedEvent::AttemptTimeout { router, attempt };
        self.schedule_after(sent.deadline.saturating_sub(self.now), timeout);
    }

    /// Releases an attempt. Its engine cancels it if possible, and otherwise runs it to completion.
    fn release_attempt(&mut self, router: usize, attempt: AttemptId) {
        let Some(EngineJob { engine, job }) = self.routers[router].in_flight.remove(&attempt)
        else {
            return;
        };
        self.advance_engine(engine);
        let now = self.now;
        if self.engines[engine].model.cancel(now, job) {
            self.record_attempt_end(engine, job);
        } else {
            self.engines[engine].abandon(job);
        }
        self.schedule_engine_work(engine);
    }

    fn kill_attempt(&mut self, router: usize, attempt: AttemptId) {
        let Some(EngineJob { engine, job }) = self.routers[router].in_flight.remove(&attempt)
        else {
            return;
        };
        self.advance_engine(engine);
        let now = self.now;
        let is_killed = self.engines[engine].model.kill(now, job);
        self.record_attempt_end(engine, job);
        self.schedule_engine_work(engine);
        if is_killed {
            self.routers[router].core.finish_killed_attempt(
                now,
                attempt.statement,
                attempt.number,
                Proof::RolledBack,
                "by rule".into(),
            );
        }
    }

    fn pause_attempt(&mut self, router: usize, attempt: AttemptId, paused: bool) {
        let in_flight = self.routers[router].in_flight.get(&attempt).copied();
        if let Some(EngineJob { engine, job }) = in_flight {
            self.advance_engine(engine);
            let now = self.now;
            self.engines[engine].model.set_paused(now, job, paused);
            self.schedule_engine_work(engine);
        }
    }

    /// Ends an attempt at its deadline if it is still in flight. Its engine runs it to completion.
    pub(super) fn time_out_attempt(&mut self, router: usize, attempt: AttemptId) {
        if let Some(in_flight) = self.routers[router].in_flight.remove(&attempt) {
            self.engines[in_flight.engine].abandon(in_flight.job);
            let reason = "the engine did not finish in time";
            self.finish_attempt(router, attempt, AttemptStatus::TimedOut, reason, None);
        }
    }

    /// Reports the end of an attempt to its router.
    pub(super) fn finish_attempt(
        &mut self,
        router: usize,
        attempt: AttemptId,
        status: AttemptStatus,
        reason: &str,
        load_report: Option<LoadReport>,
    ) {
        let outcome = AttemptOutcome {
            status,
            reason: reason.into(),
            load_report,
        };
        let now = self.now;
        let core = &mut self.routers[router].core;
        core.finish_attempt(now, attempt.statement, attempt.number, outcome);
        self.process_router(router);
    }

    pub(super) fn check_health(&mut self, router: usize, engine: usize) {
        self.advance_engine(engine);
        let report = self.load_report(engine);
        self.routers[router]
            .core
            .report_health_check(EngineId(engine as u32), report);
        self.process_router(router);
    }
}
