//! What is usual: for a fingerprint, for a class while a fingerprint is new, for a size that a statement announces.
//!
//! Runs of a fingerprint count from the first, but until there are [`MIN_RUNS_FOR_OWN_BOUND`] of them, the wider of its
//! bound and that of its class applies. Runaways are not learned from; when most runs of a fingerprint are beyond its
//! bound, it has changed, and they become the new usual ([`Statistics::adopt_beyond_bound`]).
//!
//! Memory is bounded. Known and unknown fingerprints have separate quotas, so that thousands of generated texts only
//! evict each other.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

use hoptiller_policy::Micros;

use crate::interface::{Announced, Basis, Class, FingerprintId};
use crate::sketch::Sketch;

/// The bound as a multiple of the median. Ten times the median is a large statement that must pass; the rest is
/// tolerance for the precision of the median and noise in progress reports.
pub(crate) const BOUND_OVER_MEDIAN: f64 = 12.0;
/// The bound as a multiple of the 99th percentile; the larger of both applies.
const BOUND_OVER_P99: f64 = 2.0;
/// Factor on the bound of the class while a fingerprint is unknown.
const UNKNOWN_FACTOR: f64 = 2.0;
/// Runs from which the bound of the class no longer applies to a fingerprint.
pub(crate) const MIN_RUNS_FOR_OWN_BOUND: u64 = 30;
/// Runs from which a fingerprint is known, and its median is what is usual.
pub(crate) const MIN_RUNS_KNOWN: u64 = 10;
/// Runs of a class from which its distributions are used.
const MIN_CLASS_RUNS: u64 = 20;
/// An estimate is used where earlier estimates were right within this factor.
const MAX_ESTIMATE_ERROR: f64 = 4.0;
/// Unknown fingerprints may use one place in this many.
const UNKNOWN_QUOTA_DIVISOR: usize = 4;
/// Size buckets of a fingerprint: powers of two.
const SIZE_BUCKETS: usize = 24;

/// Figures of one run.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Run {
    /// Run time without blocked time, divided by the slowness of the engine, in µs.
    pub(crate) ran: f64,
    /// Work, in µs.
    pub(crate) work: Option<f64>,
    /// Rows read.
    pub(crate) rows: Option<f64>,
    /// Memory, in MB.
    pub(crate) memory: Option<f64>,
}

/// Distributions of one size of a fingerprint, or of a class.
#[derive(Clone, Debug, Default)]
pub(crate) struct Distributions {
    pub(crate) run: Sketch,
    pub(crate) work: Sketch,
    /// Work for a thousand rows, in µs.
    pub(crate) per_rows: Sketch,
    pub(crate) memory: Sketch,
}

impl Distributions {
    fn learn(&mut self, run: &Run) {
        self.run.add(run.ran);
        self.work.add(run.work.unwrap_or(0.0));
        if let (Some(work), Some(rows)) = (run.work, run.rows) {
            self.per_rows.add(work * 1000.0 / rows.max(1.0));
        }
        self.memory.add(run.memory.unwrap_or(0.0));
    }
}

/// Distributions of a class.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassStatistics {
    pub(crate) distributions: Distributions,
    /// Work against the estimate, in thousandths.
    pub(crate) estimate_accuracy: Sketch,
}

/// Distributions of a fingerprint.
#[derive(Clone, Debug)]
pub(crate) struct FingerprintStatistics {
    pub(crate) class: usize,
    pub(crate) label: Rc<str>,
    /// By size bucket.
    pub(crate) sizes: BTreeMap<u8, Distributions>,
    /// Work against the estimate, in thousandths.
    pub(crate) estimate_accuracy: Sketch,
    /// Runs beyond the bound, which are used only once they are adopted.
    pub(crate) beyond_bound: Distributions,
    pub(crate) last_use: Micros,
}

impl FingerprintStatistics {
    fn runs(&self) -> u64 {
        self.sizes.values().map(|f| f.run.count()).sum()
    }
}

/// What is usual of a figure, and from where on it is too much.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Expected {
    /// The median.
    pub(crate) usual: f64,
    /// The bound.
    pub(crate) bound: f64,
    /// What both rest on.
    pub(crate) basis: Basis,
}

/// What is expected of one statement.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Expectation {
    /// Its run time, in µs.
    pub(crate) run: Expected,
    /// Its work, in µs.
    pub(crate) work: Expected,
    /// Its usual memory, in MB, where known.
    pub(crate) memory: Option<Expected>,
    /// Its usual work for a thousand rows, in µs, where known.
    pub(crate) per_rows: Option<f64>,
    /// Whether its fingerprint is known.
    pub(crate) known: bool,
}

/// Statistics of all fingerprints and classes.
#[derive(Debug)]
pub(crate) struct Statistics {
    max_fingerprints: usize,
    pub(crate) fingerprints: HashMap<FingerprintId, FingerprintStatistics>,
    pub(crate) classes: Vec<ClassStatistics>,
    /// Unknown and known fingerprints by the time of their last use.
    by_last_use: [BTreeSet<(Micros, FingerprintId)>; 2],
}

impl Statistics {
    /// Empty statistics of some classes, for so many fingerprints at most.
    pub(crate) fn new(classes: usize, max_fingerprints: usize) -> Statistics {
        Statistics {
            max_fingerprints: max_fingerprints.max(UNKNOWN_QUOTA_DIVISOR),
            fingerprints: HashMap::new(),
            classes: vec![ClassStatistics::default(); classes],
            by_last_use: [BTreeSet::new(), BTreeSet::new()],
        }
    }

    /// Adds or removes classes at the end.
    pub(crate) fn resize_classes(&mut self, classes: usize) {
        self.classes.resize(classes, ClassStatistics::default());
    }

    /// Number of fingerprints with statistics.
    pub(crate) fn len(&self) -> usize {
        self.fingerprints.len()
    }

    /// Whether a fingerprint has run often enough to be judged apart from its class.
    pub(crate) fn is_known(&self, fingerprint: FingerprintId) -> bool {
        self.fingerprints
            .get(&fingerprint)
            .is_some_and(|k| k.runs() >= MIN_RUNS_KNOWN)
    }

    /// Number of known fingerprints of a class.
    pub(crate) fn known_in_class(&self, class: usize) -> usize {
        let known = self.by_last_use[1]
            .iter()
            .filter_map(|(_, id)| self.fingerprints.get(id));
        known.filter(|k| k.class == class).count()
    }

    /// Records that a statement of a fingerprint arrived. Evicts the least recently used fingerprint if there is no room.
    pub(crate) fn record_arrival(
        &mut self,
        fingerprint: FingerprintId,
        class: usize,
        label: &Rc<str>,
        now: Micros,
    ) {
        let known = usize::from(self.is_known(fingerprint));
        let k = self
            .fingerprints
            .entry(fingerprint)
            .or_insert_with(|| FingerprintStatistics {
                class,
                label: label.clone(),
                sizes: BTreeMap::new(),
                estimate_accuracy: Sketch::default(),
                beyond_bound: Distributions::default(),
                last_use: now,
            });
        for line in &mut self.by_last_use {
            line.remove(&(k.last_use, fingerprint));
        }
        k.last_use = now;
        self.by_last_use[known].insert((now, fingerprint));
        self.evict_excess();
    }

    fn evict_excess(&mut self) {
        let max_unknown = self.max_fingerprints / UNKNOWN_QUOTA_DIVISOR;
        for (line, most) in self
            .by_last_use
            .iter_mut()
            .zip([max_unknown, self.max_fingerprints - max_unknown])
        {
            while line.len() > most {
                let Some((_, oldest)) = line.pop_first() else {
                    break;
                };
                self.fingerprints.remove(&oldest);
            }
        }
    }

    pub(crate) fn restore(
        &mut self,
        fingerprint: FingerprintId,
        statistics: FingerprintStatistics,
    ) {
        let known = usize::from(statistics.runs() >= MIN_RUNS_KNOWN);
        self.by_last_use[known].insert((statistics.last_use, fingerprint));
        self.fingerprints.insert(fingerprint, statistics);
        self.evict_excess();
    }

    /// What is expected of a statement of this fingerprint and class that announces this.
    pub(crate) fn expectation(
        &self,
        fingerprint: FingerprintId,
        class: usize,
        class_settings: &Class,
        announced: Announced,
    ) -> Expectation {
        let ClassStatistics {
            distributions: of_class,
            estimate_accuracy: class_accuracy,
        } = &self.classes[class];
        let statistics = self.fingerprints.get(&fingerprint);
        let (own, scale) = statistics.map_or((None, 1.0), |k| k.of_size(announced.size));
        let objective = class_settings.latency_objective as f64;
        let run = expected(
            own.map(|f| &f.run),
            &of_class.run,
            scale,
            objective,
            class_settings,
        );
        let work = expected(
            own.map(|f| &f.work),
            &of_class.work,
            scale,
            objective * class_settings.threads,
            class_settings,
        );
        let accuracy = statistics
            .map(|k| &k.estimate_accuracy)
            .filter(|h| h.count() >= MIN_RUNS_KNOWN)
            .unwrap_or(class_accuracy);
        let more = announced
            .estimate
            .map_or(1.0, |e| larger_by(e as f64, accuracy, work.usual));
        let larger = |e: Expected| Expected {
            usual: e.usual * more,
            bound: e.bound * more,
            ..e
        };
        let memory = own
            .filter(|f| f.memory.count() >= MIN_RUNS_KNOWN)
            .and_then(|f| {
                let (usual, top) = (
                    f.memory.quantile(0.5)? * scale,
                    f.memory.quantile(0.99)? * scale,
                );
                let bound = (usual * MAX_ESTIMATE_ERROR).max(top * BOUND_OVER_P99);
                Some(Expected {
                    usual,
                    bound,
                    basis: Basis::Fingerprint(f.memory.count()),
                })
            });
        let per_rows = own
            .filter(|f| f.per_rows.count() >= MIN_RUNS_KNOWN)
            .and_then(|f| f.per_rows.quantile(0.5));
        let known = statistics.is_some_and(|k| k.runs() >= MIN_RUNS_KNOWN);
        Expectation {
            run: larger(run),
            work: larger(work),
            memory: memory.map(larger),
            per_rows,
            known,
        }
    }

    /// The expected run time in a class, for statements of which no more is known.
    pub(crate) fn class_expectation(&self, class: usize, class_settings: &Class) -> Expected {
        let (run, usual) = (
            &self.classes[class].distributions.run,
            class_settings.latency_objective as f64,
        );
        let expected = expected(None, run, 1.0, usual, class_settings);
        // Another router knows its fingerprint: the factor for unknown fingerprints does not apply.
        match (expected.basis, bound(run, BOUND_OVER_MEDIAN)) {
            (Basis::Class(_), Some(bound)) => Expected {
                bound: bound.max(usual),
                ..expected
            },
            _ => expected,
        }
    }

    /// Learns from a run that was within its bound.
    pub(crate) fn learn(
        &mut self,
        fingerprint: FingerprintId,
        class: usize,
        announced: Announced,
        run: &Run,
    ) {
        self.classes[class].distributions.learn(run);
        let accuracy_sample = announced
            .estimate
            .zip(run.work)
            .map(|(e, work)| work * 1000.0 / (e as f64).max(1.0));
        self.classes[class]
            .estimate_accuracy
            .add(accuracy_sample.unwrap_or(0.0));
        let Some(k) = self.fingerprints.get_mut(&fingerprint) else {
            return;
        };
        let was_known = k.runs() >= MIN_RUNS_KNOWN;
        k.estimate_accuracy.add(accuracy_sample.unwrap_or(0.0));
        k.sizes
            .entry(bucket(announced.size))
            .or_default()
            .learn(run);
        if !was_known && k.runs() >= MIN_RUNS_KNOWN {
            let at = (k.last_use, fingerprint);
            self.by_last_use[0].remove(&at);
            self.by_last_use[1].insert(at);
            self.evict_excess();
        }
    }

    /// Records a run beyond its bound, which is not learned from yet. Returns how many there have been.
    pub(crate) fn record_beyond_bound(&mut self, fingerprint: FingerprintId, run: &Run) -> u64 {
        let Some(k) = self.fingerprints.get_mut(&fingerprint) else {
            return 0;
        };
        k.beyond_bound.learn(run);
        k.beyond_bound.run.count()
    }

    /// The fingerprint has changed: runs beyond its bound become the usual ones.
    pub(crate) fn adopt_beyond_bound(&mut self, fingerprint: FingerprintId) {
        let Some(k) = self.fingerprints.get_mut(&fingerprint) else {
            return;
        };
        if k.beyond_bound.run.count() > 0 {
            let beyond = std::mem::take(&mut k.beyond_bound);
            k.sizes = BTreeMap::from([(0, beyond)]);
        }
    }

    /// The fingerprint has not changed: runs beyond its bound were outliers.
    pub(crate) fn discard_beyond_bound(&mut self, fingerprint: FingerprintId) {
        if let Some(k) = self.fingerprints.get_mut(&fingerprint) {
            k.beyond_bound = Distributions::default();
        }
    }
}

impl FingerprintStatistics {
    /// The distributions of the nearest size, and the factor to scale them by: a larger statement may take more in
    /// proportion; the bound of a smaller one is not scaled down.
    fn of_size(&self, size: u64) -> (Option<&Distributions>, f64) {
        let want = bucket(size);
        let taught = self
            .sizes
            .iter()
            .filter(|(_, f)| f.run.count() >= MIN_RUNS_KNOWN);
        let nearest = taught.min_by_key(|(b, _)| (b.abs_diff(want), **b));
        // Until one size is known, the one with the most runs.
        let nearest = nearest.or_else(|| self.sizes.iter().max_by_key(|(_, f)| f.run.count()));
        match nearest {
            Some((b, figures)) => (
                Some(figures),
                f64::from(1u32 << want.saturating_sub(*b).min(20)),
            ),
            None => (None, 1.0),
        }
    }
}

fn bucket(size: u64) -> u8 {
    (size.max(1).ilog2() as usize).min(SIZE_BUCKETS - 1) as u8
}

/// The bound over a distribution, at `far` times its median.
fn bound(of: &Sketch, far: f64) -> Option<f64> {
    Some((of.quantile(0.5)? * far).max(of.quantile(0.99)? * BOUND_OVER_P99))
}

fn expected(
    own: Option<&Sketch>,
    class: &Sketch,
    scale: f64,
    by_settings: f64,
    class_settings: &Class,
) -> Expected {
    let floor = by_settings;
    let of_class = if class.count() >= MIN_CLASS_RUNS {
        let usual = class.quantile(0.5).unwrap_or(floor);
        let bound = bound(class, BOUND_OVER_MEDIAN * UNKNOWN_FACTOR)
            .unwrap_or(floor)
            .max(floor);
        Expected {
            usual,
            bound,
            basis: Basis::Class(class.count()),
        }
    } else {
        // Without runs, the latency objective is what a statement should take, and it may take at least as long as
        // its clients wait.
        let bound = (floor * BOUND_OVER_MEDIAN).max(class_settings.client_timeout as f64);
        Expected {
            usual: floor,
            bound,
            basis: Basis::Settings,
        }
    };
    let n = own.map_or(0, Sketch::count);
    let (Some(own), true) = (own, n > 0) else {
        return of_class;
    };
    let own_usual = own.quantile(0.5).unwrap_or(floor) * scale;
    let own_bar = bound(own, BOUND_OVER_MEDIAN).unwrap_or(floor) * scale;
    let usual = if n >= MIN_RUNS_KNOWN {
        own_usual
    } else {
        of_class.usual.max(own_usual)
    };
    if n >= MIN_RUNS_FOR_OWN_BOUND {
        Expected {
            usual,
            bound: own_bar.max(floor),
            basis: Basis::Fingerprint(n),
        }
    } else {
        Expected {
            usual,
            bound: own_bar.max(of_class.bound),
            basis: of_class.basis,
        }
    }
}

/// The factor by which an estimate makes a statement larger than usual, if earlier estimates were right.
fn larger_by(estimate: f64, accuracy: &Sketch, usual: f64) -> f64 {
    if accuracy.count() < MIN_RUNS_KNOWN {
        return 1.0;
    }
    let of = |q| accuracy.quantile(q).unwrap_or(0.0) / 1000.0;
    let (low, mid, high) = (of(0.1), of(0.5), of(0.9));
    // Otherwise a client could hide a runaway behind a wrong estimate.
    if mid <= 0.0 || low < mid / MAX_ESTIMATE_ERROR || high > mid * MAX_ESTIMATE_ERROR {
        return 1.0;
    }
    (estimate * mid / usual.max(1.0)).clamp(1.0, 1e4)
}

#[cfg(test)]
mod tests;
