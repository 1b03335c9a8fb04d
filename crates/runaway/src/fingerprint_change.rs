//! Detection of changed fingerprints: fingerprints whose statements mostly run long, as after a release. The statements
//! are not runaways then, and one notice covers them all.
//!
//! The first long run that is recorded marks the assumed change. Usual runs that started before it are not counted,
//! because they ran before the change.

use std::collections::{BTreeMap, BTreeSet};

use hoptiller_policy::{EngineId, Micros};

use crate::attempts::Attempts;
use crate::engine_slowness::EngineSlowness;
use crate::interface::{AttemptId, FingerprintId};
use crate::measures::is_long_run;

/// Number of long runs from which a fingerprint may have changed.
const MIN_LONG_RUNS: usize = 4;
/// Fraction of long runs among all runs since the assumed change from which the fingerprint has changed. Counting stops
/// if the ratio of long runs to usual runs is below this value.
const MIN_LONG_FRACTION: f64 = 0.6;
/// Time for which a finding waits for more runs while most runs since the first long one are long.
const MAX_UNDECIDED_TIME: Micros = 8_000_000;
/// Number of usual runs from which the long ones may count as outliers.
const MIN_USUAL_RUNS: usize = 8;
/// Maximum number of fingerprints counted at once; the least recently updated one is evicted.
const MAX_FINGERPRINTS: usize = 256;
/// Maximum number of long runs counted per fingerprint.
const MAX_LONG_RUNS: usize = 1024;
/// Number of runs over the bound from which the new values of a changed fingerprint are adopted.
pub(crate) const MIN_RUNS_TO_ADOPT: u64 = 8;

/// The status of a fingerprint, from the point of view of a statement that is over its bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChangeStatus {
    /// There is no sign that the fingerprint has changed, so the statement is assessed on its own.
    Isolated,
    /// Most runs are long, but there are too few of them or they ran on a single engine.
    Undecided,
    /// Most runs are long, and they ran on several engines.
    Changed,
}

/// Runs of a fingerprint since its assumed change.
#[derive(Debug)]
struct ChangeCounter {
    /// The start time of the long run that was recorded first.
    since: Micros,
    /// Long runs, with the engines that run or ran them.
    long_runs: BTreeMap<AttemptId, EngineId>,
    /// Number of usual runs that started since then.
    usual_runs: usize,
    updated_at: Micros,
}

impl ChangeCounter {
    fn new(now: Micros, since: Micros) -> ChangeCounter {
        ChangeCounter {
            since,
            long_runs: BTreeMap::new(),
            usual_runs: 0,
            updated_at: now,
        }
    }

    /// Returns whether to stop counting: no long runs are left, or they are few compared with at least
    /// [`MIN_USUAL_RUNS`] usual runs.
    fn is_change_ruled_out(&self) -> bool {
        let long = self.long_runs.len();
        long == 0
            || self.usual_runs >= MIN_USUAL_RUNS
                && (long as f64) < MIN_LONG_FRACTION * self.usual_runs as f64
    }
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
        self.evict_for(fingerprint);
        let counter = self
            .counters
            .entry(fingerprint)
            .or_insert_with(|| ChangeCounter::new(now, started));
        counter.updated_at = now;
        if counter.long_runs.len() < MAX_LONG_RUNS {
            counter.long_runs.insert(attempt, engine);
        }
    }

    /// Records the running attempts of known fingerprints that already run long.
    pub(crate) fn count_running(
        &mut self,
        now: Micros,
        attempts: &Attempts,
        engine_slowness: &EngineSlowness,
    ) {
        for attempt in attempts.values() {
            let Some(expectation) = attempt.expectation() else {
                continue;
            };
            if !attempt.is_executing() || !expectation.is_known || attempt.is_blocked() {
                continue;
            }
            let slowness = engine_slowness.slowness_for(now, attempt).factor;
            if is_long_run(attempt, expectation, now, slowness) {
                let (start, started_at) = (attempt.start(), attempt.started_at());
                self.record_long_run(
                    now,
                    start.fingerprint,
                    start.attempt,
                    started_at,
                    start.engine,
                );
            }
        }
    }

    /// Records that an attempt ran as usual.
    pub(crate) fn record_usual_run(
        &mut self,
        fingerprint: FingerprintId,
        attempt: AttemptId,
        started: Micros,
    ) {
        let Some(counter) = self.counters.get_mut(&fingerprint) else {
            return;
        };
        counter.long_runs.remove(&attempt);
        counter.usual_runs += usize::from(started >= counter.since);
        if counter.is_change_ruled_out() {
            self.counters.remove(&fingerprint);
        }
    }

    /// Classifies a fingerprint for an attempt that has been over its bound for `over_bound_for`. With a single engine,
    /// a slow engine cannot be distinguished from a changed fingerprint, which is assumed then.
    pub(crate) fn classify(
        &self,
        fingerprint: FingerprintId,
        over_bound_for: Micros,
        engines: usize,
    ) -> ChangeStatus {
        let Some(counter) = self.counters.get(&fingerprint) else {
            return ChangeStatus::Isolated;
        };
        let long = counter.long_runs.len();
        let all = long + counter.usual_runs;
        let engines_with_long_runs = counter.long_runs.values().collect::<BTreeSet<_>>().len();
        let are_most_long = long as f64 >= MIN_LONG_FRACTION * all as f64;
        let is_everywhere = engines_with_long_runs > 1 || engines < 2;
        if long >= MIN_LONG_RUNS && are_most_long && is_everywhere {
            ChangeStatus::Changed
        } else if long > 1 && are_most_long && over_bound_for < MAX_UNDECIDED_TIME {
            ChangeStatus::Undecided
        } else {
            ChangeStatus::Isolated
        }
    }

    /// Stops counting the runs of a fingerprint.
    pub(crate) fn remove(&mut self, fingerprint: FingerprintId) {
        self.counters.remove(&fingerprint);
    }

    /// Returns whether a fingerprint has long runs.
    pub(crate) fn contains(&self, fingerprint: FingerprintId) -> bool {
        self.counters.contains_key(&fingerprint)
    }

    /// Makes room for a fingerprint that is not counted yet.
    fn evict_for(&mut self, fingerprint: FingerprintId) {
        if self.counters.len() < MAX_FINGERPRINTS || self.contains(fingerprint) {
            return;
        }
        let oldest = self.counters.iter().min_by_key(|(_, c)| c.updated_at);
        if let Some(id) = oldest.map(|(id, _)| *id) {
            self.counters.remove(&id);
        }
    }
}

#[cfg(test)]
mod tests;
