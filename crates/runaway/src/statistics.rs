//! Usual values: of a fingerprint, of its class while the fingerprint is new, and of an announced size.
//!
//! Runaways are not learned from. When most runs of a fingerprint exceed its bound, the fingerprint has changed, and
//! these runs become its new usual ones ([`Statistics::adopt_over_bound`]).
//!
//! Memory use is limited. Known and unknown fingerprints have separate quotas, so that thousands of generated statement
//! texts evict only each other.

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

use hoptiller_policy::Micros;

use crate::distributions::{Distributions, Run};
use crate::expectation::{
    Expectation, Expected, MIN_RUNS_KNOWN, estimate_factor, estimate_ratio, expected_memory,
    expected_of_remote, expected_quantity, usual_work_per_1000_rows,
};
use crate::fingerprint_statistics::{ClassStatistics, FingerprintStatistics};
use crate::interface::{Announced, Class, FingerprintId};
use crate::units::{RunTime, Work};

/// Unknown fingerprints may use one slot in this many.
const UNKNOWN_QUOTA_DIVISOR: usize = 4;

/// Statistics of all fingerprints and classes.
#[derive(Debug)]
pub(crate) struct Statistics {
    max_fingerprints: usize,
    fingerprints: HashMap<FingerprintId, FingerprintStatistics>,
    classes: Vec<ClassStatistics>,
    /// Unknown fingerprints, ordered by their last use.
    unknown_by_last_use: BTreeSet<(Micros, FingerprintId)>,
    /// Known fingerprints, ordered by their last use.
    known_by_last_use: BTreeSet<(Micros, FingerprintId)>,
}

impl Statistics {
    /// Creates empty statistics for `classes` classes and at most `max_fingerprints` fingerprints.
    pub(crate) fn new(classes: usize, max_fingerprints: usize) -> Statistics {
        Statistics {
            max_fingerprints: max_fingerprints.max(UNKNOWN_QUOTA_DIVISOR),
            fingerprints: HashMap::new(),
            classes: vec![ClassStatistics::default(); classes],
            unknown_by_last_use: BTreeSet::new(),
            known_by_last_use: BTreeSet::new(),
        }
    }

    /// Adds classes at the end.
    pub(crate) fn resize_classes(&mut self, classes: usize) {
        self.classes.resize(classes, ClassStatistics::default());
    }

    /// Returns the number of fingerprints with statistics.
    pub(crate) fn len(&self) -> usize {
        self.fingerprints.len()
    }

    /// Returns whether a fingerprint has enough runs to be assessed separately from its class.
    pub(crate) fn is_known(&self, fingerprint: FingerprintId) -> bool {
        self.fingerprints
            .get(&fingerprint)
            .is_some_and(FingerprintStatistics::is_known)
    }

    /// Returns the number of known fingerprints of a class.
    pub(crate) fn known_count(&self, class: usize) -> usize {
        self.known_by_last_use
            .iter()
            .filter_map(|(_, id)| self.fingerprints.get(id))
            .filter(|statistics| statistics.class == class)
            .count()
    }

    /// Returns the statistics of each class, by class index.
    pub(crate) fn classes(&self) -> &[ClassStatistics] {
        &self.classes
    }

    /// Returns the fingerprints with their statistics, the least recently used first.
    pub(crate) fn fingerprints_by_last_use(&self) -> Vec<(FingerprintId, &FingerprintStatistics)> {
        let mut all: Vec<_> = self.fingerprints.iter().map(|(id, s)| (*id, s)).collect();
        all.sort_by_key(|(id, statistics)| (statistics.last_use, *id));
        all
    }

    /// Records the arrival of a statement of a fingerprint. Evicts the least recently used fingerprint if the quota is
    /// exceeded.
    pub(crate) fn record_arrival(
        &mut self,
        fingerprint: FingerprintId,
        class: usize,
        label: &Rc<str>,
        now: Micros,
    ) {
        let statistics = self
            .fingerprints
            .entry(fingerprint)
            .or_insert_with(|| FingerprintStatistics::new(class, label.clone(), now));
        let last_use = std::mem::replace(&mut statistics.last_use, now);
        let is_known = statistics.is_known();
        self.unknown_by_last_use.remove(&(last_use, fingerprint));
        self.known_by_last_use.remove(&(last_use, fingerprint));
        self.queue(is_known).insert((now, fingerprint));
        self.evict_excess();
    }

    /// Restores the statistics of a class.
    pub(crate) fn restore_class(&mut self, class: usize, statistics: ClassStatistics) {
        self.classes[class] = statistics;
    }

    /// Restores the statistics of a fingerprint.
    pub(crate) fn restore_fingerprint(
        &mut self,
        fingerprint: FingerprintId,
        statistics: FingerprintStatistics,
    ) {
        let entry = (statistics.last_use, fingerprint);
        self.queue(statistics.is_known()).insert(entry);
        self.fingerprints.insert(fingerprint, statistics);
        self.evict_excess();
    }

    /// Returns what is expected of a statement with this fingerprint, class and size hints.
    pub(crate) fn expectation(
        &self,
        fingerprint: FingerprintId,
        class: usize,
        class_settings: &Class,
        announced: Announced,
    ) -> Expectation {
        let by_class = &self.classes[class];
        let statistics = self.fingerprints.get(&fingerprint);
        let (own, scale) = statistics.map_or((None, 1.0), |s| s.nearest_size(announced.size));
        let objective = class_settings.latency_objective as f64;
        let run_time = expected_quantity(
            own.map(|distributions| &distributions.run_time),
            scale,
            &by_class.distributions.run_time,
            RunTime(objective),
            class_settings,
        );
        let work = expected_quantity(
            own.map(|distributions| &distributions.work),
            scale,
            &by_class.distributions.work,
            Work(objective * class_settings.threads),
            class_settings,
        );
        let ratios = statistics
            .map(|s| &s.estimate_ratios)
            .filter(|ratios| ratios.count() >= MIN_RUNS_KNOWN)
            .unwrap_or(&by_class.estimate_ratios);
        let factor = announced.estimate.map_or(1.0, |estimate| {
            estimate_factor(Work(estimate as f64), ratios, work.usual)
        });
        Expectation {
            run_time: run_time.scaled(factor),
            work: work.scaled(factor),
            memory: own
                .and_then(|own| expected_memory(own, scale))
                .map(|memory| memory.scaled(factor)),
            work_per_1000_rows: own.and_then(usual_work_per_1000_rows),
            is_known: statistics.is_some_and(FingerprintStatistics::is_known),
        }
    }

    /// Returns the expected run time of a statement of another router.
    pub(crate) fn remote_expectation(
        &self,
        class: usize,
        class_settings: &Class,
    ) -> Expected<RunTime> {
        expected_of_remote(&self.classes[class].distributions.run_time, class_settings)
    }

    /// Learns from a run that was within its bound.
    pub(crate) fn record_run(
        &mut self,
        fingerprint: FingerprintId,
        class: usize,
        announced: Announced,
        run: &Run,
    ) {
        let ratio = announced
            .estimate
            .zip(run.work)
            .map_or(0.0, |(estimate, work)| {
                estimate_ratio(work, Work(estimate as f64))
            });
        let by_class = &mut self.classes[class];
        by_class.distributions.add(run);
        by_class.estimate_ratios.add(ratio);
        let Some(statistics) = self.fingerprints.get_mut(&fingerprint) else {
            return;
        };
        let was_known = statistics.is_known();
        statistics.estimate_ratios.add(ratio);
        statistics.for_size(announced.size).add(run);
        if !was_known && statistics.is_known() {
            let entry = (statistics.last_use, fingerprint);
            self.unknown_by_last_use.remove(&entry);
            self.known_by_last_use.insert(entry);
            self.evict_excess();
        }
    }

    /// Records a run over the bound, which is not learned from yet. Returns the number of such runs.
    pub(crate) fn record_over_bound(&mut self, fingerprint: FingerprintId, run: &Run) -> u64 {
        let Some(statistics) = self.fingerprints.get_mut(&fingerprint) else {
            return 0;
        };
        statistics.over_bound.add(run);
        statistics.over_bound.runs()
    }

    /// Replaces the usual runs of a changed fingerprint with its runs over the bound.
    pub(crate) fn adopt_over_bound(&mut self, fingerprint: FingerprintId) {
        if let Some(statistics) = self.fingerprints.get_mut(&fingerprint) {
            statistics.adopt_over_bound();
        }
    }

    /// Discards the runs over the bound of an unchanged fingerprint: they were outliers.
    pub(crate) fn discard_over_bound(&mut self, fingerprint: FingerprintId) {
        if let Some(statistics) = self.fingerprints.get_mut(&fingerprint) {
            statistics.over_bound = Distributions::default();
        }
    }

    fn queue(&mut self, is_known: bool) -> &mut BTreeSet<(Micros, FingerprintId)> {
        if is_known {
            &mut self.known_by_last_use
        } else {
            &mut self.unknown_by_last_use
        }
    }

    fn evict_excess(&mut self) {
        let max_unknown = self.max_fingerprints / UNKNOWN_QUOTA_DIVISOR;
        let max_known = self.max_fingerprints - max_unknown;
        for (queue, max) in [
            (&mut self.unknown_by_last_use, max_unknown),
            (&mut self.known_by_last_use, max_known),
        ] {
            while queue.len() > max {
                let Some((_, oldest)) = queue.pop_first() else {
                    break;
                };
                self.fingerprints.remove(&oldest);
            }
        }
    }
}

#[cfg(test)]
mod tests;
