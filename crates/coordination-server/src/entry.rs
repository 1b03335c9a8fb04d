//! The entries of the replicated log.

use hoptiller_coordination::Command;
use omnipaxos::storage::Snapshot;
use serde::{Deserialize, Serialize};

use crate::membership::Replacement;
use crate::state_machine::{EntryId, StateMachine};

/// An entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Entry {
    /// Commands for the state machine.
    #[serde(rename = "a")]
    Commands(EntryId, Vec<Command>),
    /// Replacement of one replica by another. Later entries under the same membership are void.
    #[serde(rename = "r")]
    Replace(EntryId, Replacement),
    /// First of a run of compacted entries: the index after the run, and the state after its last entry.
    #[serde(rename = "s")]
    Snapshot(usize, Box<StateMachine>),
    /// Any other entry of a compacted run.
    #[serde(rename = "f")]
    Compacted,
}

impl omnipaxos::storage::Entry for Entry {
    type Snapshot = NoSnapshot;
}

/// The snapshot type for the consensus library. It has no values because the library's snapshots are not used, see
/// [`storage`](crate::storage).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum NoSnapshot {}

impl Snapshot<Entry> for NoSnapshot {
    fn create(_: &[Entry]) -> NoSnapshot {
        unreachable!("not called while `use_snapshots` is false")
    }

    fn merge(&mut self, _: NoSnapshot) {}

    fn use_snapshots() -> bool {
        false
    }
}
