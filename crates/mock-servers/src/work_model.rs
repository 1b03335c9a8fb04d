//! The work model of an engine: a simulation of the statements that share its cores, disks and memory. It performs no
//! I/O and has no clock; callers pass the time in µs.
//!
//! Between two events all rates are constant, except on a cold engine, whose changing speed is approximated in short
//! steps.
//!
//! - `parameters`, `job`: the parameters of an engine, and the demand of a statement on it;
//! - `execution`: one admitted statement;
//! - `rates`: the division of cores and disks between the running statements;
//! - `warm_up`: the warm-up after a cold start, and overload during it;
//! - `data_set_cache`: the cached data sets.

mod data_set_cache;
mod execution;
mod job;
mod parameters;
mod rates;
mod warm_up;

use std::collections::BTreeMap;

use data_set_cache::DataSetCache;
use execution::SimulatedExecution;
pub use execution::{BlockedState, ExecutionProgress};
pub use job::{Job, SecondDataSet};
pub use parameters::WorkModelParameters;
use rates::work_rates;
use warm_up::WarmUp;

/// Maximum length in µs of a step in which the speed of a cold engine is taken as constant.
const MAX_COLD_STEP_MICROS: u64 = 50_000;
/// Initial uptime of a warm engine as a multiple of the warm-up time, so that every router takes it as warm.
const WARM_AGE_FACTOR: u64 = 100;
/// Minimum speed and rate, so that no division is by zero.
const MIN_RATE: f64 = 1e-9;
/// Maximum time in µs to the next event. A larger float may not fit into a `u64`.
const MAX_EVENT_WAIT_MICROS: f64 = 1e15;

/// The result of submitting a statement to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The statement runs, or waits for memory or a data set.
    Admitted,
    /// The engine is full or has crashed before, and the statement does not run.
    Rejected,
    /// The statement overloaded the engine, which crashed and lost all admitted statements.
    Crashed,
}

/// The load of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineLoad {
    /// Number of admitted statements that have not ended.
    pub in_flight: usize,
    /// Fraction of the cores that are busy.
    pub cpu: f64,
    /// Fraction of the memory that has been granted.
    pub memory: f64,
}

/// The simulated work of one engine. Statements are identified by numbers that the caller chooses.
#[derive(Debug)]
pub struct WorkModel {
    parameters: WorkModelParameters,
    now: u64,
    executions: BTreeMap<u64, SimulatedExecution>,
    cache: DataSetCache,
    warm_up: WarmUp,
    crashed: bool,
}

impl WorkModel {
    /// Creates an engine that starts at `now`: cold, or warm as if it had started long before.
    pub fn new(parameters: WorkModelParameters, now: u64, starts_cold: bool) -> Self {
        let warm_age = WARM_AGE_FACTOR * parameters.warm_up_micros;
        let started_at = if starts_cold {
            now
        } else {
            now.saturating_sub(warm_age)
        };
        Self {
            now,
            executions: BTreeMap::new(),
            cache: DataSetCache::new(parameters.cached_data_sets),
            warm_up: WarmUp::new(started_at),
            crashed: false,
            parameters,
        }
    }

    /// Changes the speed of the cores, beginning at the time of the last [`WorkModel::advance`].
    pub fn set_speed(&mut self, speed: f64) {
        self.parameters.speed = speed.max(MIN_RATE);
    }

    /// Returns the uptime of the engine at `now` in µs.
    pub fn uptime(&self, now: u64) -> u64 {
        self.warm_up.uptime(now)
    }

    /// Returns whether the engine has crashed because of overload.
    pub fn has_crashed(&self) -> bool {
        self.crashed
    }

    fn warmth(&self) -> f64 {
        self.warm_up.warmth(&self.parameters, self.now)
    }

    fn is_cold(&self) -> bool {
        self.warm_up.is_cold(&self.parameters, self.now)
    }

    /// Admits a statement or rejects it. No other statement in flight may have the number `id`.
    pub fn admit(&mut self, now: u64, id: u64, job: Job) -> Admission {
        debug_assert!(now >= self.now);
        self.now = self.now.max(now);
        if self.crashed || self.is_full() {
            return Admission::Rejected;
        }
        if self.is_cold() {
            let warmth = self.warmth();
            let parameters = &self.parameters;
            if self
                .warm_up
                .record_admitted_work(parameters, now, warmth, job.work)
            {
                self.crashed = true;
                self.executions.clear();
                return Admission::Crashed;
            }
        }
        let mut work = job.work;
        if let Some(data_set) = job.data_set
            && !self.cache.read(data_set)
        {
            work += job.work * job.io_fraction;
        }
        let execution = SimulatedExecution::new(job, now, work);
        self.executions.insert(id, execution);
        self.grant_memory();
        Admission::Admitted
    }

    fn is_full(&self) -> bool {
        let limit = self.parameters.cores * self.parameters.max_statements_per_core;
        self.executions.len() as f64 >= limit
    }

    /// Grants memory in the order of the queue, up to the first statement for which there is not enough. A statement
    /// that is the only one on the engine is always granted what it requests.
    fn grant_memory(&mut self) {
        let total = self.parameters.memory_mb;
        let granted = self.executions.values().filter_map(|e| e.granted_mb());
        let mut free = total - granted.sum::<f64>();
        let mut queue: Vec<((u8, u64), u64)> = self
            .executions
            .iter()
            .filter(|(_, e)| e.granted_mb().is_none())
            .map(|(id, e)| (e.memory_queue_key(), *id))
            .collect();
        queue.sort_unstable();
        let is_alone = self.executions.len() == 1;
        for (_, id) in queue {
            let Some(execution) = self.executions.get_mut(&id) else {
                continue;
            };
            let requested = execution.requested_mb(total);
            if requested > free && !is_alone {
                break;
            }
            free -= requested;
            execution.grant_memory(requested, self.parameters.spill_factor);
        }
    }

    /// Returns why a statement is blocked, if it is: it is paused, has no memory yet, its data set is locked by a
    /// statement admitted before it, or the second data set that it needs now is locked by any other.
    fn blocked_state(&self, id: u64, execution: &SimulatedExecution) -> Option<BlockedState> {
        if execution.is_paused() {
            return Some(BlockedState::Paused);
        }
        if execution.granted_mb().is_none() {
            return Some(BlockedState::WaitingForMemory);
        }
        let others = || self.executions.iter().filter(|(other, _)| **other != id);
        let arrival = (execution.admitted_at(), id);
        let earlier_holder = |data_set: u64| {
            others()
                .find(|(other, o)| o.has_locked(data_set) && (o.admitted_at(), **other) < arrival)
        };
        let holder = |data_set: u64| others().find(|(_, other)| other.has_locked(data_set));
        let first = execution.job().data_set.and_then(earlier_holder);
        let blocking = first.or_else(|| execution.needed_second_data_set().and_then(holder));
        blocking.map(|(other, _)| BlockedState::BlockedBy(*other))
    }

    /// Returns the statements that are not blocked, in the order of their numbers.
    fn running(&self) -> Vec<(u64, &SimulatedExecution)> {
        self.executions
            .iter()
            .filter(|(id, execution)| self.blocked_state(**id, execution).is_none())
            .map(|(id, execution)| (*id, execution))
            .collect()
    }

    /// Returns the work per µs of each running statement.
    fn rates(&self) -> Vec<(u64, f64)> {
        work_rates(&self.parameters, self.warmth(), &self.running())
    }

    /// Returns the time in µs until a statement that runs at `rate` ends or needs its second data set.
    fn event_wait(&self, id: u64, rate: f64) -> f64 {
        let work = self.executions[&id].work_to_next_event();
        (work / rate.max(MIN_RATE)).ceil()
    }

    /// Advances the simulation to `now`. Returns the statements that finished, in the order in which they did.
    pub fn advance(&mut self, now: u64) -> Vec<u64> {
        let mut ended = Vec::new();
        while self.now < now && !self.crashed {
            self.step(now, &mut ended);
        }
        self.now = self.now.max(now);
        ended
    }

    /// Advances to the next event, or to `until` if that comes first.
    fn step(&mut self, until: u64, ended: &mut Vec<u64>) {
        let rates = self.rates();
        let mut step = until - self.now;
        if self.is_cold() {
            step = step.min(MAX_COLD_STEP_MICROS);
        }
        for (id, rate) in &rates {
            step = step.min((self.event_wait(*id, *rate) as u64).max(1));
        }
        for (id, rate) in &rates {
            if let Some(execution) = self.executions.get_mut(id) {
                execution.run(*rate, step);
            }
        }
        self.now += step;
        self.executions.retain(|id, execution| {
            let is_finished = execution.is_finished();
            if is_finished {
                ended.push(*id);
            }
            !is_finished
        });
        self.grant_memory();
    }

    /// Returns the time at which to call [`WorkModel::advance`] next: the next event at current rates, or on a cold
    /// engine the end of the next step if that comes first. Returns `None` while nothing runs.
    pub fn next_event_at(&self) -> Option<u64> {
        let wait = self
            .rates()
            .into_iter()
            .map(|(id, rate)| self.event_wait(id, rate))
            .fold(f64::INFINITY, f64::min);
        if !wait.is_finite() {
            return None;
        }
        let wait = wait.min(MAX_EVENT_WAIT_MICROS) as u64;
        let at = self.now.saturating_add(wait).max(self.now + 1);
        Some(if self.is_cold() {
            at.min(self.now + MAX_COLD_STEP_MICROS)
        } else {
            at
        })
    }

    /// Cancels a statement. Returns whether its work was stopped, which depends on
    /// [`cancel_stops_work`](WorkModelParameters::cancel_stops_work).
    pub fn cancel(&mut self, now: u64, id: u64) -> bool {
        self.advance(now);
        let stopped = self.parameters.cancel_stops_work && self.executions.remove(&id).is_some();
        self.grant_memory();
        stopped
    }

    /// Kills a statement, even if the engine does not stop the work of cancelled ones. Returns whether it was in
    /// flight.
    pub fn kill(&mut self, now: u64, id: u64) -> bool {
        self.advance(now);
        let stopped = self.executions.remove(&id).is_some();
        self.grant_memory();
        stopped
    }

    /// Pauses or resumes a statement, which keeps its memory and its locks. Returns whether it is in flight.
    pub fn set_paused(&mut self, now: u64, id: u64, paused: bool) -> bool {
        self.advance(now);
        let execution = self.executions.get_mut(&id);
        execution.map(|e| e.set_paused(paused)).is_some()
    }

    /// Returns the progress of a statement, if it is in flight.
    pub fn progress(&self, id: u64) -> Option<ExecutionProgress> {
        let execution = self.executions.get(&id)?;
        Some(execution.progress(self.blocked_state(id, execution)))
    }

    /// Returns the load at the time of the last [`WorkModel::advance`].
    pub fn load(&self) -> EngineLoad {
        let running = self.running();
        let threads: f64 = running.iter().map(|(_, e)| e.job().threads).sum();
        let granted = self.executions.values().filter_map(|e| e.granted_mb());
        EngineLoad {
            in_flight: self.executions.len(),
            cpu: (threads / self.parameters.cores).min(1.0),
            memory: granted.sum::<f64>() / self.parameters.memory_mb,
        }
    }
}

#[cfg(test)]
mod tests;
