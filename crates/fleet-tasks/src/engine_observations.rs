//! The observed state of the engines of one shard: when each was started, and whether it is draining. The router that
//! checks their health records it as the note of its lease.

use std::collections::{BTreeMap, BTreeSet};

use hoptiller_coordination::SAME_PROCESS_TOLERANCE_MS;
use serde::{Deserialize, Serialize};

/// The state that an engine has reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineObservation {
    /// The start time of its process, in ms since 1970 by the clock of the router that checked it.
    #[serde(rename = "started")]
    pub started_at_ms: u64,
    /// Whether the engine is draining: it accepts no new work.
    pub draining: bool,
}

impl EngineObservation {
    /// Returns whether both observations are of one process. Its observed start time varies, as it is computed from the
    /// process's age, which takes time to read.
    fn is_same_process(&self, other: &EngineObservation) -> bool {
        self.started_at_ms.abs_diff(other.started_at_ms) <= SAME_PROCESS_TOLERANCE_MS
    }
}

/// The observations of a shard's engines, by the engine's name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct EngineObservations {
    by_engine: BTreeMap<String, EngineObservation>,
}

impl EngineObservations {
    /// Parses a note. An invalid note counts as empty, as the holder of the lease checks all engines again and records
    /// a new one.
    pub fn from_note(note: &str) -> EngineObservations {
        serde_json::from_str(note).unwrap_or_default()
    }

    /// Returns the observations as a note.
    pub fn to_note(&self) -> String {
        // Maps with string keys can always be serialized.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Returns the last observation of an engine, if there is one.
    pub fn get(&self, engine: &str) -> Option<EngineObservation> {
        self.by_engine.get(engine).copied()
    }

    /// Records an observation. Returns whether the engine runs a new process or has changed its draining state. A
    /// slightly different start time of a known process is no change.
    pub fn record(&mut self, engine: &str, observation: EngineObservation) -> bool {
        match self.by_engine.get_mut(engine) {
            Some(known) if known.is_same_process(&observation) => {
                let has_changed = known.draining != observation.draining;
                known.draining = observation.draining;
                has_changed
            }
            _ => {
                self.by_engine.insert(engine.to_owned(), observation);
                true
            }
        }
    }

    /// Removes the observations of all engines that are not in `engines`. Returns whether any was removed.
    pub fn retain(&mut self, engines: &BTreeSet<String>) -> bool {
        let before = self.by_engine.len();
        self.by_engine.retain(|name, _| engines.contains(name));
        self.by_engine.len() != before
    }
}

#[cfg(test)]
mod tests;
