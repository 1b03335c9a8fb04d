//! A distribution of positive figures that favours recent ones: quantiles by `hdrhistogram`, halved when it is full.

use hdrhistogram::Histogram;

/// Number of figures at which the weight of all is halved.
const MAX_COUNT: u64 = 512;
/// The least figure, in the unit of the caller; lesser ones are clamped.
const MIN_FIGURE: u64 = 1;
/// The greatest figure; greater ones are clamped.
const MAX_FIGURE: u64 = 1 << 42;

/// Quantiles of some hundreds of figures, the newer ones with more weight.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sketch {
    /// Allocated with the first figure: most sketches stay empty.
    histogram: Option<Box<Histogram<u16>>>,
}

impl Sketch {
    /// Adds a figure; one that is no positive number is ignored.
    pub(crate) fn add(&mut self, figure: f64) {
        if !figure.is_finite() || figure <= 0.0 {
            return;
        }
        self.add_many(figure.round() as u64, 1);
        if self.count() >= MAX_COUNT {
            self.halve();
        }
    }

    fn add_many(&mut self, figure: u64, n: u16) {
        // One digit: buckets of a sixteenth. Growth by itself keeps a sketch of short runs small.
        let histogram = self.histogram.get_or_insert_with(|| {
            let mut empty =
                Histogram::new(1).unwrap_or_else(|_| unreachable!("one digit is permitted"));
            empty.auto(true);
            Box::new(empty)
        });
        let _ = histogram.record_n(figure.clamp(MIN_FIGURE, MAX_FIGURE), n);
    }

    /// Halves the weight of each figure. The halves that odd weights leave are carried to the next figure, so that
    /// single figures that are far apart don't all vanish.
    fn halve(&mut self) {
        let pairs = self.pairs();
        *self = Sketch::default();
        let mut carried = 0;
        for (figure, n) in pairs {
            let n = n + carried;
            carried = n % 2;
            if n > 1 {
                self.add_many(figure, n / 2);
            }
        }
    }

    /// Total weight of the figures.
    pub(crate) fn count(&self) -> u64 {
        self.histogram
            .as_ref()
            .map_or(0, |histogram| histogram.len())
    }

    /// A quantile; `None` without figures.
    pub(crate) fn quantile(&self, quantile: f64) -> Option<f64> {
        self.histogram
            .as_ref()
            .filter(|histogram| !histogram.is_empty())
            .map(|histogram| histogram.value_at_quantile(quantile) as f64)
    }

    /// Figures with their weights.
    pub(crate) fn pairs(&self) -> Vec<(u64, u16)> {
        let Some(histogram) = &self.histogram else {
            return Vec::new();
        };
        histogram
            .iter_recorded()
            .map(|v| (v.value_iterated_to(), v.count_at_value()))
            .collect()
    }

    /// From [`Sketch::pairs`]; `None` if the weights or figures are out of bounds.
    pub(crate) fn from_pairs(pairs: &[(u64, u16)]) -> Option<Sketch> {
        let total: u64 = pairs.iter().map(|p| u64::from(p.1)).sum();
        let is_valid = total <= MAX_COUNT
            && pairs
                .iter()
                .all(|p| (MIN_FIGURE..=2 * MAX_FIGURE).contains(&p.0));
        let mut sketch = Sketch::default();
        if is_valid {
            pairs
                .iter()
                .for_each(|(figure, n)| sketch.add_many(*figure, *n));
        }
        is_valid.then_some(sketch)
    }
}

#[cfg(test)]
mod tests;
