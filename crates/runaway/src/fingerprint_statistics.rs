//! Statistics of one fingerprint, by announced size, and of one class.

use std::collections::BTreeMap;
use std::rc::Rc;

use hoptiller_policy::Micros;

use crate::distributions::Distributions;
use crate::expectation::MIN_RUNS_KNOWN;
use crate::sketch::Sketch;

/// Number of size buckets of a fingerprint; bucket n begins at 2^n.
const SIZE_BUCKETS: u8 = 24;
/// Exponent of the largest factor by which a statement is assumed to exceed earlier ones of its fingerprint: 2^20.
const MAX_SCALE_EXPONENT: u8 = 20;

/// Statistics of a class.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassStatistics {
    pub(crate) distributions: Distributions,
    /// Ratios of work to its estimate, in thousandths.
    pub(crate) estimate_ratios: Sketch,
}

/// Statistics of a fingerprint.
#[derive(Clone, Debug)]
pub(crate) struct FingerprintStatistics {
    pub(crate) class: usize,
    /// The display text of the fingerprint.
    pub(crate) label: Rc<str>,
    /// Distributions by size bucket.
    pub(crate) by_size: BTreeMap<u8, Distributions>,
    /// Ratios of work to its estimate, in thousandths.
    pub(crate) estimate_ratios: Sketch,
    /// Runs over the bound, which are used only after they are adopted.
    pub(crate) over_bound: Distributions,
    /// The time at which the latest statement of the fingerprint arrived.
    pub(crate) last_use: Micros,
}

impl FingerprintStatistics {
    /// Creates the statistics of a fingerprint without runs.
    pub(crate) fn new(class: usize, label: Rc<str>, now: Micros) -> FingerprintStatistics {
        FingerprintStatistics {
            class,
            label,
            by_size: BTreeMap::new(),
            estimate_ratios: Sketch::default(),
            over_bound: Distributions::default(),
            last_use: now,
        }
    }

    /// Returns whether the fingerprint has enough runs to be assessed separately from its class.
    pub(crate) fn is_known(&self) -> bool {
        let runs: u64 = self.by_size.values().map(Distributions::runs).sum();
        runs >= MIN_RUNS_KNOWN
    }

    /// Returns the distributions for statements of an announced size.
    pub(crate) fn for_size(&mut self, size: u64) -> &mut Distributions {
        self.by_size.entry(bucket(size)).or_default()
    }

    /// Returns the distributions of the nearest size bucket and the factor to scale them by. A larger statement may
    /// take proportionally more; the bound of a smaller one is not scaled down.
    pub(crate) fn nearest_size(&self, size: u64) -> (Option<&Distributions>, f64) {
        let requested = bucket(size);
        let known = self
            .by_size
            .iter()
            .filter(|(_, distributions)| distributions.runs() >= MIN_RUNS_KNOWN);
        let nearest = known.min_by_key(|(bucket, _)| (bucket.abs_diff(requested), **bucket));
        // If no size bucket has enough runs yet, the one with the most runs is used.
        let nearest = nearest.or_else(|| self.by_size.iter().max_by_key(|(_, sizes)| sizes.runs()));
        match nearest {
            Some((bucket, distributions)) => {
                let exponent = requested.saturating_sub(*bucket).min(MAX_SCALE_EXPONENT);
                (Some(distributions), f64::from(1u32 << exponent))
            }
            None => (None, 1.0),
        }
    }

    /// Replaces the usual runs with the runs over the bound. The sizes of these are not recorded, so all go to the
    /// smallest size bucket, from which larger sizes are scaled up.
    pub(crate) fn adopt_over_bound(&mut self) {
        if self.over_bound.runs() > 0 {
            let over_bound = std::mem::take(&mut self.over_bound);
            self.by_size = BTreeMap::from([(0, over_bound)]);
        }
    }
}

fn bucket(size: u64) -> u8 {
    // At most 63, the logarithm of the largest size.
    (size.max(1).ilog2() as u8).min(SIZE_BUCKETS - 1)
}
