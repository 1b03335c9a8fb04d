//! Comparison of the measured values of an attempt with what is expected of it.

use hoptiller_policy::Micros;

use crate::attempt::RunningAttempt;
use crate::distributions::work_per_1000_rows;
use crate::expectation::{Expectation, Expected};
use crate::interface::{Evidence, Measure};
use crate::units::{Quantity, RunTime};

/// Active time below which the values of an attempt are not compared with their bounds.
const MIN_ACTIVE_TIME: RunTime = RunTime(1_000_000.0);
/// Error of a reported completed fraction, which is added to the fraction.
const PROGRESS_ERROR: f64 = 0.02;
/// Tolerance of values projected from the completed fraction.
const PROJECTION_TOLERANCE: f64 = 1.25;
/// Multiple of the usual run time from which a reported completed fraction is used.
const MIN_RUN_RATIO_FOR_PROGRESS: f64 = 2.0;
/// Multiple of the usual run time from which a reported completed fraction of zero is used.
const MIN_RUN_RATIO_AT_ZERO_PROGRESS: f64 = 6.0;
/// Number of progress reports from which a reported completed fraction is used.
const MIN_PROGRESS_REPORTS: u32 = 3;
/// Factor by which the bounds of a spilling attempt are raised: for lack of memory, it repeats work that its statement
/// is not responsible for.
const SPILL_TOLERANCE: f64 = 3.0;
/// Multiple of the usual value from which an attempt counts as a long run when changes of its fingerprint are detected.
pub(crate) const LONG_RUN_FACTOR: f64 = 4.0;
/// Multiple of the usual work per row from which a plan is considered bad.
const BAD_PLAN_FACTOR: f64 = 4.0;

/// Time for which a value must exceed its bound before the excess is confirmed. Work already done that exceeds the full
/// bound needs no confirmation.
pub(crate) const CONFIRMATION_TIME: Micros = 3_000_000;
/// Number of blocked attempts from which a stricter bound applies to their blocker. Also the number of attempts that
/// must wait for memory before its largest users are runaways.
pub(crate) const MANY_WAITERS: usize = 8;
/// Factor of that stricter bound.
pub(crate) const MANY_WAITERS_BOUND_FACTOR: f64 = 0.25;

/// A measured value of an attempt that exceeds its bound.
#[derive(Clone, Debug)]
pub(crate) struct Excess {
    pub(crate) evidence: Evidence,
    /// Whether the value is work already done that exceeds the full bound. Only such an excess needs no confirmation
    /// over time; an excess of the stricter bound of a blocker does.
    pub(crate) is_certain: bool,
}

/// A measured value of an attempt and what is expected of it.
struct Measurement {
    measure: Measure,
    value: f64,
    expected: Expected<f64>,
    /// Factor by which the value may exceed the bound.
    tolerance: f64,
}

impl Measurement {
    fn new<Q: Quantity>(measure: Measure, value: Q, expected: Expected<Q>) -> Measurement {
        Measurement {
            measure,
            value: value.value(),
            expected: expected.to_f64(),
            tolerance: 1.0,
        }
    }

    /// Returns the total projected from the completed fraction, which ranges from 0 to 1.
    fn projected(&self, done: f64) -> Measurement {
        let measure = match self.measure {
            Measure::Work => Measure::WorkToCome,
            _ => Measure::RunToCome,
        };
        Measurement {
            measure,
            value: self.value / (done + PROGRESS_ERROR),
            expected: self.expected,
            tolerance: PROJECTION_TOLERANCE,
        }
    }
}

/// Creates the evidence for a value that is compared with its expectation.
pub(crate) fn evidence<Q: Quantity>(measure: Measure, value: Q, expected: Expected<Q>) -> Evidence {
    Evidence {
        measure,
        value: value.value(),
        usual: expected.usual.value(),
        bound: expected.bound.value(),
        basis: expected.basis,
    }
}

/// Returns the factor by which an attempt may exceed its bounds because it spills.
pub(crate) fn spill_tolerance(attempt: &RunningAttempt) -> f64 {
    if attempt.progress().spills {
        SPILL_TOLERANCE
    } else {
        1.0
    }
}

/// Returns all values of an attempt that can be compared with its expectation. `slowness` is the factor of its engine.
fn measurements(
    attempt: &RunningAttempt,
    expectation: &Expectation,
    now: Micros,
    slowness: f64,
) -> Vec<Measurement> {
    let active = attempt.active_time(now);
    let so_far = match attempt.work() {
        Some(work) => Measurement::new(Measure::Work, work, expectation.work),
        None => {
            let run_time = active.at_usual_speed(slowness);
            Measurement::new(Measure::Run, run_time, expectation.run_time)
        }
    };
    let done = attempt.progress().done.filter(|done| {
        let min_run = if *done > 0.0 {
            MIN_RUN_RATIO_FOR_PROGRESS
        } else {
            MIN_RUN_RATIO_AT_ZERO_PROGRESS
        };
        attempt.progress_reports() >= MIN_PROGRESS_REPORTS
            && active.0 >= min_run * expectation.run_time.usual.0
    });
    let projected = done.map(|done| so_far.projected(done));
    std::iter::once(so_far).chain(projected).collect()
}

/// Returns whether an attempt takes several times what is usual for its fingerprint. `slowness` is the factor of its
/// engine.
pub(crate) fn is_long_run(
    attempt: &RunningAttempt,
    expectation: &Expectation,
    now: Micros,
    slowness: f64,
) -> bool {
    let is_long = |m: Measurement| m.value > LONG_RUN_FACTOR * m.tolerance * m.expected.usual;
    attempt.active_time(now) >= MIN_ACTIVE_TIME
        && measurements(attempt, expectation, now, slowness)
            .into_iter()
            .any(is_long)
}

/// Returns the value with the largest ratio to its bound among those that exceed it, if any. `bound_factor` scales all
/// bounds.
pub(crate) fn largest_excess(
    attempt: &RunningAttempt,
    expectation: &Expectation,
    now: Micros,
    slowness: f64,
    bound_factor: f64,
) -> Option<Excess> {
    if attempt.active_time(now) < MIN_ACTIVE_TIME {
        return None;
    }
    let spill_tolerance = spill_tolerance(attempt);
    let ratio_over_bound = |m: Measurement| {
        let bound = m.expected.bound * m.tolerance * spill_tolerance * bound_factor;
        let expected = Expected {
            bound,
            ..m.expected
        };
        (m.value > bound).then(|| (m.value / bound, evidence(m.measure, m.value, expected)))
    };
    let largest = measurements(attempt, expectation, now, slowness)
        .into_iter()
        .filter_map(ratio_over_bound)
        .max_by(|a, b| a.0.total_cmp(&b.0));
    largest.map(|(_, evidence)| Excess {
        is_certain: evidence.measure == Measure::Work && bound_factor == 1.0,
        evidence,
    })
}

/// Returns whether an attempt does far more work per row than is usual for its fingerprint.
pub(crate) fn has_bad_plan(attempt: &RunningAttempt, expectation: &Expectation) -> bool {
    let (Some(work), Some(rows), Some(usual)) = (
        attempt.work(),
        attempt.progress().rows,
        expectation.work_per_1000_rows,
    ) else {
        return false;
    };
    work_per_1000_rows(work, rows as f64) > BAD_PLAN_FACTOR * usual
}
