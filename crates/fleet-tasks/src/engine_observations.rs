//! What the engines of one shard have reported of themselves: when each has started, and whether it is draining. The
//! router that checks their health records it as the note of its lease.

use std::collections::{BTreeMap, BTreeSet};

use hoptiller_coordination::SAME_PROCESS_TOLERANCE_MS;
use serde::{Deserialize, Serialize};

/// What an engine has reported of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineObservation {
    /// When its process started, in ms since 1970 by the clock of the router that checked it.
    #[serde(rename = "started")]
    pub started_at_ms: u64,
    /// Whether it accepts no new work.
    pub draining: bool,
}

impl EngineObservation {
    /// Whether both are of one process: its start is computed from its age, which takes time to read.
    fn is_same_process(&self, other: &EngineObservation) -> bool {
        self.started_at_ms.abs_diff(other.started_at_ms) <= SAME_PROCESS_TOLERANCE_MS
    }
}

/// The observations of a shard, by the engine's name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct EngineObservations {
    by_engine: BTreeMap<String, EngineObservation>,
}

impl EngineObservations {
    /// Reads a note. One that can't be read counts as empty, as its author checks all engines again.
    pub fn from_note(note: &str) -> EngineObservations {
        serde_json::from_str(note).unwrap_or_default()
    }

    /// The observations as a note.
    pub fn to_note(&self) -> String {
        // Plain data with text keys: it always has a JSON form.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// What an engine has reported of itself, if it was observed.
    pub fn get(&self, engine: &str) -> Option<EngineObservation> {
        self.by_engine.get(engine).copied()
    }

    /// Records an observation. Returns whether it changes what is known; another reading of the start of a known process
    /// does not.
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

    /// Removes all engines but these. Returns whether any was removed.
    pub fn retain(&mut self, engines: &BTreeSet<String>) -> bool {
        let before = self.by_engine.len();
        self.by_engine.retain(|name, _| engines.contains(name));
        self.by_engine.len() != before
    }
}

#[cfg(test)]
mod tests;
