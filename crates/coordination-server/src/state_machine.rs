//! The replicated state machine: the configuration state and the ids of the log entries applied to it. An entry that a
//! replica proposed twice, because it did not learn the outcome, is applied only once. Replacements are not recorded
//! here: repeating one has no effect, see
//! [`Membership::with_replacement`](crate::membership::Membership::with_replacement).

use std::collections::{BTreeMap, BTreeSet};

use hoptiller_coordination::{Command, CommandResponse, ConfigState};
use serde::{Deserialize, Serialize};

/// Number of applied entries that are remembered individually for each replica. Older entries count as applied.
const DEDUPLICATION_WINDOW: usize = 1024;

/// The id of a log entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EntryId {
    /// The replica that proposed the entry.
    #[serde(rename = "keeper")]
    pub replica: u64,
    /// The incarnation of that replica in which it proposed the entry.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The sequence number of the entry within that incarnation.
    #[serde(rename = "number")]
    pub sequence: u64,
}

/// The applied entries of one replica's last incarnation.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct AppliedEntries {
    #[serde(rename = "life")]
    incarnation: u64,
    #[serde(rename = "numbers")]
    sequences: BTreeSet<u64>,
    /// All sequence numbers below this one count as applied.
    floor: u64,
}

/// The state machine to which all replicas apply the log: the configuration state and the ids of applied entries.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StateMachine {
    #[serde(rename = "fleet")]
    config: ConfigState,
    #[serde(rename = "seen")]
    applied: BTreeMap<u64, AppliedEntries>,
}

impl StateMachine {
    /// Applies the commands of an entry and returns their results. Returns `None` if the entry was applied before or
    /// counts as applied: it is older than the last `DEDUPLICATION_WINDOW` entries, or belongs to an ended incarnation.
    pub fn apply(&mut self, id: EntryId, commands: Vec<Command>) -> Option<Vec<CommandResponse>> {
        let applied = self.applied.entry(id.replica).or_default();
        if id.incarnation < applied.incarnation {
            return None;
        }
        if id.incarnation > applied.incarnation {
            *applied = AppliedEntries {
                incarnation: id.incarnation,
                ..AppliedEntries::default()
            };
        }
        if id.sequence < applied.floor || !applied.sequences.insert(id.sequence) {
            return None;
        }
        while applied.sequences.len() > DEDUPLICATION_WINDOW {
            if let Some(oldest) = applied.sequences.pop_first() {
                applied.floor = oldest + 1;
            }
        }
        let results = commands
            .into_iter()
            .map(|command| self.config.apply(command));
        Some(results.collect())
    }

    /// Returns the configuration state.
    pub fn config_state(&self) -> &ConfigState {
        &self.config
    }
}

#[cfg(test)]
mod tests;
