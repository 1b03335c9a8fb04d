//! Statistics of each class, learned from its answers: mean work, mean run time, run time without load.

use crate::interface::{Class, Micros};
use crate::units::{RunTime, Threads, Work};

/// Run time that is assumed until answers come, as a part of the class's deadline.
const INITIAL_RUN_TIME_RATIO: f64 = 0.1;
/// Weight of a new sample in the means, once there are enough.
const MIN_SAMPLE_WEIGHT: f64 = 0.03;
/// While a sample weighs more than this, the means are too young for their minimum to be the run time without load.
const WARM_UP_SAMPLE_WEIGHT: f64 = 0.125;

/// What the answers of a class have shown.
pub(crate) struct ClassStatistics {
    mean_work: Work,
    mean_run_time: RunTime,
    /// Least value that the mean run time has had.
    unloaded_run_time: RunTime,
    /// Number of answers, as a float since it only weighs.
    samples: f64,
}

impl ClassStatistics {
    /// Statistics of a class without answers, guessed from its deadline.
    pub(crate) fn new(class: &Class) -> Self {
        let run = RunTime((class.deadline as f64 * INITIAL_RUN_TIME_RATIO).max(1.0));
        ClassStatistics {
            mean_work: run * class.threads(),
            mean_run_time: run,
            unloaded_run_time: run,
            samples: 0.0,
        }
    }

    pub(crate) fn mean_work(&self) -> Work {
        self.mean_work
    }

    pub(crate) fn mean_run_time(&self) -> RunTime {
        self.mean_run_time
    }

    /// Run time without load.
    pub(crate) fn unloaded_run_time(&self) -> RunTime {
        self.unloaded_run_time
    }

    pub(crate) fn has_samples(&self) -> bool {
        self.samples > 0.0
    }

    /// Adds a served query. Where no work is reported, its run time on all threads stands in: too high rather than too
    /// low.
    pub(crate) fn record_success(
        &mut self,
        elapsed: Micros,
        threads: Threads,
        reported_work: Option<Micros>,
    ) {
        let run = RunTime(elapsed as f64);
        let work = reported_work
            .map_or(run * threads, |work| Work(work as f64))
            .max(Work(1.0));
        self.samples += 1.0;
        let weight = (1.0 / self.samples).max(MIN_SAMPLE_WEIGHT);
        self.mean_work += (work - self.mean_work) * weight;
        self.mean_run_time += (run - self.mean_run_time) * weight;
        self.unloaded_run_time = if weight > WARM_UP_SAMPLE_WEIGHT {
            self.mean_run_time
        } else {
            self.unloaded_run_time.min(self.mean_run_time)
        };
    }
}

/// The classes as rules see them: configuration beside statistics, by class number.
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

    /// Priority weight of a usual query per microsecond of its work.
    pub(crate) fn weight_per_work(&self, class: usize) -> f64 {
        self.configs[class].priority_weight / self.statistics[class].mean_work.max(Work(1.0)).0
    }

    /// Whether no class has more priority weight for its work.
    pub(crate) fn has_highest_weight_per_work(&self, class: usize) -> bool {
        let own = self.weight_per_work(class);
        (0..self.count()).all(|other| self.weight_per_work(other) <= own)
    }

    /// Mean work of the class whose usual query needs most.
    pub(crate) fn heaviest_mean_work(&self) -> Work {
        self.statistics
            .iter()
            .map(|class| class.mean_work)
            .fold(Work::ZERO, Work::max)
    }

    /// Mean threads of a query in flight, each class weighing by the time that its queries have run.
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
