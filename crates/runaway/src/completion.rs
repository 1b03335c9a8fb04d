//! What a run that ended with its result says of its statement, its fingerprint and its engine.

use hoptiller_policy::Micros;

use crate::attempt::RunningAttempt;
use crate::distributions::Run;
use crate::expectation::Expectation;
use crate::measures::{LONG_RUN_FACTOR, spill_tolerance};
use crate::units::RunTime;

/// A run within this part of its bound counts as clean for the hold of its fingerprint.
const CLEAN_RUN_PART: f64 = 0.5;

/// A run that ended with its result, compared with what was expected of it.
#[derive(Debug)]
pub(crate) struct Completion {
    /// Its figures.
    pub(crate) run: Run,
    /// It was over its bound, so that it is not learned from.
    pub(crate) is_beyond_bound: bool,
    /// It was well within its bound.
    pub(crate) is_clean: bool,
    /// It took no more than a few times what is usual.
    pub(crate) is_usual: bool,
    /// Its work was reported, and it ran for less than the usual run time.
    pub(crate) is_usual_by_time: bool,
    /// Ratio of its run time to the usual one, if that says anything of its engine.
    pub(crate) engine_sample: Option<f64>,
}

impl Completion {
    /// Compares an attempt that ended now. `slowness` is the factor of its engine; `was_runaway` tells whether it was
    /// found to be a runaway.
    pub(crate) fn new(
        now: Micros,
        attempt: &RunningAttempt,
        expectation: &Expectation,
        slowness: f64,
        was_runaway: bool,
    ) -> Completion {
        let active = RunTime(attempt.active_time(now).0.max(1.0));
        let run_time = active.at_usual_speed(slowness);
        let (figure, expected) = match attempt.work() {
            Some(work) => (work.0, expectation.work.figures()),
            None => (run_time.0, expectation.run_time.figures()),
        };
        let is_beyond_bound = was_runaway || figure > expected.bound * spill_tolerance(attempt);
        // A wait that was only inferred is part of the run time.
        let is_time_its_own = !attempt.is_blocked() || attempt.blocked_time() > 0;
        let usual_run_time = expectation.run_time.usual;
        Completion {
            run: Run {
                run_time,
                work: attempt.work(),
                rows: attempt.progress().rows.map(|rows| rows as f64),
                memory: attempt.memory(),
            },
            is_beyond_bound,
            is_clean: figure <= expected.bound * CLEAN_RUN_PART,
            is_usual: figure < expected.usual * LONG_RUN_FACTOR,
            is_usual_by_time: attempt.work().is_some() && active < usual_run_time,
            engine_sample: (expectation.is_known && !is_beyond_bound && is_time_its_own)
                .then(|| active.0 / usual_run_time.0.max(1.0)),
        }
    }
}
