//! Distributions of the values measured in runs: run time, work, work per 1000 rows, memory.

use crate::sketch::Sketch;
use crate::units::{Memory, RunTime, Work};

/// Number of rows that work per row is stored for: distributions hold whole microseconds, so that less than 1 µs for
/// one row would be lost.
pub(crate) const ROWS_UNIT: f64 = 1000.0;

/// The measured values of one run that returned its result.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Run {
    /// Run time on an engine of usual speed.
    pub(crate) run_time: RunTime,
    pub(crate) work: Option<Work>,
    /// Rows read.
    pub(crate) rows: Option<f64>,
    /// Peak memory.
    pub(crate) memory: Option<Memory>,
}

/// Distributions for one size bucket of a fingerprint, or for a class.
#[derive(Clone, Debug, Default)]
pub(crate) struct Distributions {
    /// Run time, in µs.
    pub(crate) run_time: Sketch,
    /// Work, in µs.
    pub(crate) work: Sketch,
    /// Work per [`ROWS_UNIT`] rows, in µs.
    pub(crate) work_per_1000_rows: Sketch,
    /// Memory, in MB.
    pub(crate) memory_mb: Sketch,
}

impl Distributions {
    /// Adds a run. A value that was not reported is passed as 0, which [`Sketch::add`] ignores.
    pub(crate) fn add(&mut self, run: &Run) {
        self.run_time.add(run.run_time.0);
        self.work.add(run.work.unwrap_or_default().0);
        if let (Some(work), Some(rows)) = (run.work, run.rows) {
            self.work_per_1000_rows.add(work_per_1000_rows(work, rows));
        }
        self.memory_mb.add(run.memory.unwrap_or_default().0);
    }

    /// Returns the number of added runs, with less weight on older ones.
    pub(crate) fn runs(&self) -> u64 {
        self.run_time.count()
    }
}

/// Returns the work per [`ROWS_UNIT`] rows, in µs.
pub(crate) fn work_per_1000_rows(work: Work, rows: f64) -> f64 {
    work.0 * ROWS_UNIT / rows.max(1.0)
}
