//! What the engines of one shard have reported of themselves: when each has started, and whether it is draining. The router
//! that checks their health records it as the note of its lease.

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

/// Observations by the engine's name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineObservations(pub BTreeMap<String, EngineObservation>);

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

    /// Records an observation. Returns whether it is news; another start of a known process is not.
    pub fn record(&mut self, engine: &str, observation: EngineObservation) -> bool {
        match self.0.get_mut(engine) {
            Some(known) if known.is_same_process(&observation) => {
                let has_changed = known.draining != observation.draining;
                known.draining = observation.draining;
                has_changed
            }
            _ => {
                self.0.insert(engine.to_owned(), observation);
                true
            }
        }
    }

    /// Removes all engines but these. Returns whether any was removed.
    pub fn retain(&mut self, engines: &BTreeSet<String>) -> bool {
        let before = self.0.len();
        self.0.retain(|name, _| engines.contains(name));
        self.0.len() != before
    }
}

#[cfg(test)]
mod tests;
