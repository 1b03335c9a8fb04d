//! Holds: how many statements of a fingerprint may run at once, on which engines, and how the limit recovers.
//!
//! A hold starts with a limit of one, on the one engine that all routers choose alike. Every `MIN_CLEAN_RUNS` runs
//! within half of the bound double the limit; a further runaway resets it to one and doubles the number of clean runs
//! needed. At `RELEASE_LIMIT` the hold is lifted. The hold of a fingerprint without runs recovers by time, one step per
//! `IDLE_STEP`. A table group that a runaway blocks at an engine is excluded from that engine meanwhile.

use std::collections::BTreeMap;

use hoptiller_policy::{EngineId, Hold, HoldTarget, Micros};
use serde::{Deserialize, Serialize};

use crate::interface::{EngineStatus, FingerprintId};

/// Clean runs for the first step.
const MIN_CLEAN_RUNS: u32 = 3;
/// Clean runs for a step at most.
const MAX_CLEAN_RUNS: u32 = 48;
/// Limit at which a hold is lifted.
const RELEASE_LIMIT: u32 = 8;
/// Time without a run after which a limit doubles.
const IDLE_STEP: Micros = 300_000_000;
/// Holds that are kept; the one that is nearest to its release is evicted.
const MAX_HOLDS: usize = 256;

/// The hold of a fingerprint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FingerprintHold {
    /// Its class.
    pub class: usize,
    /// The text of the fingerprint, for display.
    pub label: String,
    /// How many may run at once, runaways not counted.
    #[serde(rename = "at_once")]
    pub max_in_flight: u32,
    /// Clean runs since the last step.
    #[serde(rename = "clean")]
    pub clean_runs: u32,
    /// Clean runs that the next step takes.
    #[serde(rename = "wanted")]
    pub clean_runs_needed: u32,
    /// When the hold began.
    pub since: Micros,
    /// When a statement of the fingerprint last ended.
    #[serde(rename = "last")]
    pub last_end: Micros,
    /// Whether it also runs at low priority inside engines.
    #[serde(rename = "lower")]
    pub low_priority: bool,
    /// Runaways of the fingerprint that still run, in addition to the limit.
    #[serde(skip)]
    pub runaways: u32,
}

/// The holds of fingerprints and the exclusions of table groups.
#[derive(Debug, Default)]
pub(crate) struct Holds {
    pub(crate) fingerprints: BTreeMap<FingerprintId, FingerprintHold>,
    /// Table groups with the engines that they are excluded from.
    pub(crate) groups: BTreeMap<u64, Vec<EngineId>>,
    engines: Vec<EngineStatus>,
    /// The last published hold of each target.
    published: BTreeMap<HoldTarget, Hold>,
}

impl Holds {
    /// Holds a fingerprint for a runaway that was found.
    pub(crate) fn add_runaway(
        &mut self,
        now: Micros,
        fingerprint: FingerprintId,
        class: usize,
        label: &str,
        low_priority: bool,
    ) {
        if self.fingerprints.len() >= MAX_HOLDS && !self.fingerprints.contains_key(&fingerprint) {
            let nearest = self
                .fingerprints
                .iter()
                .max_by_key(|(_, h)| (h.max_in_flight, std::cmp::Reverse(h.last_end)));
            if let Some(id) = nearest.map(|(id, _)| *id) {
                self.fingerprints.remove(&id);
            }
        }
        match self.fingerprints.get_mut(&fingerprint) {
            Some(h) => {
                h.clean_runs_needed = (h.clean_runs_needed * 2).min(MAX_CLEAN_RUNS);
                (h.max_in_flight, h.clean_runs, h.last_end, h.runaways) =
                    (1, 0, now, h.runaways + 1);
            }
            None => {
                let hold = FingerprintHold {
                    class,
                    label: label.to_owned(),
                    max_in_flight: 1,
                    clean_runs: 0,
                    clean_runs_needed: MIN_CLEAN_RUNS,
                    since: now,
                    last_end: now,
                    low_priority,
                    runaways: 1,
                };
                self.fingerprints.insert(fingerprint, hold);
            }
        }
    }

    /// Records that a runaway of a held fingerprint ended or was cleared.
    pub(crate) fn remove_runaway(&mut self, now: Micros, fingerprint: FingerprintId) {
        if let Some(h) = self.fingerprints.get_mut(&fingerprint) {
            h.runaways = h.runaways.saturating_sub(1);
            h.last_end = now;
        }
    }

    /// Records that a statement of a fingerprint ended; `clean` if within half of its bound.
    pub(crate) fn record_run(&mut self, now: Micros, fingerprint: FingerprintId, clean: bool) {
        let Some(h) = self.fingerprints.get_mut(&fingerprint) else {
            return;
        };
        h.last_end = now;
        if !clean {
            h.clean_runs = 0;
            return;
        }
        h.clean_runs += 1;
        if h.clean_runs >= h.clean_runs_needed {
            (h.max_in_flight, h.clean_runs) = ((h.max_in_flight * 2).min(RELEASE_LIMIT), 0);
        }
        if h.max_in_flight >= RELEASE_LIMIT && h.runaways == 0 {
            self.fingerprints.remove(&fingerprint);
        }
    }

    /// Lifts a hold. False if the fingerprint is not held.
    pub(crate) fn release(&mut self, fingerprint: FingerprintId) -> bool {
        self.fingerprints.remove(&fingerprint).is_some()
    }

    /// Replaces the exclusions of table groups.
    pub(crate) fn exclude_groups(&mut self, groups: BTreeMap<u64, Vec<EngineId>>) {
        self.groups = groups;
    }

    /// Replaces the engine list.
    pub(crate) fn update_engines(&mut self, engines: &[EngineStatus]) {
        self.engines = engines.to_vec();
    }

    /// Doubles the limits of fingerprints that have been idle.
    pub(crate) fn relax_idle(&mut self, now: Micros) {
        for h in self.fingerprints.values_mut().filter(|h| h.runaways == 0) {
            if now.saturating_sub(h.last_end) >= IDLE_STEP {
                (h.max_in_flight, h.clean_runs, h.last_end) =
                    ((h.max_in_flight * 2).min(RELEASE_LIMIT), 0, now);
            }
        }
        self.fingerprints
            .retain(|_, h| h.max_in_flight < RELEASE_LIMIT || h.runaways > 0);
    }

    /// The holds that are new or changed since the last call; lifted ones come as holds without a limit.
    pub(crate) fn take_changes(&mut self) -> Vec<Hold> {
        let mut wanted: BTreeMap<HoldTarget, Hold> = BTreeMap::new();
        for (fingerprint, h) in &self.fingerprints {
            let of = HoldTarget::Kind(fingerprint.0);
            let excluded = self.excluded_engines(*fingerprint, h);
            wanted.insert(
                of,
                Hold {
                    target: of,
                    max_in_flight: h.max_in_flight + h.runaways,
                    excluded_engines: excluded,
                    low_priority: h.low_priority,
                },
            );
        }
        for (group, engines) in &self.groups {
            let of = HoldTarget::Group(*group);
            // Excluded from every engine, the group would never run.
            let up: Vec<EngineId> = self
                .engines
                .iter()
                .filter(|e| e.is_up)
                .map(|e| e.engine)
                .collect();
            if up.iter().any(|e| !engines.contains(e)) {
                wanted.insert(
                    of,
                    Hold {
                        target: of,
                        max_in_flight: u32::MAX,
                        excluded_engines: engines.clone(),
                        low_priority: false,
                    },
                );
            }
        }
        let lifted = self.published.keys().filter(|of| !wanted.contains_key(of));
        let mut changes: Vec<Hold> = lifted
            .map(|of| Hold {
                target: *of,
                max_in_flight: u32::MAX,
                excluded_engines: Vec::new(),
                low_priority: false,
            })
            .collect();
        changes.extend(
            wanted
                .values()
                .filter(|h| self.published.get(&h.target) != Some(h))
                .cloned(),
        );
        self.published = wanted;
        changes
    }

    /// The engines where a held fingerprint may not run: all but as many as its limit, chosen by a hash that is the same
    /// at all routers, so that they agree on a few engines without communication (rendezvous hashing).
    fn excluded_engines(&self, fingerprint: FingerprintId, h: &FingerprintHold) -> Vec<EngineId> {
        let fits = |e: &&EngineStatus| e.is_up && e.classes.get(h.class).copied().unwrap_or(true);
        let mut open: Vec<EngineId> = self.engines.iter().filter(fits).map(|e| e.engine).collect();
        let own = |id: &EngineId| {
            let mut hash = blake3::Hasher::new();
            hash.update(&fingerprint.0.to_le_bytes())
                .update(&id.0.to_le_bytes());
            *hash.finalize().as_bytes()
        };
        open.sort_by_key(own);
        open.split_off(open.len().min(h.max_in_flight as usize))
    }
}

#[cfg(test)]
mod tests;
