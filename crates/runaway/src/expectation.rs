//! The usual value of a quantity and the bound above it: based on the runs of the fingerprint, on the runs of its class
//! while the fingerprint is new, and on the settings while the class is new.

use crate::distributions::Distributions;
use crate::interface::{Basis, Class};
use crate::sketch::Sketch;
use crate::units::{Memory, Quantity, RunTime, Work};

/// Bound as a multiple of the median. Statements of ten times the median are large but legitimate; the margin above
/// that covers the precision of the median and noise in progress reports.
const BOUND_OVER_MEDIAN: f64 = 12.0;
/// Bound as a multiple of the 99th percentile; the larger of both bounds applies.
const BOUND_OVER_P99: f64 = 2.0;
/// Memory bound as a multiple of the median.
const MEMORY_BOUND_OVER_MEDIAN: f64 = 4.0;
/// Factor by which the class bound is raised for unknown fingerprints.
const UNKNOWN_FACTOR: f64 = 2.0;
/// Number of runs from which the bound of the class no longer applies to a fingerprint.
const MIN_RUNS_FOR_OWN_BOUND: u64 = 30;
/// Number of runs from which a fingerprint is known, so that its own median is the usual value.
pub(crate) const MIN_RUNS_KNOWN: u64 = 10;
/// Number of runs of a class from which its distributions are used.
const MIN_CLASS_RUNS: u64 = 20;
/// Estimates are used only if the 10th and 90th percentiles of earlier ratios of work to estimate are within this
/// factor of the median ratio.
const MAX_ESTIMATE_ERROR: f64 = 4.0;
/// Largest factor by which an estimate raises what is expected.
const MAX_ESTIMATE_FACTOR: f64 = 1e4;
/// Scale of the stored ratio of work to its estimate: distributions hold whole numbers, so it is kept in thousandths.
const ESTIMATE_RATIO_UNIT: f64 = 1000.0;

/// The usual value of a quantity, and the bound from which on it is excessive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Expected<Q> {
    /// The median, or the latency objective while there are no runs.
    pub(crate) usual: Q,
    /// The bound.
    pub(crate) bound: Q,
    /// The data that both values are based on.
    pub(crate) basis: Basis,
}

impl<Q: Quantity> Expected<Q> {
    fn from_f64(values: Expected<f64>) -> Expected<Q> {
        Expected {
            usual: Q::from_value(values.usual),
            bound: Q::from_value(values.bound),
            basis: values.basis,
        }
    }

    /// Returns the plain values, for comparisons with a value of the same quantity.
    pub(crate) fn to_f64(self) -> Expected<f64> {
        Expected {
            usual: self.usual.value(),
            bound: self.bound.value(),
            basis: self.basis,
        }
    }

    /// Returns the expectation with its bound multiplied by a factor.
    pub(crate) fn with_bound_factor(self, factor: f64) -> Expected<Q> {
        Expected {
            bound: Q::from_value(self.bound.value() * factor),
            ..self
        }
    }

    /// Returns the expectation for a statement that is larger by a factor.
    pub(crate) fn scaled(self, factor: f64) -> Expected<Q> {
        Expected {
            usual: Q::from_value(self.usual.value() * factor),
            ..self.with_bound_factor(factor)
        }
    }
}

/// The expected quantities of one statement.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Expectation {
    /// The expected run time.
    pub(crate) run_time: Expected<RunTime>,
    /// The expected work.
    pub(crate) work: Expected<Work>,
    /// The expected memory, if known.
    pub(crate) memory: Option<Expected<Memory>>,
    /// The usual work per [`ROWS_UNIT`](crate::distributions::ROWS_UNIT) rows, in µs, if known.
    pub(crate) work_per_1000_rows: Option<f64>,
    /// Whether the statement's fingerprint is known.
    pub(crate) is_known: bool,
}

/// Returns what is expected of a quantity, given the distributions of the fingerprint and of its class. `scale` is the
/// factor by which the statement is larger than those in `own`; `by_settings` is the value expected according to the
/// settings.
pub(crate) fn expected_quantity<Q: Quantity>(
    own: Option<&Sketch>,
    scale: f64,
    of_class: &Sketch,
    by_settings: Q,
    class_settings: &Class,
) -> Expected<Q> {
    let by_settings = by_settings.value();
    Expected::from_f64(expected_f64(
        own,
        scale,
        of_class,
        by_settings,
        class_settings,
    ))
}

fn expected_f64(
    own: Option<&Sketch>,
    scale: f64,
    of_class: &Sketch,
    by_settings: f64,
    class_settings: &Class,
) -> Expected<f64> {
    let by_class = expected_of_unknown(of_class, by_settings, class_settings);
    let runs = own.map_or(0, Sketch::count);
    let (Some(own), true) = (own, runs > 0) else {
        return by_class;
    };
    let own_usual = own.quantile(0.5).unwrap_or(by_settings) * scale;
    let own_bound = bound_over(own, BOUND_OVER_MEDIAN).unwrap_or(by_settings) * scale;
    let usual = if runs >= MIN_RUNS_KNOWN {
        own_usual
    } else {
        by_class.usual.max(own_usual)
    };
    if runs >= MIN_RUNS_FOR_OWN_BOUND {
        Expected {
            usual,
            bound: own_bound.max(by_settings),
            basis: Basis::Fingerprint(runs),
        }
    } else {
        Expected {
            usual,
            bound: own_bound.max(by_class.bound),
            basis: by_class.basis,
        }
    }
}

/// Returns what is expected of a statement whose fingerprint has no runs.
fn expected_of_unknown(
    of_class: &Sketch,
    by_settings: f64,
    class_settings: &Class,
) -> Expected<f64> {
    if of_class.count() < MIN_CLASS_RUNS {
        // Without runs, a statement is expected to meet the latency objective, and it may run at least as long as its
        // clients wait. The same value bounds its work, because at least one thread runs all that time.
        let bound = (by_settings * BOUND_OVER_MEDIAN).max(class_settings.client_timeout as f64);
        return Expected {
            usual: by_settings,
            bound,
            basis: Basis::Settings,
        };
    }
    let bound = bound_over(of_class, BOUND_OVER_MEDIAN * UNKNOWN_FACTOR).unwrap_or(by_settings);
    Expected {
        usual: of_class.quantile(0.5).unwrap_or(by_settings),
        bound: bound.max(by_settings),
        basis: Basis::Class(of_class.count()),
    }
}

/// Returns the expected run time of a statement of another router. That router knows the fingerprint of the statement,
/// so the factor for unknown fingerprints does not apply.
pub(crate) fn expected_of_remote(of_class: &Sketch, class_settings: &Class) -> Expected<RunTime> {
    let objective = class_settings.latency_objective as f64;
    let expected = expected_of_unknown(of_class, objective, class_settings);
    Expected::from_f64(
        match (expected.basis, bound_over(of_class, BOUND_OVER_MEDIAN)) {
            (Basis::Class(_), Some(bound)) => Expected {
                bound: bound.max(objective),
                ..expected
            },
            _ => expected,
        },
    )
}

/// Returns the expected memory, or `None` while too few runs have reported theirs.
pub(crate) fn expected_memory(own: &Distributions, scale: f64) -> Option<Expected<Memory>> {
    let runs = own.memory_mb.count();
    if runs < MIN_RUNS_KNOWN {
        return None;
    }
    let usual = own.memory_mb.quantile(0.5)? * scale;
    let p99 = own.memory_mb.quantile(0.99)? * scale;
    Some(Expected::from_f64(Expected {
        usual,
        bound: (usual * MEMORY_BOUND_OVER_MEDIAN).max(p99 * BOUND_OVER_P99),
        basis: Basis::Fingerprint(runs),
    }))
}

/// Returns the usual work per [`ROWS_UNIT`](crate::distributions::ROWS_UNIT) rows, in µs, or `None` while too few runs
/// have reported both work and rows.
pub(crate) fn usual_work_per_1000_rows(own: &Distributions) -> Option<f64> {
    Some(&own.work_per_1000_rows)
        .filter(|sketch| sketch.count() >= MIN_RUNS_KNOWN)
        .and_then(|sketch| sketch.quantile(0.5))
}

/// Returns the ratio of the work to its estimate, in thousandths.
pub(crate) fn estimate_ratio(work: Work, estimate: Work) -> f64 {
    work.0 * ESTIMATE_RATIO_UNIT / estimate.0.max(1.0)
}

/// Returns the factor, at least 1, by which an estimate makes a statement larger than usual. The estimate is corrected
/// by the median ratio of earlier ones. The factor is 1 unless earlier ratios were consistent: otherwise a client could
/// hide a runaway behind a wrong estimate.
pub(crate) fn estimate_factor(estimate: Work, ratios: &Sketch, usual: Work) -> f64 {
    if ratios.count() < MIN_RUNS_KNOWN {
        return 1.0;
    }
    let ratio = |quantile| ratios.quantile(quantile).unwrap_or(0.0) / ESTIMATE_RATIO_UNIT;
    let (low, median, high) = (ratio(0.1), ratio(0.5), ratio(0.9));
    if median <= 0.0 || low < median / MAX_ESTIMATE_ERROR || high > median * MAX_ESTIMATE_ERROR {
        return 1.0;
    }
    (estimate.0 * median / usual.0.max(1.0)).clamp(1.0, MAX_ESTIMATE_FACTOR)
}

/// Returns the bound above a distribution, or `None` if the distribution is empty.
fn bound_over(distribution: &Sketch, over_median: f64) -> Option<f64> {
    let by_median = distribution.quantile(0.5)? * over_median;
    Some(by_median.max(distribution.quantile(0.99)? * BOUND_OVER_P99))
}
