//! Statistics of one fingerprint, by the size that its statements announce, and of one class.

use std::collections::BTreeMap;
use std::rc::Rc;

use hoptiller_policy::Micros;

use crate::distributions::Distributions;
use crate::expectation::MIN_RUNS_KNOWN;
use crate::sketch::Sketch;

/// Size buckets of a fingerprint: powers of two.
const SIZE_BUCKETS: u8 = 24;
/// A statement is taken to be larger by at most this power of two than those of its fingerprint that have run.
const MAX_SCALE_EXPONENT: u8 = 20;

/// Distributions of a class.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassStatistics {
    pub(crate) distributions: Distributions,
    /// Work against its estimate.
    pub(crate) estimate_accuracy: Sketch,
}

/// Distributions of a fingerprint.
#[derive(Clone, Debug)]
pub(crate) struct FingerprintStatistics {
    pub(crate) class: usize,
    /// The text of the fingerprint, for display.
    pub(crate) label: Rc<str>,
    /// By size bucket.
    pub(crate) by_size: BTreeMap<u8, Distributions>,
    /// Work against its estimate.
    pub(crate) estimate_accuracy: Sketch,
    /// Runs beyond the bound, which are used only once they are adopted.
    pub(crate) beyond_bound: Distributions,
    /// When a statement of the fingerprint last arrived.
    pub(crate) last_use: Micros,
}

impl FingerprintStatistics {
    /// A fingerprint without runs.
    pub(crate) fn new(class: usize, label: Rc<str>, now: Micros) -> FingerprintStatistics {
        FingerprintStatistics {
            class,
            label,
            by_size: BTreeMap::new(),
            estimate_accuracy: Sketch::default(),
            beyond_bound: Distributions::default(),
            last_use: now,
        }
    }

    /// Whether it has run often enough to be judged apart from its class.
    pub(crate) fn is_known(&self) -> bool {
        let runs: u64 = self.by_size.values().map(Distributions::runs).sum();
        runs >= MIN_RUNS_KNOWN
    }

    /// The distributions for statements of an announced size.
    pub(crate) fn for_size(&mut self, size: u64) -> &mut Distributions {
        self.by_size.entry(bucket(size)).or_default()
    }

    /// The distributions of the nearest size, and the factor to scale them by: a larger statement may take more in
    /// proportion; the bound of a smaller one is not scaled down.
    pub(crate) fn nearest_size(&self, size: u64) -> (Option<&Distributions>, f64) {
        let wanted = bucket(size);
        let known = self
            .by_size
            .iter()
            .filter(|(_, distributions)| distributions.runs() >= MIN_RUNS_KNOWN);
        let nearest = known.min_by_key(|(bucket, _)| (bucket.abs_diff(wanted), **bucket));
        // Until one size is known, the one with the most runs.
        let nearest = nearest.or_else(|| self.by_size.iter().max_by_key(|(_, sizes)| sizes.runs()));
        match nearest {
            Some((bucket, distributions)) => {
                let exponent = wanted.saturating_sub(*bucket).min(MAX_SCALE_EXPONENT);
                (Some(distributions), f64::from(1u32 << exponent))
            }
            None => (None, 1.0),
        }
    }

    /// Runs beyond the bound become the usual ones.
    pub(crate) fn adopt_beyond_bound(&mut self) {
        if self.beyond_bound.runs() > 0 {
            let beyond_bound = std::mem::take(&mut self.beyond_bound);
            self.by_size = BTreeMap::from([(0, beyond_bound)]);
        }
    }
}

fn bucket(size: u64) -> u8 {
    // At most 63, the logarithm of the largest size.
    (size.max(1).ilog2() as u8).min(SIZE_BUCKETS - 1)
}
