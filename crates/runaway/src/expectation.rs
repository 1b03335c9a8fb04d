//! What is usual of a figure, and the bound over it: by the runs of a fingerprint, by those of its class while the
//! fingerprint is new, by the settings while the class is new.

use crate::distributions::Distributions;
use crate::interface::{Basis, Class};
use crate::sketch::Sketch;
use crate::units::{Memory, Quantity, RunTime, Work};

/// The bound as a multiple of the median. Ten times the median is a large statement that must pass; the rest is
/// tolerance for the precision of the median and noise in progress reports.
const BOUND_OVER_MEDIAN: f64 = 12.0;
/// The bound as a multiple of the 99th percentile; the larger of both applies.
const BOUND_OVER_P99: f64 = 2.0;
/// The bound of memory as a multiple of the median.
const MEMORY_BOUND_OVER_MEDIAN: f64 = 4.0;
/// Factor on the bound of the class while a fingerprint is unknown.
const UNKNOWN_FACTOR: f64 = 2.0;
/// Runs from which the bound of the class no longer applies to a fingerprint.
const MIN_RUNS_FOR_OWN_BOUND: u64 = 30;
/// Runs from which a fingerprint is known, and its median is what is usual.
pub(crate) const MIN_RUNS_KNOWN: u64 = 10;
/// Runs of a class from which its distributions are used.
const MIN_CLASS_RUNS: u64 = 20;
/// An estimate is used where earlier estimates were right within this factor.
const MAX_ESTIMATE_ERROR: f64 = 4.0;
/// The largest factor by which an estimate raises what is expected.
const MAX_ESTIMATE_FACTOR: f64 = 1e4;
/// Work against its estimate is kept in thousandths: distributions hold whole numbers.
const ACCURACY_UNIT: f64 = 1000.0;

/// What is usual of a quantity, and from where on it is too much.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Expected<Q> {
    /// The median.
    pub(crate) usual: Q,
    /// The bound.
    pub(crate) bound: Q,
    /// What both rest on.
    pub(crate) basis: Basis,
}

impl<Q: Quantity> Expected<Q> {
    fn from_figures(figures: Expected<f64>) -> Expected<Q> {
        Expected {
            usual: Q::from_figure(figures.usual),
            bound: Q::from_figure(figures.bound),
            basis: figures.basis,
        }
    }

    /// The figures alone, to be compared with one of the same quantity.
    pub(crate) fn figures(self) -> Expected<f64> {
        Expected {
            usual: self.usual.figure(),
            bound: self.bound.figure(),
            basis: self.basis,
        }
    }

    /// The same with a bound that is larger by a factor.
    pub(crate) fn with_bound_factor(self, factor: f64) -> Expected<Q> {
        Expected {
            bound: Q::from_figure(self.bound.figure() * factor),
            ..self
        }
    }

    /// The same for a statement that is larger by a factor.
    pub(crate) fn scaled(self, factor: f64) -> Expected<Q> {
        Expected {
            usual: Q::from_figure(self.usual.figure() * factor),
            ..self.with_bound_factor(factor)
        }
    }
}

/// What is expected of one statement.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Expectation {
    /// Its run time.
    pub(crate) run_time: Expected<RunTime>,
    /// Its work.
    pub(crate) work: Expected<Work>,
    /// Its memory, where known.
    pub(crate) memory: Option<Expected<Memory>>,
    /// Its usual work for [`ROWS_UNIT`](crate::distributions::ROWS_UNIT) rows, in µs, where known.
    pub(crate) work_by_rows: Option<f64>,
    /// Whether its fingerprint is known.
    pub(crate) is_known: bool,
}

/// What is expected of a quantity by the distributions of the fingerprint and of the class. `scale` is the factor by
/// which the statement is larger than those of `own`; `by_settings` is what it should take according to the settings.
pub(crate) fn expected_quantity<Q: Quantity>(
    own: Option<&Sketch>,
    scale: f64,
    of_class: &Sketch,
    by_settings: Q,
    class_settings: &Class,
) -> Expected<Q> {
    let by_settings = by_settings.figure();
    Expected::from_figures(expected_figure(
        own,
        scale,
        of_class,
        by_settings,
        class_settings,
    ))
}

fn expected_figure(
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

/// What is expected of a figure of a statement whose fingerprint has no runs.
fn expected_of_unknown(
    of_class: &Sketch,
    by_settings: f64,
    class_settings: &Class,
) -> Expected<f64> {
    if of_class.count() < MIN_CLASS_RUNS {
        // Without runs, the latency objective is what a statement should take, and it may take at least as long as
        // its clients wait. The same figure bounds its work: one thread at least runs all that time.
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

/// The expected run time of a statement of another router. That router knows its fingerprint, so the factor for unknown
/// fingerprints does not apply.
pub(crate) fn expected_of_remote(of_class: &Sketch, class_settings: &Class) -> Expected<RunTime> {
    let objective = class_settings.latency_objective as f64;
    let expected = expected_of_unknown(of_class, objective, class_settings);
    Expected::from_figures(
        match (expected.basis, bound_over(of_class, BOUND_OVER_MEDIAN)) {
            (Basis::Class(_), Some(bound)) => Expected {
                bound: bound.max(objective),
                ..expected
            },
            _ => expected,
        },
    )
}

/// The expected memory; `None` while too few runs reported theirs.
pub(crate) fn expected_memory(own: &Distributions, scale: f64) -> Option<Expected<Memory>> {
    let runs = own.memory_mb.count();
    if runs < MIN_RUNS_KNOWN {
        return None;
    }
    let usual = own.memory_mb.quantile(0.5)? * scale;
    let p99 = own.memory_mb.quantile(0.99)? * scale;
    Some(Expected::from_figures(Expected {
        usual,
        bound: (usual * MEMORY_BOUND_OVER_MEDIAN).max(p99 * BOUND_OVER_P99),
        basis: Basis::Fingerprint(runs),
    }))
}

/// The usual work for [`ROWS_UNIT`](crate::distributions::ROWS_UNIT) rows, in µs; `None` while too few runs reported
/// both.
pub(crate) fn usual_work_by_rows(own: &Distributions) -> Option<f64> {
    Some(&own.work_by_rows)
        .filter(|sketch| sketch.count() >= MIN_RUNS_KNOWN)
        .and_then(|sketch| sketch.quantile(0.5))
}

/// How accurate an estimate of the work was.
pub(crate) fn estimate_accuracy(work: Work, estimate: Work) -> f64 {
    work.0 * ACCURACY_UNIT / estimate.0.max(1.0)
}

/// The factor, at least 1, by which an estimate makes a statement larger than usual. It is 1 unless earlier estimates
/// were right: otherwise a client could hide a runaway behind a wrong estimate.
pub(crate) fn estimate_factor(estimate: Work, accuracy: &Sketch, usual: Work) -> f64 {
    if accuracy.count() < MIN_RUNS_KNOWN {
        return 1.0;
    }
    let ratio = |quantile| accuracy.quantile(quantile).unwrap_or(0.0) / ACCURACY_UNIT;
    let (low, median, high) = (ratio(0.1), ratio(0.5), ratio(0.9));
    if median <= 0.0 || low < median / MAX_ESTIMATE_ERROR || high > median * MAX_ESTIMATE_ERROR {
        return 1.0;
    }
    (estimate.0 * median / usual.0.max(1.0)).clamp(1.0, MAX_ESTIMATE_FACTOR)
}

/// The bound over a distribution; `None` if it is empty.
fn bound_over(distribution: &Sketch, over_median: f64) -> Option<f64> {
    let by_median = distribution.quantile(0.5)? * over_median;
    Some(by_median.max(distribution.quantile(0.99)? * BOUND_OVER_P99))
}
