//! Whether all statements of a fingerprint run long, as after a release. Then the fingerprint has changed and its
//! statements are not at fault: one notice covers them.
//!
//! Counting starts with the first long run and includes only attempts that started after it: earlier ones say nothing
//! of what a release did.

use std::collections::{BTreeMap, BTreeSet};

use hoptiller_policy::{EngineId, Micros};

use crate::interface::{AttemptId, FingerprintId};

/// Long runs from which a fingerprint may have changed.
const MIN_LONG_RUNS: usize = 4;
/// The part of all runs since then that must be long.
const MIN_LONG_PART: f64 = 0.6;
/// How long a finding waits for more runs while all since the first are long.
const MAX_UNDECIDED: Micros = 8_000_000;
/// Usual runs after which the long ones may count as outliers.
const MIN_USUAL_RUNS: usize = 8;
/// Fingerprints that are counted at once; the least recently updated one is evicted.
const MAX_FINGERPRINTS: usize = 256;

/// Long runs of a fingerprint that are counted.
const MAX_LONG_RUNS: usize = 1024;

/// What the runs of a fingerprint say of a statement that is over its bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChangeStatus {
    /// Others of its fingerprint run as usual: it is at fault.
    Isolated,
    /// It is too early to tell.
    Undecided,
    /// All of them run long.
    Changed,
}

#[derive(Debug)]
struct ChangeCounter {
    since: Micros,
    long: BTreeMap<AttemptId, EngineId>,
    usual: usize,
    updated_at: Micros,
}

/// Fingerprints with long runs.
#[derive(Debug, Default)]
pub(crate) struct FingerprintChanges {
    counters: BTreeMap<FingerprintId, ChangeCounter>,
}

impl FingerprintChanges {
    /// Records that an attempt that started at `started` runs several times as long as usual.
    pub(crate) fn record_long_run(
        &mut self,
        now: Micros,
        fingerprint: FingerprintId,
        attempt: AttemptId,
        started: Micros,
        engine: EngineId,
    ) {
        if self.counters.len() >= MAX_FINGERPRINTS && !self.counters.contains_key(&fingerprint) {
            let oldest = self
                .counters
                .iter()
                .min_by_key(|(_, c)| c.updated_at)
                .map(|(id, _)| *id);
            oldest.and_then(|id| self.counters.remove(&id));
        }
        let first = || ChangeCounter {
            since: started,
            long: BTreeMap::new(),
            usual: 0,
            updated_at: now,
        };
        let c = self.counters.entry(fingerprint).or_insert_with(first);
        c.updated_at = now;
        if c.long.len() < MAX_LONG_RUNS {
            c.long.insert(attempt, engine);
        }
    }

    /// Records that an attempt ran as usual.
    pub(crate) fn record_usual_run(
        &mut self,
        fingerprint: FingerprintId,
        attempt: AttemptId,
        started: Micros,
    ) {
        let Some(c) = self.counters.get_mut(&fingerprint) else {
            return;
        };
        c.long.remove(&attempt);
        c.usual += usize::from(started >= c.since);
        if c.long.is_empty()
            || (c.usual >= MIN_USUAL_RUNS && (c.long.len() as f64) < MIN_LONG_PART * c.usual as f64)
        {
            self.counters.remove(&fingerprint);
        }
    }

    /// Classifies a fingerprint for an attempt that has been over its bound for some time. With a single engine, a
    /// slow engine can't be told from a changed fingerprint.
    pub(crate) fn classify(
        &self,
        fingerprint: FingerprintId,
        over_for: Micros,
        engines: usize,
    ) -> ChangeStatus {
        let Some(c) = self.counters.get(&fingerprint) else {
            return ChangeStatus::Isolated;
        };
        let (long, all) = (c.long.len(), c.long.len() + c.usual);
        let engines_with_long_runs = c.long.values().collect::<BTreeSet<_>>().len();
        let most = long as f64 >= MIN_LONG_PART * all as f64;
        if long >= MIN_LONG_RUNS && most && (engines_with_long_runs > 1 || engines < 2) {
            ChangeStatus::Changed
        } else if long > 1 && most && over_for < MAX_UNDECIDED {
            ChangeStatus::Undecided
        } else {
            ChangeStatus::Isolated
        }
    }

    /// Stops counting for a fingerprint.
    pub(crate) fn remove(&mut self, fingerprint: FingerprintId) {
        self.counters.remove(&fingerprint);
    }

    /// Whether a fingerprint has long runs.
    pub(crate) fn contains(&self, fingerprint: FingerprintId) -> bool {
        self.counters.contains_key(&fingerprint)
    }
}

#[cfg(test)]
mod tests;
