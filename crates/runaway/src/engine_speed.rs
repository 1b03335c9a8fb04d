//! How slow each engine is by itself: the median, over the fingerprints that ran or run there, of the ratio of their
//! run time to the usual one. Where everything is slow, no statement is at fault for it.

use std::collections::{BTreeMap, VecDeque};

use hoptiller_policy::{EngineId, Micros};

use crate::interface::FingerprintId;

/// Completions kept for an engine.
const MAX_COMPLETIONS: usize = 16;
/// How long a completion counts.
const COMPLETION_TTL: Micros = 20_000_000;
/// Samples from which the median of an engine counts.
const MIN_SAMPLES: usize = 3;
/// The largest slowness that is reported.
const MAX_SLOWNESS: f64 = 20.0;
/// Slowness from which an engine is reported.
pub(crate) const SLOW: f64 = 3.0;
/// Ratio to the median slowness of the others from which an engine is reported.
const MIN_RATIO_TO_OTHERS: f64 = 2.0;

/// Run time of one attempt relative to the usual one; a lower bound while it runs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sample {
    /// Its fingerprint.
    pub(crate) fingerprint: FingerprintId,
    /// Ratio of its run time to the usual one.
    pub(crate) times: f64,
}

/// How slow an engine is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Slowness {
    /// Ratio of run times to usual ones, at least 1.
    pub(crate) factor: f64,
    /// Attempts that it rests on.
    pub(crate) samples: usize,
}

/// Recent completions by engine.
#[derive(Debug, Default)]
pub(crate) struct EngineSpeeds {
    ends: BTreeMap<EngineId, VecDeque<(Micros, Sample)>>,
}

impl EngineSpeeds {
    /// Records that an attempt ended.
    pub(crate) fn record_completion(&mut self, now: Micros, engine: EngineId, sample: Sample) {
        let ends = self.ends.entry(engine).or_default();
        ends.push_back((now, sample));
        while ends.len() > MAX_COMPLETIONS {
            ends.pop_front();
        }
    }

    /// Keeps only the engines that `keep` accepts.
    pub(crate) fn retain(&mut self, keep: impl Fn(EngineId) -> bool) {
        self.ends.retain(|id, _| keep(*id));
    }

    /// How slow an engine is, given the attempts that run there.
    pub(crate) fn slowness(&self, now: Micros, engine: EngineId, running: &[Sample]) -> Slowness {
        let since = now.saturating_sub(COMPLETION_TTL);
        let ended = self
            .ends
            .get(&engine)
            .into_iter()
            .flatten()
            .filter(|(at, _)| *at >= since);
        let mut by_fingerprint: BTreeMap<FingerprintId, Vec<f64>> = BTreeMap::new();
        for s in ended.map(|(_, s)| s).chain(running) {
            by_fingerprint
                .entry(s.fingerprint)
                .or_default()
                .push(s.times);
        }
        let samples = by_fingerprint.values().map(Vec::len).sum();
        if samples < MIN_SAMPLES {
            return Slowness {
                factor: 1.0,
                samples,
            };
        }
        // By fingerprint: one that has changed is slow everywhere and says nothing of an engine.
        let mut medians: Vec<f64> = by_fingerprint
            .values_mut()
            .map(|times| median(times))
            .collect();
        Slowness {
            factor: median(&mut medians).clamp(1.0, MAX_SLOWNESS),
            samples,
        }
    }
}

/// The lower median: it takes more than half of the values to excuse an attempt.
fn median(values: &mut [f64]) -> f64 {
    values.sort_by(f64::total_cmp);
    values
        .get(values.len().saturating_sub(1) / 2)
        .copied()
        .unwrap_or(1.0)
}

/// Whether an engine is slower than the others. One that `is_reported` stays so until it is clearly faster
/// (hysteresis).
pub(crate) fn stands_out(own: Slowness, others: &[Slowness], is_reported: bool) -> bool {
    let mut known: Vec<f64> = others
        .iter()
        .filter(|o| o.samples >= MIN_SAMPLES)
        .map(|o| o.factor)
        .collect();
    let usual = median(&mut known);
    if is_reported {
        return own.factor >= SLOW / 2.0 && own.factor >= MIN_RATIO_TO_OTHERS / 2.0 * usual;
    }
    own.samples > MIN_SAMPLES && own.factor >= SLOW && own.factor >= MIN_RATIO_TO_OTHERS * usual
}

#[cfg(test)]
mod tests;
