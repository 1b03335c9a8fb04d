//! Holds: limits on how many statements of a fingerprint run at once and on which engines, and the recovery of these
//! limits.
//!
//! A hold starts with a limit of one, on one engine that all routers choose alike. Each time that `MIN_CLEAN_RUNS`
//! consecutive runs stay within half of the bound, the limit doubles, and with it the number of engines. A further
//! runaway resets the limit to one and doubles the number of clean runs needed. At `RELEASE_LIMIT` the hold is
//! released. The hold of a fingerprint without runs recovers by time, one step per `IDLE_STEP`. A table group that a
//! runaway locks on an engine is excluded from that engine meanwhile.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use hoptiller_policy::{EngineId, Hold, HoldTarget, Micros};
use serde::{Deserialize, Serialize};

use crate::group_exclusion::ExcludedEngines;
use crate::interface::{EngineStatus, FingerprintId};

/// Number of clean runs needed for the first step.
const MIN_CLEAN_RUNS: u32 = 3;
/// Maximum number of clean runs needed for a step.
const MAX_CLEAN_RUNS: u32 = 48;
/// Limit at which a hold is released.
const RELEASE_LIMIT: u32 = 8;
/// Time without an ended run or a change of the limit after which the limit doubles.
const IDLE_STEP: Micros = 300_000_000;
/// Maximum number of holds; the one nearest to its release is evicted.
const MAX_HOLDS: usize = 256;

/// The hold of a fingerprint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FingerprintHold {
    /// The class index.
    pub class: usize,
    /// The display text of the fingerprint.
    pub label: String,
    /// Number of statements that may run at once, not counting runaways.
    #[serde(rename = "at_once")]
    pub max_in_flight: u32,
    /// Number of consecutive clean runs since the last step.
    #[serde(rename = "clean")]
    pub clean_runs: u32,
    /// Number of clean runs needed for the next step.
    #[serde(rename = "wanted")]
    pub clean_runs_needed: u32,
    /// The time at which the hold began.
    pub since: Micros,
    /// The time of the latest end of a statement or change of the limit. A hold that is idle since then recovers by
    /// time.
    #[serde(rename = "last")]
    pub last_activity_at: Micros,
    /// Whether the fingerprint also runs at low priority inside engines.
    #[serde(rename = "lower")]
    pub low_priority: bool,
    /// Number of runaways of the fingerprint that still run, in addition to the limit.
    #[serde(skip)]
    pub runaways: u32,
}

impl FingerprintHold {
    /// Doubles the limit.
    fn relax(&mut self) {
        self.max_in_flight = (self.max_in_flight * 2).min(RELEASE_LIMIT);
        self.clean_runs = 0;
    }

    /// Resets the limit because of a further runaway.
    fn tighten(&mut self, now: Micros) {
        self.clean_runs_needed = (self.clean_runs_needed * 2).min(MAX_CLEAN_RUNS);
        self.max_in_flight = 1;
        self.clean_runs = 0;
        self.last_activity_at = now;
        self.runaways += 1;
    }

    fn can_be_released(&self) -> bool {
        self.max_in_flight >= RELEASE_LIMIT && self.runaways == 0
    }
}

/// The holds of fingerprints and the exclusions of table groups.
#[derive(Debug, Default)]
pub(crate) struct Holds {
    fingerprints: BTreeMap<FingerprintId, FingerprintHold>,
    groups: ExcludedEngines,
    /// The last published hold of each target.
    published: BTreeMap<HoldTarget, Hold>,
}

impl Holds {
    /// Returns the held fingerprints.
    pub(crate) fn fingerprints(&self) -> impl Iterator<Item = (&FingerprintId, &FingerprintHold)> {
        self.fingerprints.iter()
    }

    /// Returns the table groups with the engines that they are excluded from.
    pub(crate) fn groups(&self) -> impl Iterator<Item = (&u64, &Vec<EngineId>)> {
        self.groups.iter()
    }

    /// Returns whether a fingerprint is held.
    pub(crate) fn contains(&self, fingerprint: FingerprintId) -> bool {
        self.fingerprints.contains_key(&fingerprint)
    }

    /// Restores the holds of an earlier incarnation.
    pub(crate) fn restore(&mut self, holds: Vec<(FingerprintId, FingerprintHold)>) {
        self.fingerprints.extend(holds);
    }

    /// Holds a fingerprint because of a runaway.
    pub(crate) fn add_runaway(
        &mut self,
        now: Micros,
        fingerprint: FingerprintId,
        class: usize,
        label: &str,
        low_priority: bool,
    ) {
        if let Some(hold) = self.fingerprints.get_mut(&fingerprint) {
            hold.tighten(now);
            return;
        }
        self.evict_excess();
        let hold = FingerprintHold {
            class,
            label: label.to_owned(),
            max_in_flight: 1,
            clean_runs: 0,
            clean_runs_needed: MIN_CLEAN_RUNS,
            since: now,
            last_activity_at: now,
            low_priority,
            runaways: 1,
        };
        self.fingerprints.insert(fingerprint, hold);
    }

    /// Records that a runaway of a held fingerprint ended or was cleared.
    pub(crate) fn remove_runaway(&mut self, now: Micros, fingerprint: FingerprintId) {
        if let Some(hold) = self.fingerprints.get_mut(&fingerprint) {
            hold.runaways = hold.runaways.saturating_sub(1);
            hold.last_activity_at = now;
        }
    }

    /// Records that a statement of a fingerprint ended; `is_clean` if it stayed within half of its bound.
    pub(crate) fn record_run(&mut self, now: Micros, fingerprint: FingerprintId, is_clean: bool) {
        let Some(hold) = self.fingerprints.get_mut(&fingerprint) else {
            return;
        };
        hold.last_activity_at = now;
        if !is_clean {
            hold.clean_runs = 0;
            return;
        }
        hold.clean_runs += 1;
        if hold.clean_runs >= hold.clean_runs_needed {
            hold.relax();
        }
        if hold.can_be_released() {
            self.fingerprints.remove(&fingerprint);
        }
    }

    /// Releases a hold. Returns `false` if the fingerprint is not held.
    pub(crate) fn release(&mut self, fingerprint: FingerprintId) -> bool {
        self.fingerprints.remove(&fingerprint).is_some()
    }

    /// Replaces the exclusions of table groups.
    pub(crate) fn exclude_groups(&mut self, groups: ExcludedEngines) {
        self.groups = groups;
    }

    /// Doubles the limits of fingerprints that have been idle.
    pub(crate) fn relax_idle(&mut self, now: Micros) {
        let without_runaways = self.fingerprints.values_mut().filter(|h| h.runaways == 0);
        for hold in without_runaways {
            if now.saturating_sub(hold.last_activity_at) >= IDLE_STEP {
                hold.relax();
                hold.last_activity_at = now;
            }
        }
        self.fingerprints.retain(|_, hold| !hold.can_be_released());
    }

    /// Returns the holds that are new or changed since the last call. Released ones are returned as holds without a
    /// limit.
    pub(crate) fn take_changes(&mut self, engines: &[EngineStatus]) -> Vec<Hold> {
        let desired = self.desired_holds(engines);
        let is_released = |target: &&HoldTarget| !desired.contains_key(target);
        let released = self.published.keys().filter(is_released);
        let mut changes: Vec<Hold> = released
            .map(|target| Hold {
                target: *target,
                max_in_flight: u32::MAX,
                excluded_engines: Vec::new(),
                low_priority: false,
            })
            .collect();
        let is_changed = |hold: &&Hold| self.published.get(&hold.target) != Some(hold);
        changes.extend(desired.values().filter(is_changed).cloned());
        self.published = desired;
        changes
    }

    /// Returns the holds that should be in effect, given these engines.
    fn desired_holds(&self, engines: &[EngineStatus]) -> BTreeMap<HoldTarget, Hold> {
        let fingerprints = self.fingerprints.iter().map(|(fingerprint, hold)| Hold {
            target: HoldTarget::Kind(fingerprint.0),
            max_in_flight: hold.max_in_flight + hold.runaways,
            excluded_engines: engines_excluded_by_hold(*fingerprint, hold, engines),
            low_priority: hold.low_priority,
        });
        // A group excluded from every engine would never run.
        let may_run = |excluded: &[EngineId]| {
            engines
                .iter()
                .any(|status| status.is_up && !excluded.contains(&status.engine))
        };
        let groups = self
            .groups
            .iter()
            .filter(|(_, excluded)| may_run(excluded))
            .map(|(group, excluded)| Hold {
                target: HoldTarget::Group(*group),
                max_in_flight: u32::MAX,
                excluded_engines: excluded.clone(),
                low_priority: false,
            });
        fingerprints
            .chain(groups)
            .map(|hold| (hold.target, hold))
            .collect()
    }

    /// Makes room for one more fingerprint.
    fn evict_excess(&mut self) {
        if self.fingerprints.len() < MAX_HOLDS {
            return;
        }
        let nearest_release = self
            .fingerprints
            .iter()
            .max_by_key(|(_, hold)| (hold.max_in_flight, Reverse(hold.last_activity_at)));
        if let Some(id) = nearest_release.map(|(id, _)| *id) {
            self.fingerprints.remove(&id);
        }
    }
}

/// Returns the engines that a held fingerprint may not run on: all but as many as its limit. The allowed engines are
/// chosen by a hash that is the same on all routers, so that routers agree without communication (rendezvous hashing).
fn engines_excluded_by_hold(
    fingerprint: FingerprintId,
    hold: &FingerprintHold,
    engines: &[EngineStatus],
) -> Vec<EngineId> {
    let is_eligible = |status: &&EngineStatus| {
        status.is_up && status.classes.get(hold.class).copied().unwrap_or(true)
    };
    let mut eligible: Vec<EngineId> = engines
        .iter()
        .filter(is_eligible)
        .map(|status| status.engine)
        .collect();
    eligible.sort_by_key(|engine| {
        let mut hash = blake3::Hasher::new();
        hash.update(&fingerprint.0.to_le_bytes())
            .update(&engine.0.to_le_bytes());
        *hash.finalize().as_bytes()
    });
    eligible.split_off(eligible.len().min(hold.max_in_flight as usize))
}

#[cfg(test)]
mod tests;
