//! Conclusions from a run that returned its result, about its statement, its fingerprint and its engine.

use hoptiller_policy::Micros;

use crate::attempt::RunningAttempt;
use crate::distributions::Run;
use crate::expectation::Expectation;
use crate::measures::{LONG_RUN_FACTOR, spill_tolerance};
use crate::units::RunTime;

/// Fraction of the bound up to which a run counts as clean for the hold of its fingerprint.
const CLEAN_RUN_FRACTION: f64 = 0.5;

/// A run that returned its result, compared with what was expected of it.
#[derive(Debug)]
pub(crate) struct Completion {
    /// The measured values of the run.
    pub(crate) run: Run,
    /// Whether the run was over its bound, so that it is not learned from.
    pub(crate) is_over_bound: bool,
    /// Whether the run was well within its bound.
    pub(crate) is_clean: bool,
    /// Whether the run took no more than a few times what is usual.
    pub(crate) is_usual: bool,
    /// Whether the run finished within the usual run time, although its reported work may exceed the usual work.
    pub(crate) finished_in_usual_time: bool,
    /// Ratio of the run time to the usual one, if it indicates the speed of the engine.
    pub(crate) engine_slowdown: Option<f64>,
}

impl Completion {
    /// Compares an attempt that ended now with its expectation. `slowness` is the factor of its engine; `was_runaway`
    /// indicates whether the attempt was found to be a runaway.
    pub(crate) fn new(
        now: Micros,
        attempt: &RunningAttempt,
        expectation: &Expectation,
        slowness: f64,
        was_runaway: bool,
    ) -> Completion {
        let active = RunTime(attempt.active_time(now).0.max(1.0));
        let run_time = active.at_usual_speed(slowness);
        let (value, expected) = match attempt.work() {
            Some(work) => (work.0, expectation.work.to_f64()),
            None => (run_time.0, expectation.run_time.to_f64()),
        };
        let is_over_bound = was_runaway || value > expected.bound * spill_tolerance(attempt);
        // Waits that were only inferred are not subtracted from the run time.
        let excludes_wait_time = !attempt.is_blocked() || attempt.blocked_time() > 0;
        let usual_run_time = expectation.run_time.usual;
        Completion {
            run: Run {
                run_time,
                work: attempt.work(),
                rows: attempt.progress().rows.map(|rows| rows as f64),
                memory: attempt.memory(),
            },
            is_over_bound,
            is_clean: value <= expected.bound * CLEAN_RUN_FRACTION,
            is_usual: value < expected.usual * LONG_RUN_FACTOR,
            finished_in_usual_time: attempt.work().is_some() && active < usual_run_time,
            engine_slowdown: (expectation.is_known && !is_over_bound && excludes_wait_time)
                .then(|| active.0 / usual_run_time.0.max(1.0)),
        }
    }
}
