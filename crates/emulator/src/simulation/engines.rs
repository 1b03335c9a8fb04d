//! The engines: work models that admit attempts and respond to the polls of the routers.

use std::collections::BTreeMap;

use hoptiller_mock_servers::work_model::{self, Admission, ExecutionProgress, Job, WorkModel};
use hoptiller_policy::{AttemptStatus, LoadReport, Micros, Progress};
use hoptiller_router_core::ResultPage;
use hoptiller_runaway::{BlockedState, BlockingStatement, ProgressReport};
use rand::Rng;

use super::events::{AttemptId, SimulatedEvent};
use super::routers::EngineJob;
use super::{CLOCK_START, Simulation};
use crate::plan::{PlannedEngine, PlannedStatement};
use crate::run::AttemptRecord;

/// Time between two polls of a running attempt, which is the duration of a long poll of the mock servers.
const POLL_INTERVAL: Micros = 1_000_000;
/// Priority of an attempt for which the router sets none.
const DEFAULT_PRIORITY: u8 = 1;
/// Work in µs above which an engine reports it.
const MIN_REPORTED_WORK: f64 = 1000.0;
/// Maximum progress that a running attempt reports, so that noise does not make it appear complete.
const MAX_REPORTED_PROGRESS: f64 = 0.99;

/// An attempt that an engine has admitted.
#[derive(Clone, Copy, Debug)]
pub(super) struct AdmittedAttempt {
    router: usize,
    attempt: AttemptId,
    /// Index of the attempt in [`RunRecord::attempts`](crate::run::RunRecord::attempts).
    record: usize,
    /// Whether the router no longer waits for it.
    is_abandoned: bool,
}

/// The simulated state of an engine.
pub(super) struct SimulatedEngine {
    pub(super) model: WorkModel,
    /// Time of the next scheduled [`SimulatedEvent::EngineWork`].
    pub(super) wake_at: Option<Micros>,
    admitted: BTreeMap<u64, AdmittedAttempt>,
    next_job: u64,
}

impl SimulatedEngine {
    pub(super) fn new(planned: &PlannedEngine) -> Self {
        Self {
            model: WorkModel::new(planned.parameters.clone(), CLOCK_START, false),
            wake_at: None,
            admitted: BTreeMap::new(),
            next_job: 0,
        }
    }

    /// Lets a job run to its end without a report to its router.
    pub(super) fn abandon(&mut self, job: u64) {
        if let Some(admitted) = self.admitted.get_mut(&job) {
            admitted.is_abandoned = true;
        }
    }
}

impl Simulation<'_> {
    /// Returns the load report of an engine; `None` if engines do not report their load.
    pub(super) fn load_report(&self, engine: usize) -> Option<LoadReport> {
        let load = self.engines[engine].model.load();
        self.plan.reports_load.then_some(LoadReport {
            in_flight: None,
            memory: Some(load.memory),
            cpu: Some(load.cpu),
        })
    }

    /// Handles the arrival of an attempt at its engine, which admits it, rejects it or crashes.
    pub(super) fn receive_attempt(&mut self, router: usize, attempt: AttemptId, engine: usize) {
        let options = self.routers[router].options.remove(&attempt);
        let options = options.unwrap_or_default();
        let by_id = &self.record.statements_by_id[router];
        let Some(statement) = by_id.get(&attempt.statement).copied() else {
            return;
        };
        self.advance_engine(engine);
        let granted = options.memory_grant_mb;
        let job = Job {
            priority: options.priority.unwrap_or(DEFAULT_PRIORITY),
            memory_grant_mb: (granted > 0.0).then_some(granted),
            ..self.plan.statements[statement].job.clone()
        };
        let now = self.now;
        let simulated = &mut self.engines[engine];
        let number = simulated.next_job;
        simulated.next_job += 1;
        match simulated.model.admit(now, number, job) {
            Admission::Admitted => {
                let job = EngineJob {
                    engine,
                    job: number,
                };
                self.track_admitted(router, attempt, statement, job);
            }
            Admission::Rejected => {
                let report = self.load_report(engine);
                self.finish_attempt(router, attempt, AttemptStatus::Rejected, "full", report);
            }
            Admission::Crashed => self.crash_engine(router, attempt, engine),
        }
        self.schedule_engine_work(engine);
    }

    fn track_admitted(
        &mut self,
        router: usize,
        attempt: AttemptId,
        statement: usize,
        job: EngineJob,
    ) {
        let EngineJob {
            engine,
            job: number,
        } = job;
        let admitted = AdmittedAttempt {
            router,
            attempt,
            record: self.record.attempts.len(),
            is_abandoned: false,
        };
        self.record.attempts.push(AttemptRecord {
            statement,
            engine,
            started_at: self.now,
            ended_at: None,
            observed_stalls: Vec::new(),
        });
        self.engines[engine].admitted.insert(number, admitted);
        self.routers[router].in_flight.insert(attempt, job);
        let poll = SimulatedEvent::AttemptPoll {
            engine,
            job: number,
        };
        self.schedule_after(POLL_INTERVAL, poll);
    }

    /// Ends all attempts at an engine that crashed, the attempt that caused the crash last.
    fn crash_engine(&mut self, router: usize, attempt: AttemptId, engine: usize) {
        self.record.engine_crashes += 1;
        let (status, reason) = (AttemptStatus::ConnectionReset, "the engine crashed");
        let lost = std::mem::take(&mut self.engines[engine].admitted);
        for lost in lost.into_values().filter(|lost| !lost.is_abandoned) {
            self.routers[lost.router].in_flight.remove(&lost.attempt);
            self.finish_attempt(lost.router, lost.attempt, status, reason, None);
        }
        self.finish_attempt(router, attempt, status, reason, None);
    }

    /// Records the end of an admitted job, and returns its attempt; `None` if the engine does not have the job.
    pub(super) fn record_attempt_end(
        &mut self,
        engine: usize,
        job: u64,
    ) -> Option<AdmittedAttempt> {
        let ended = self.engines[engine].admitted.remove(&job)?;
        self.record.attempts[ended.record].ended_at = Some(self.now);
        Some(ended)
    }

    /// Advances an engine to the current time, and delivers the results of the jobs that ended.
    pub(super) fn advance_engine(&mut self, engine: usize) {
        let now = self.now;
        for job in self.engines[engine].model.advance(now) {
            if let Some(ended) = self.record_attempt_end(engine, job)
                && !ended.is_abandoned
            {
                self.deliver_result(engine, ended);
            }
        }
        self.schedule_engine_work(engine);
    }

    /// Delivers the last page of an attempt to its router.
    fn deliver_result(&mut self, engine: usize, ended: AdmittedAttempt) {
        let work = self.planned_statement(ended).job.work as Micros;
        let page = ResultPage {
            is_last: true,
            load_report: self.load_report(engine),
            work: self.plan.settings.engines.reports_work.then_some(work),
            ..ResultPage::default()
        };
        let AttemptId { statement, number } = ended.attempt;
        let now = self.now;
        let router = &mut self.routers[ended.router];
        router.in_flight.remove(&ended.attempt);
        router.core.accept_page(now, statement, number, page);
        self.process_router(ended.router);
    }

    fn planned_statement(&self, admitted: AdmittedAttempt) -> &PlannedStatement {
        let record = &self.record.attempts[admitted.record];
        &self.plan.statements[record.statement]
    }

    /// Schedules the next event of an engine's work model, unless an event at or before that time is scheduled.
    pub(super) fn schedule_engine_work(&mut self, engine: usize) {
        let now = self.now;
        let simulated = &mut self.engines[engine];
        if let Some(at) = simulated.model.next_event_at().map(|at| at.max(now))
            && simulated.wake_at.is_none_or(|wake_at| at < wake_at)
        {
            simulated.wake_at = Some(at);
            let event = SimulatedEvent::EngineWork { engine };
            self.events.schedule(at, event);
        }
    }

    /// Handles a router's poll of a running attempt, and reports the attempt's progress if engines report progress.
    pub(super) fn poll_attempt(&mut self, engine: usize, job: u64) {
        self.advance_engine(engine);
        let admitted = self.engines[engine].admitted.get(&job).copied();
        let Some(admitted) = admitted.filter(|admitted| !admitted.is_abandoned) else {
            return;
        };
        self.schedule_after(POLL_INTERVAL, SimulatedEvent::AttemptPoll { engine, job });
        let Some(progress) = self.engines[engine].model.progress(job) else {
            return;
        };
        if progress.blocked.is_some() {
            let record = &mut self.record.attempts[admitted.record];
            record.observed_stalls.push(self.now);
        }
        if self.plan.reports_progress {
            self.report_progress(engine, admitted, &progress);
        }
    }

    fn report_progress(
        &mut self,
        engine: usize,
        admitted: AdmittedAttempt,
        progress: &ExecutionProgress,
    ) {
        let noise = 1.0 + self.plan.progress_noise * self.rng.random_range(-1.0..1.0);
        let completed = (progress.completed * noise).clamp(0.0, MAX_REPORTED_PROGRESS);
        let blocked_state = progress
            .blocked
            .map(|blocked| self.reported_block(engine, blocked));
        let reported = if blocked_state.is_some() {
            Progress::Blocked
        } else {
            Progress::Completed(completed)
        };
        let rows_read = self.planned_statement(admitted).rows_read;
        let report = ProgressReport {
            work: (progress.work_done > MIN_REPORTED_WORK).then_some(progress.work_done as Micros),
            done: blocked_state.is_none().then_some(completed),
            rows: Some((rows_read as f64 * progress.completed) as u64),
            memory_mb: (progress.memory_mb > 0.0).then_some(progress.memory_mb),
            spills: progress.spills,
            blocked_state,
        };
        let AttemptId { statement, number } = admitted.attempt;
        let now = self.now;
        let core = &mut self.routers[admitted.router].core;
        core.report_progress(statement, number, reported);
        core.report_progress_to_runaway_detector(now, statement, number, report);
        self.process_router(admitted.router);
    }

    /// Returns the state that an engine reports for a blocked attempt.
    fn reported_block(&self, engine: usize, blocked: work_model::BlockedState) -> BlockedState {
        match blocked {
            work_model::BlockedState::WaitingForMemory => BlockedState::Memory,
            work_model::BlockedState::Paused => BlockedState::Statement(None),
            work_model::BlockedState::BlockedBy(job) => {
                BlockedState::Statement(self.holder(engine, job))
            }
        }
    }

    /// Describes the attempt that blocks another, with the name that its router gave it.
    fn holder(&self, engine: usize, job: u64) -> Option<BlockingStatement> {
        let simulated = &self.engines[engine];
        let admitted = *simulated.admitted.get(&job)?;
        let identity = &self.routers[admitted.router].identity;
        Some(BlockingStatement {
            name: identity.statement_name(admitted.attempt.statement),
            class: Some(self.planned_statement(admitted).class),
            age: simulated
                .model
                .progress(job)
                .map(|progress| progress.run_micros),
        })
    }
}
