//! Statistics of each class, learned from its successes: mean work, mean run time and unloaded run time.

use crate::interface::{Class, Micros};
use crate::units::{RunTime, Threads, Work};

/// Run time assumed before the first success, as a fraction of the class's deadline.
const INITIAL_RUN_TIME_RATIO: f64 = 0.1;
/// Weight of a new sample in the means once there are enough samples.
const MIN_SAMPLE_WEIGHT: f64 = 0.03;
/// While a new sample weighs more than this (fewer than eight samples), the unloaded run time follows the mean instead
/// of its minimum.
const FEW_SAMPLES_WEIGHT: f64 = 0.125;

/// Statistics of a class.
pub(crate) struct ClassStatistics {
    mean_work: Work,
    mean_run_time: RunTime,
    /// Minimum of the mean run time since there were enough samples.
    unloaded_run_time: RunTime,
    /// Number of samples, as a float because it is only used as a weight.
    samples: f64,
}

impl ClassStatistics {
    /// Creates initial statistics, estimated from the class's deadline.
    pub(crate) fn new(class: &Class) -> Self {
        let run_time = RunTime((class.deadline as f64 * INITIAL_RUN_TIME_RATIO).max(1.0));
        ClassStatistics {
            mean_work: run_time * class.threads(),
            mean_run_time: run_time,
            unloaded_run_time: run_time,
            samples: 0.0,
        }
    }

    pub(crate) fn mean_work(&self) -> Work {
        self.mean_work
    }

    pub(crate) fn mean_run_time(&self) -> RunTime {
        self.mean_run_time
    }

    /// Returns the run time on an unloaded engine.
    pub(crate) fn unloaded_run_time(&self) -> RunTime {
        self.unloaded_run_time
    }

    pub(crate) fn has_samples(&self) -> bool {
        self.samples > 0.0
    }

    /// Adds a success. Without reported work, the run time times the threads is used instead, which overestimates the
    /// work rather than underestimating it.
    pub(crate) fn record_success(
        &mut self,
        elapsed: Micros,
        threads: Threads,
        reported_work: Option<Micros>,
    ) {
        let run_time = RunTime(elapsed as f64);
        let work = reported_work
            .map_or(run_time * threads, |work| Work(work as f64))
            .max(Work(1.0));
        self.samples += 1.0;
        let weight = (1.0 / self.samples).max(MIN_SAMPLE_WEIGHT);
        self.mean_work += (work - self.mean_work) * weight;
        self.mean_run_time += (run_time - self.mean_run_time) * weight;
        self.unloaded_run_time = if weight > FEW_SAMPLES_WEIGHT {
            self.mean_run_time
        } else {
            self.unloaded_run_time.min(self.mean_run_time)
        };
    }
}

/// Configuration and statistics of all classes, by class number.
#[derive(Clone, Copy)]
pub(crate) struct Classes<'a> {
    configs: &'a [Class],
    statistics: &'a [ClassStatistics],
}

impl<'a> Classes<'a> {
    pub(crate) fn new(configs: &'a [Class], statistics: &'a [ClassStatistics]) -> Self {
        Classes {
            configs,
            statistics,
        }
    }

    pub(crate) fn count(&self) -> usize {
        self.statistics.len()
    }

    pub(crate) fn config(&self, class: usize) -> &'a Class {
        &self.configs[class]
    }

    pub(crate) fn statistics(&self, class: usize) -> &'a ClassStatistics {
        &self.statistics[class]
    }

    /// Returns the priority weight per microsecond of work of an average query.
    pub(crate) fn weight_per_work(&self, class: usize) -> f64 {
        self.configs[class].priority_weight / self.statistics[class].mean_work.max(Work(1.0)).0
    }

    /// Returns whether no other class has a higher priority weight per work.
    pub(crate) fn has_highest_weight_per_work(&self, class: usize) -> bool {
        let own = self.weight_per_work(class);
        (0..self.count()).all(|other| self.weight_per_work(other) <= own)
    }

    /// Returns the mean work of the class with the largest mean work.
    pub(crate) fn heaviest_mean_work(&self) -> Work {
        self.statistics
            .iter()
            .map(|class| class.mean_work)
            .fold(Work::ZERO, Work::max)
    }

    /// Returns the mean number of threads of a query in flight. Classes are weighted by the total run time of their
    /// queries.
    pub(crate) fn mean_threads_in_flight(&self) -> Threads {
        let (mut threads, mut queries) = (1.0, 1.0);
        for (statistics, config) in self.statistics.iter().zip(self.configs) {
            let time_in_flight = statistics.samples * statistics.mean_run_time.0;
            threads += time_in_flight * config.threads;
            queries += time_in_flight;
        }
        Threads(threads / queries)
    }
}
