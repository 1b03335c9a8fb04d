//! Distributions of the figures of runs: run time, work, work by rows, memory.

use crate::sketch::Sketch;
use crate::units::{Memory, RunTime, Work};

/// Work by rows is kept for this many rows: less than a microsecond for one row would be lost.
pub(crate) const ROWS_UNIT: f64 = 1000.0;

/// Figures of one run that ended with its result.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Run {
    /// Run time at an engine of usual speed.
    pub(crate) run_time: RunTime,
    pub(crate) work: Option<Work>,
    /// Rows read.
    pub(crate) rows: Option<f64>,
    /// Peak memory.
    pub(crate) memory: Option<Memory>,
}

/// Distributions of one size of a fingerprint, or of a class.
#[derive(Clone, Debug, Default)]
pub(crate) struct Distributions {
    /// Run time, in µs.
    pub(crate) run_time: Sketch,
    /// Work, in µs.
    pub(crate) work: Sketch,
    /// Work for [`ROWS_UNIT`] rows, in µs.
    pub(crate) work_by_rows: Sketch,
    /// Memory, in MB.
    pub(crate) memory_mb: Sketch,
}

impl Distributions {
    /// Adds a run; a figure that was not reported is left out.
    pub(crate) fn add(&mut self, run: &Run) {
        self.run_time.add(run.run_time.0);
        self.work.add(run.work.unwrap_or_default().0);
        if let (Some(work), Some(rows)) = (run.work, run.rows) {
            self.work_by_rows.add(work_by_rows(work, rows));
        }
        self.memory_mb.add(run.memory.unwrap_or_default().0);
    }

    /// Runs that were added, the older ones with less weight.
    pub(crate) fn runs(&self) -> u64 {
        self.run_time.count()
    }
}

/// Work for [`ROWS_UNIT`] rows, in µs.
pub(crate) fn work_by_rows(work: Work, rows: f64) -> f64 {
    work.0 * ROWS_UNIT / rows.max(1.0)
}
