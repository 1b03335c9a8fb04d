//! Comparison of an attempt's figures with what is expected of it.

use hoptiller_policy::Micros;

use crate::attempt::RunningAttempt;
use crate::distributions::work_by_rows;
use crate::expectation::{Expectation, Expected};
use crate::interface::{Evidence, Measure};
use crate::units::{Quantity, RunTime};

/// Attempts that have run for less are not judged.
const MIN_ACTIVE_TIME: RunTime = RunTime(1_000_000.0);
/// Error of a reported share done: it is added to the share.
const PROGRESS_ERROR: f64 = 0.02;
/// Tolerance of a figure that is projected from the share done.
const PROJECTION_TOLERANCE: f64 = 1.25;
/// Multiple of the usual run time from which a reported share done counts.
const MIN_RUN_FOR_PROGRESS: f64 = 2.0;
/// The same while the share done is still zero.
const MIN_RUN_WITHOUT_PROGRESS: f64 = 6.0;
/// Progress reports from which a reported share done counts.
const MIN_PROGRESS_REPORTS: u32 = 3;
/// An attempt that lacks memory and spills repeats work through no fault of its own.
const SPILL_TOLERANCE: f64 = 3.0;
/// Multiple of the usual figure from which an attempt counts as long for a change of its fingerprint.
pub(crate) const LONG_RUN_FACTOR: f64 = 4.0;
/// Multiple of the usual work by rows that shows a bad plan.
const BAD_PLAN_FACTOR: f64 = 4.0;

/// A figure must be over its bound for this long; work already done needs no confirmation.
pub(crate) const CONFIRMATION_TIME: Micros = 3_000_000;
/// Number of blocked attempts from which their blocker is judged by a part of its bound.
pub(crate) const MANY_WAITERS: usize = 8;
/// That part.
pub(crate) const MANY_WAITERS_BOUND_FACTOR: f64 = 0.25;

/// A figure of an attempt that is over its bound.
#[derive(Clone, Debug)]
pub(crate) struct Excess {
    pub(crate) evidence: Evidence,
    /// It is work already done, which needs no confirmation over time.
    pub(crate) is_certain: bool,
}

/// A figure of an attempt and what is expected of it.
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
            value: value.figure(),
            expected: expected.figures(),
            tolerance: 1.0,
        }
    }

    /// The total that is projected from the share done, from 0 to 1.
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

/// Evidence of a value against what is expected of it.
pub(crate) fn evidence<Q: Quantity>(measure: Measure, value: Q, expected: Expected<Q>) -> Evidence {
    Evidence {
        measure,
        figure: value.figure(),
        usual: expected.usual.figure(),
        bound: expected.bound.figure(),
        basis: expected.basis,
    }
}

/// Factor by which an attempt may exceed its bounds.
pub(crate) fn spill_tolerance(attempt: &RunningAttempt) -> f64 {
    if attempt.progress().spills {
        SPILL_TOLERANCE
    } else {
        1.0
    }
}

/// All figures of an attempt that can be compared. `slowness` is the factor of its engine.
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
            MIN_RUN_FOR_PROGRESS
        } else {
            MIN_RUN_WITHOUT_PROGRESS
        };
        attempt.progress_reports() >= MIN_PROGRESS_REPORTS
            && active.0 >= min_run * expectation.run_time.usual.0
    });
    let projected = done.map(|done| so_far.projected(done));
    std::iter::once(so_far).chain(projected).collect()
}

/// Whether an attempt takes several times what is usual for its fingerprint. `slowness` is the factor of its engine.
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

/// The figure that is furthest over its bound, if any is. `bound_factor` scales all bounds.
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

/// Whether an attempt does far more work for its rows than is usual for its fingerprint.
pub(crate) fn has_bad_plan(attempt: &RunningAttempt, expectation: &Expectation) -> bool {
    let (Some(work), Some(rows), Some(usual)) = (
        attempt.work(),
        attempt.progress().rows,
        expectation.work_by_rows,
    ) else {
        return false;
    };
    work_by_rows(work, rows as f64) > BAD_PLAN_FACTOR * usual
}
