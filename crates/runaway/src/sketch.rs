//! A distribution of positive values that favours recent ones: quantiles by `hdrhistogram`, with all weights halved
//! when it is full.

use hdrhistogram::Histogram;

/// Total weight at which all weights are halved.
const MAX_COUNT: u64 = 512;
/// The smallest recorded value, in the caller's unit; smaller ones are clamped.
const MIN_FIGURE: u64 = 1;
/// The largest recorded value; larger ones are clamped.
const MAX_FIGURE: u64 = 1 << 42;

/// Quantiles over some hundreds of values, with more weight on recent ones.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sketch {
    /// The histogram, allocated with the first value because most sketches stay empty.
    histogram: Option<Box<Histogram<u16>>>,
}

impl Sketch {
    /// Adds a value; ignores it unless it is a positive finite number.
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
        // With one significant digit, a bucket spans at most a sixteenth of its value. Automatic resizing keeps a
        // sketch of short runs small.
        let histogram = self.histogram.get_or_insert_with(|| {
            let mut empty =
                Histogram::new(1).unwrap_or_else(|_| unreachable!("one digit is permitted"));
            empty.auto(true);
            Box::new(empty)
        });
        let _ = histogram.record_n(figure.clamp(MIN_FIGURE, MAX_FIGURE), n);
    }

    /// Halves the weight of each value. The remainder of an odd weight is carried over to the next value, so that rare
    /// values far apart are not all lost.
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

    /// Returns the total weight of the values.
    pub(crate) fn count(&self) -> u64 {
        self.histogram
            .as_ref()
            .map_or(0, |histogram| histogram.len())
    }

    /// Returns a quantile, or `None` if the sketch is empty.
    pub(crate) fn quantile(&self, quantile: f64) -> Option<f64> {
        self.histogram
            .as_ref()
            .filter(|histogram| !histogram.is_empty())
            .map(|histogram| histogram.value_at_quantile(quantile) as f64)
    }

    /// Returns the values with their weights.
    pub(crate) fn pairs(&self) -> Vec<(u64, u16)> {
        let Some(histogram) = &self.histogram else {
            return Vec::new();
        };
        histogram
            .iter_recorded()
            .map(|v| (v.value_iterated_to(), v.count_at_value()))
            .collect()
    }

    /// Rebuilds a sketch from [`Sketch::weighted_values`]; `None` if weights or values are out of range.
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
