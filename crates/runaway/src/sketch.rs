//! Owns a distribution of positive figures that forgets: quantiles by `hdrhistogram`, halved as it fills.

use hdrhistogram::Histogram;

/// Figures after which old ones count half.
const FULL: u64 = 512;
/// Least and greatest figure, in the caller's unit; others are clamped.
const LEAST: u64 = 1;
const MOST: u64 = 1 << 42;

/// Quantiles of some hundreds of figures, newer ones more.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sketch {
    /// Made with the first figure: most sketches of most kinds stay empty.
    of: Option<Box<Histogram<u16>>>,
}

impl Sketch {
    /// Adds a figure; those that are no positive number are passed over.
    pub fn add(&mut self, figure: f64) {
        if !figure.is_finite() || figure <= 0.0 {
            return;
        }
        self.add_many(figure.round() as u64, 1);
        if self.count() >= FULL {
            self.halve();
        }
    }

    fn add_many(&mut self, figure: u64, n: u16) {
        // One digit: buckets of a sixteenth. Growth by itself keeps a sketch of short runs small.
        let of = self.of.get_or_insert_with(|| {
            let mut empty =
                Histogram::new(1).unwrap_or_else(|_| unreachable!("one digit is permitted"));
            empty.auto(true);
            Box::new(empty)
        });
        let _ = of.record_n(figure.clamp(LEAST, MOST), n);
    }

    /// Halves the weight of all that was added. Halves of odd counts are carried on, so that few far apart
    /// figures don't all vanish.
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

    /// Figures counted, by weight.
    pub fn count(&self) -> u64 {
        self.of.as_ref().map_or(0, |of| of.len())
    }

    /// A quantile; `None` without figures.
    pub fn quantile(&self, q: f64) -> Option<f64> {
        self.of
            .as_ref()
            .filter(|of| !of.is_empty())
            .map(|of| of.value_at_quantile(q) as f64)
    }

    /// Figures and how often they came.
    pub fn pairs(&self) -> Vec<(u64, u16)> {
        let Some(of) = &self.of else {
            return Vec::new();
        };
        of.iter_recorded()
            .map(|v| (v.value_iterated_to(), v.count_at_value()))
            .collect()
    }

    /// From [`Sketch::pairs`]; more than a full sketch is no sketch of ours.
    pub fn from_pairs(pairs: &[(u64, u16)]) -> Option<Sketch> {
        let total: u64 = pairs.iter().map(|p| u64::from(p.1)).sum();
        let fine = total <= FULL && pairs.iter().all(|p| (LEAST..=2 * MOST).contains(&p.0));
        let mut sketch = Sketch::default();
        if fine {
            pairs
                .iter()
                .for_each(|(figure, n)| sketch.add_many(*figure, *n));
        }
        fine.then_some(sketch)
    }
}

#[cfg(test)]
mod tests;
