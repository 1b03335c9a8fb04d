//! Owns how slow each engine is by itself: the median, over the kinds that ran or run there, of how much
//! longer than usual they take. Where everything is slow, no statement is at fault for it.

use std::collections::{BTreeMap, VecDeque};

use hoptiller_policy::{EngineId, Micros};

use crate::interface::FingerprintId;

/// Ends that count, and for how long.
const ENDS: usize = 16;
const FRESH: Micros = 20_000_000;
/// Statements from which a median says anything of an engine.
const ENOUGH: usize = 3;
/// The most that slowness excuses.
const MOST: f64 = 20.0;
/// An engine is named from so many times usual, and so many times what the others take.
pub const SLOW: f64 = 3.0;
const AGAINST_OTHERS: f64 = 2.0;

/// A statement that tells of its engine: its kind, and times as long as usual; of one that still runs, at least.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Its kind.
    pub kind: FingerprintId,
    /// Times as long as usual.
    pub times: f64,
}

/// What ended at engines lately.
#[derive(Debug, Default)]
pub struct Paces {
    ends: BTreeMap<EngineId, VecDeque<(Micros, Sample)>>,
}

impl Paces {
    /// A statement has ended.
    pub fn ended(&mut self, now: Micros, engine: EngineId, sample: Sample) {
        let ends = self.ends.entry(engine).or_default();
        ends.push_back((now, sample));
        while ends.len() > ENDS {
            ends.pop_front();
        }
    }

    /// Forgets engines that are gone.
    pub fn retain(&mut self, keep: impl Fn(EngineId) -> bool) {
        self.ends.retain(|id, _| keep(*id));
    }

    /// How slow an engine is, and by how many statements, given what runs there. Never under 1.
    pub fn slowness(&self, now: Micros, engine: EngineId, running: &[Sample]) -> (f64, usize) {
        let since = now.saturating_sub(FRESH);
        let ended = self
            .ends
            .get(&engine)
            .into_iter()
            .flatten()
            .filter(|(at, _)| *at >= since);
        let mut kinds: BTreeMap<FingerprintId, Vec<f64>> = BTreeMap::new();
        for s in ended.map(|(_, s)| s).chain(running) {
            kinds.entry(s.kind).or_default().push(s.times);
        }
        let n = kinds.values().map(Vec::len).sum();
        if n < ENOUGH {
            return (1.0, n);
        }
        // Kind by kind: one that has changed is slow everywhere, and says nothing of an engine.
        let mut of_kinds: Vec<f64> = kinds.values_mut().map(|times| middle(times)).collect();
        (middle(&mut of_kinds).clamp(1.0, MOST), n)
    }
}

/// The median; of two in the middle the lower: it takes more than half to excuse one.
fn middle(of: &mut [f64]) -> f64 {
    of.sort_by(f64::total_cmp);
    of.get(of.len().saturating_sub(1) / 2)
        .copied()
        .unwrap_or(1.0)
}

/// Whether an engine stands out among all. One that was said to does so until it is clearly better: a notice
/// that comes and goes is none.
pub fn stands_out(own: (f64, usize), others: &[(f64, usize)], said: bool) -> bool {
    let mut known: Vec<f64> = others
        .iter()
        .filter(|o| o.1 >= ENOUGH)
        .map(|o| o.0)
        .collect();
    let usual = middle(&mut known);
    if said {
        return own.0 >= SLOW / 2.0 && own.0 >= AGAINST_OTHERS / 2.0 * usual;
    }
    own.1 > ENOUGH && own.0 >= SLOW && own.0 >= AGAINST_OTHERS * usual
}

#[cfg(test)]
mod tests;
