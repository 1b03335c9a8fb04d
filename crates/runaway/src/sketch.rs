//! A distribution of positive values that favours recent ones: quantiles by `hdrhistogram`, with all weights halved
//! when it is full.

use hdrhistogram::Histogram;

/// Total weight at which all weights are halved.
const MAX_COUNT: u64 = 512;
/// The smallest recorded value, in the caller's unit; smaller ones are clamped.
const MIN_VALUE: u64 = 1;
/// The largest recorded value; larger ones are clamped.
const MAX_VALUE: u64 = 1 << 42;

/// Quantiles over some hundreds of values, with more weight on recent ones.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sketch {
    /// The histogram, allocated with the first value because most sketches stay empty.
    histogram: Option<Box<Histogram<u16>>>,
}

impl Sketch {
    /// Adds a value; ignores it unless it is a positive finite number.
    pub(crate) fn add(&mut self, value: f64) {
        if !value.is_finite() || value <= 0.0 {
            return;
        }
        self.add_weighted(value.round() as u64, 1);
        if self.count() >= MAX_COUNT {
            self.halve();
        }
    }

    fn add_weighted(&mut self, value: u64, weight: u16) {
        // With one significant digit, a bucket spans at most a sixteenth of its value. Automatic resizing keeps a
        // sketch of short runs small.
        let histogram = self.histogram.get_or_insert_with(|| {
            let mut empty = Histogram::new(1)
                .unwrap_or_else(|_| unreachable!("one significant digit is valid"));
            empty.auto(true);
            Box::new(empty)
        });
        // Cannot fail, because the histogram resizes automatically.
        let _ = histogram.record_n(value.clamp(MIN_VALUE, MAX_VALUE), weight);
    }

    /// Halves the weight of each value. The remainder of an odd weight is carried over to the next value, so that rare
    /// values far apart are not all lost.
    fn halve(&mut self) {
        let weighted_values = self.weighted_values();
        *self = Sketch::default();
        let mut carried = 0;
        for (value, weight) in weighted_values {
            let weight = weight + carried;
            carried = weight % 2;
            if weight > 1 {
                self.add_weighted(value, weight / 2);
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
    pub(crate) fn weighted_values(&self) -> Vec<(u64, u16)> {
        let Some(histogram) = &self.histogram else {
            return Vec::new();
        };
        histogram
            .iter_recorded()
            .map(|recorded| (recorded.value_iterated_to(), recorded.count_at_value()))
            .collect()
    }

    /// Rebuilds a sketch from [`Sketch::weighted_values`]; `None` if weights or values are out of range.
    pub(crate) fn from_weighted_values(weighted_values: &[(u64, u16)]) -> Option<Sketch> {
        let total: u64 = weighted_values
            .iter()
            .map(|(_, weight)| u64::from(*weight))
            .sum();
        // A stored value is the upper end of a bucket, which may exceed `MAX_VALUE`.
        let is_valid = total <= MAX_COUNT
            && weighted_values
                .iter()
                .all(|(value, _)| (MIN_VALUE..=2 * MAX_VALUE).contains(value));
        let mut sketch = Sketch::default();
        if is_valid {
            weighted_values
                .iter()
                .for_each(|(value, weight)| sketch.add_weighted(*value, *weight));
        }
        is_valid.then_some(sketch)
    }
}

#[cfg(test)]
mod tests;
