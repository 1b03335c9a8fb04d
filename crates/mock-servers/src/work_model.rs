//! The work model of an engine: what cores, disks and memory do with the statements that share them. It has no I/O and
//! no clock; the caller passes the time, in µs.
//!
//! Between two events all rates are constant, except those of a cold engine, which are followed in short steps.
//!
//! - `parameters`, `job`: what an engine is, and what a statement demands of it;
//! - `execution`: one admitted statement;
//! - `rates`: how the running statements share cores and disks;
//! - `warm_up`: the time after a cold start, and its overload;
//! - `data_set_cache`: which data sets are cached.

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

/// Longest step in µs in which the speed of a cold engine counts as constant.
const MAX_COLD_STEP: u64 = 50_000;
/// A warm engine has run for this multiple of the warm-up, so that any router counts it as warm.
const WARM_AGE_FACTOR: u64 = 100;
/// Lowest speed and rate: where they divide, they are never zero.
const MIN_RATE: f64 = 1e-9;
/// Longest time in µs to the next event; beyond, a float may not fit a `u64`.
const MAX_EVENT_WAIT: f64 = 1e15;

/// What became of a statement that was sent to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It runs, or waits for memory or a data set.
    Admitted,
    /// The engine is full, or has crashed: the statement did not run.
    Rejected,
    /// The engine crashed under it; everything that it had admitted is lost.
    Crashed,
}

/// The load of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineLoad {
    /// Number of admitted statements that have not ended.
    pub in_flight: usize,
    /// Fraction of the cores that is busy.
    pub cpu: f64,
    /// Fraction of the memory that is granted.
    pub memory: f64,
}

/// The simulated work of one engine. Statements are known by numbers that the caller gives.
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
    /// An engine that starts at `now`, cold, or warm as if it had started long ago.
    pub fn new(parameters: WorkModelParameters, now: u64, cold: bool) -> Self {
        let warm_age = WARM_AGE_FACTOR * parameters.warm_up_micros;
        let started_at = if cold {
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

    /// Changes the speed of the cores from the last [`WorkModel::advance`] on.
    pub fn set_speed(&mut self, speed: f64) {
        self.parameters.speed = speed.max(MIN_RATE);
    }

    /// How long the engine has run at `now`, in µs.
    pub fn uptime(&self, now: u64) -> u64 {
        self.warm_up.uptime(now)
    }

    /// Whether the engine crashed under overload.
    pub fn has_crashed(&self) -> bool {
        self.crashed
    }

    fn warmth(&self) -> f64 {
        self.warm_up.warmth(&self.parameters, self.now)
    }

    fn is_cold(&self) -> bool {
        self.warm_up.is_cold(&self.parameters, self.now)
    }

    /// Admits a statement under a number that no other statement in flight has, or rejects it.
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
                .admit_is_overload(parameters, now, warmth, job.work)
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

    /// Grants memory in the order of the queue, up to the first statement for which there is not enough. One that is
    /// alone is always granted what it asks for.
    fn grant_memory(&mut self) {
        let total = self.parameters.memory_mb;
        let granted = self.executions.values().filter_map(|e| e.granted_mb());
        let mut free = total - granted.sum::<f64>();
        let mut queue: Vec<((u8, u64), u64)> = self
            .executions
            .iter()
            .filter(|(_, e)| e.granted_mb().is_none())
            .map(|(id, e)| (e.memory_queue_position(), *id))
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

    /// What blocks a statement: it has no memory yet, another that was admitted before it has its data set locked, or any other
    /// has the data set that it needs next.
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

    /// The statements that are not blocked, in the order of their numbers.
    fn running(&self) -> Vec<(u64, &SimulatedExecution)> {
        self.executions
            .iter()
            .filter(|(id, execution)| self.blocked_state(**id, execution).is_none())
            .map(|(id, execution)| (*id, execution))
            .collect()
    }

    /// Work per µs of each running statement.
    fn rates(&self) -> Vec<(u64, f64)> {
        work_rates(&self.parameters, self.warmth(), &self.running())
    }

    /// Time in µs until a statement that runs at `rate` ends or needs its second data set.
    fn event_wait(&self, id: u64, rate: f64) -> f64 {
        let work = self.executions[&id].work_to_next_event();
        (work / rate.max(MIN_RATE)).ceil()
    }

    /// Advances the simulation to `now`. Returns the statements that ended, in the order of their ends.
    pub fn advance(&mut self, now: u64) -> Vec<u64> {
        let mut ended = Vec::new();
        while self.now < now && !self.crashed {
            self.step(now, &mut ended);
        }
        self.now = self.now.max(now);
        ended
    }

    /// Advances to the next event, or to `until` where that comes first.
    fn step(&mut self, until: u64, ended: &mut Vec<u64>) {
        let rates = self.rates();
        let mut step = until - self.now;
        if self.is_cold() {
            step = step.min(MAX_COLD_STEP);
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

    /// When to call [`WorkModel::advance`] next: at the next event at present rates, or after a step of a cold engine.
    /// `None` while nothing runs.
    pub fn next_event_at(&self) -> Option<u64> {
        let wait = self
            .rates()
            .into_iter()
            .map(|(id, rate)| self.event_wait(id, rate))
            .fold(f64::INFINITY, f64::min);
        if !wait.is_finite() {
            return None;
        }
        let wait = wait.min(MAX_EVENT_WAIT) as u64;
        let at = self.now.saturating_add(wait).max(self.now + 1);
        Some(if self.is_cold() {
            at.min(self.now + MAX_COLD_STEP)
        } else {
            at
        })
    }

    /// Cancels a statement; whether its work stopped, which depends on
    /// [`cancel_stops_work`](WorkModelParameters::cancel_stops_work).
    pub fn cancel(&mut self, now: u64, id: u64) -> bool {
        self.advance(now);
        let stopped = self.parameters.cancel_stops_work && self.executions.remove(&id).is_some();
        self.grant_memory();
        stopped
    }

    /// Kills a statement, whatever the engine does with cancellations; whether it was still in flight.
    pub fn kill(&mut self, now: u64, id: u64) -> bool {
        self.advance(now);
        let stopped = self.executions.remove(&id).is_some();
        self.grant_memory();
        stopped
    }

    /// Pauses or resumes a statement; whether it is in flight. It keeps its memory and its locks.
    pub fn set_paused(&mut self, now: u64, id: u64, paused: bool) -> bool {
        self.advance(now);
        let execution = self.executions.get_mut(&id);
        execution.map(|e| e.set_paused(paused)).is_some()
    }

    /// The progress of a statement in flight.
    pub fn progress(&self, id: u64) -> Option<ExecutionProgress> {
        let execution = self.executions.get(&id)?;
        Some(execution.progress(self.blocked_state(id, execution)))
    }

    /// The load at the last [`WorkModel::advance`].
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
