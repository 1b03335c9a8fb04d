//! The execution of one admitted statement: its remaining work, its memory and its locks.

use super::job::{Job, MAX_PRIORITY};

/// Remaining work in µs up to which it counts as zero, because it may be a rounding error.
const WORK_TOLERANCE_MICROS: f64 = 1e-6;

/// The progress of a statement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExecutionProgress {
    /// Fraction of the work that is done.
    pub completed: f64,
    /// Work done in µs, including additional work because of spilling or an uncached data set.
    pub work_done: f64,
    /// Time in µs for which the statement ran, without the time in which it was blocked.
    pub run_micros: u64,
    /// Granted memory in MB.
    pub memory_mb: f64,
    /// Whether the statement does additional work because it was granted less memory than it needs.
    pub spills: bool,
    /// The reason why the statement is blocked, if it is.
    pub blocked: Option<BlockedState>,
}

/// The reason why a statement makes no progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BlockedState {
    /// The statement waits for its memory grant.
    WaitingForMemory,
    /// The statement needs a data set that the statement of this number has locked.
    BlockedBy(u64),
    /// The statement was paused.
    Paused,
}

/// The execution of an admitted statement.
#[derive(Debug)]
pub(super) struct SimulatedExecution {
    job: Job,
    admitted_at: u64,
    remaining_work: f64,
    total_work: f64,
    granted_mb: Option<f64>,
    paused: bool,
    run_micros: u64,
}

impl SimulatedExecution {
    /// Creates an execution that waits for its memory. `work` is the work of the job, plus its I/O part again if its
    /// data set was not cached.
    pub(super) fn new(job: Job, admitted_at: u64, work: f64) -> Self {
        Self {
            job,
            admitted_at,
            remaining_work: work,
            total_work: work,
            granted_mb: None,
            paused: false,
            run_micros: 0,
        }
    }

    pub(super) fn job(&self) -> &Job {
        &self.job
    }

    pub(super) fn admitted_at(&self) -> u64 {
        self.admitted_at
    }

    pub(super) fn granted_mb(&self) -> Option<f64> {
        self.granted_mb
    }

    pub(super) fn is_paused(&self) -> bool {
        self.paused
    }

    pub(super) fn set_paused(&mut self, paused: bool) {
        self.paused = paused;
    }

    pub(super) fn is_finished(&self) -> bool {
        self.remaining_work <= WORK_TOLERANCE_MICROS
    }

    /// Returns the sort key in the queue for memory: by descending priority, then by admission.
    pub(super) fn memory_queue_key(&self) -> (u8, u64) {
        let priority = self.job.priority.min(MAX_PRIORITY);
        (MAX_PRIORITY - priority, self.admitted_at)
    }

    /// Returns the memory in MB that the statement requests on an engine that has `total_mb`.
    pub(super) fn requested_mb(&self, total_mb: f64) -> f64 {
        let requested = self.job.memory_grant_mb.unwrap_or(self.job.memory_mb);
        requested.min(total_mb)
    }

    /// Grants memory. If it is less than the statement needs, adds work in proportion to the missing fraction.
    pub(super) fn grant_memory(&mut self, granted_mb: f64, spill_factor: f64) {
        self.granted_mb = Some(granted_mb);
        if granted_mb < self.job.memory_mb {
            let missing_fraction = 1.0 - granted_mb / self.job.memory_mb;
            self.remaining_work *= 1.0 + spill_factor * missing_fraction;
            self.total_work = self.remaining_work;
        }
    }

    /// Returns whether the statement has locked a data set.
    pub(super) fn has_locked(&self, data_set: u64) -> bool {
        self.job.locks_data_sets
            && (self.job.data_set == Some(data_set) || self.has_acquired_second(data_set))
    }

    fn has_acquired_second(&self, data_set: u64) -> bool {
        let is_second = self
            .job
            .second_data_set
            .is_some_and(|second| second.data_set == data_set);
        is_second
            && self.granted_mb.is_some()
            && self
                .remaining_at_second_data_set()
                .is_some_and(|threshold| self.remaining_work < threshold)
    }

    /// Returns the second data set once the statement needs it.
    pub(super) fn needed_second_data_set(&self) -> Option<u64> {
        let threshold = self.remaining_at_second_data_set()?;
        let needed = self.remaining_work <= threshold + WORK_TOLERANCE_MICROS;
        let second = self.job.second_data_set.filter(|_| needed)?;
        Some(second.data_set)
    }

    /// Returns the remaining work at which the statement needs its second data set.
    fn remaining_at_second_data_set(&self) -> Option<f64> {
        let second = self.job.second_data_set?;
        Some(self.job.work * (1.0 - second.needed_from))
    }

    /// Returns the work until the statement needs its second data set or ends.
    pub(super) fn work_to_next_event(&self) -> f64 {
        self.remaining_at_second_data_set()
            .filter(|threshold| self.remaining_work > *threshold + WORK_TOLERANCE_MICROS)
            .map_or(self.remaining_work, |threshold| {
                self.remaining_work - threshold
            })
    }

    /// Runs for `micros` at a rate in work per µs.
    pub(super) fn run(&mut self, rate: f64, micros: u64) {
        self.remaining_work -= rate * micros as f64;
        self.run_micros += micros;
    }

    pub(super) fn progress(&self, blocked: Option<BlockedState>) -> ExecutionProgress {
        let total = self.total_work.max(1.0);
        ExecutionProgress {
            completed: (1.0 - self.remaining_work / total).clamp(0.0, 1.0),
            work_done: (total - self.remaining_work).max(0.0),
            run_micros: self.run_micros,
            memory_mb: self.granted_mb.unwrap_or(0.0),
            spills: self
                .granted_mb
                .is_some_and(|granted| granted < self.job.memory_mb),
            blocked,
        }
    }
}
