//! The in-memory copy of a replica's durable state, and the changes that are applied to both the copy and the file.

use std::collections::VecDeque;

use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::StopSign;

use crate::entry::Entry;
use crate::membership::Membership;
use crate::state_machine::StateMachine;

/// The durable state of a replica.
#[derive(Default)]
pub(super) struct PersistentState {
    pub(super) promise: Option<Ballot>,
    pub(super) accepted_round: Option<Ballot>,
    /// The number of decided entries.
    pub(super) decided: usize,
    pub(super) stop_sign: Option<StopSign>,
    /// Entries before this index are compacted into `snapshot`.
    pub(super) compacted: usize,
    pub(super) snapshot: StateMachine,
    /// The entries from index `compacted` onwards.
    pub(super) entries: VecDeque<Entry>,
    /// The membership; `None` while the configured one is in effect.
    pub(super) membership: Option<Membership>,
}

/// A change of the durable state.
pub(super) enum Change {
    Promise(Ballot),
    AcceptedRound(Ballot),
    Decided(usize),
    StopSign(Option<StopSign>),
    /// Replaces all entries from an index onwards.
    Write {
        from: usize,
        entries: Vec<Entry>,
    },
    /// Removes the entries before an index. The snapshot is the state after the last of them.
    Compact {
        up_to: usize,
        snapshot: StateMachine,
    },
    /// Puts a new membership into effect at an index, and removes promises and entries of the previous one.
    Reconfigure {
        membership: Membership,
        index: usize,
        snapshot: StateMachine,
    },
}

impl PersistentState {
    /// Returns the index after the last entry.
    pub(super) fn next_index(&self) -> usize {
        self.compacted + self.entries.len()
    }

    /// Converts changes to the form in which they are stored: a snapshot at the start of the entries becomes a
    /// compaction, and entries that are already compacted are omitted.
    pub(super) fn normalize(&self, changes: Vec<Change>) -> Vec<Change> {
        let mut normalized = Vec::with_capacity(changes.len());
        let mut compacted = self.compacted;
        for change in changes {
            let Change::Write {
                mut from,
                mut entries,
            } = change
            else {
                normalized.push(change);
                continue;
            };
            if let Some(Entry::Snapshot(up_to, snapshot)) = entries.first()
                && *up_to > compacted
            {
                compacted = *up_to;
                normalized.push(Change::Compact {
                    up_to: compacted,
                    snapshot: (**snapshot).clone(),
                });
            }
            if from < compacted {
                entries.drain(..(compacted - from).min(entries.len()));
                from = compacted;
            }
            normalized.push(Change::Write { from, entries });
        }
        normalized
    }

    /// Applies a normalized change.
    pub(super) fn apply(&mut self, change: Change) {
        match change {
            Change::Promise(ballot) => self.promise = Some(ballot),
            Change::AcceptedRound(ballot) => self.accepted_round = Some(ballot),
            Change::Decided(decided) => self.decided = decided,
            Change::StopSign(stop_sign) => self.stop_sign = stop_sign,
            Change::Write { from, entries } => {
                self.entries.truncate(from - self.compacted);
                self.entries.extend(entries);
            }
            Change::Compact { up_to, snapshot } => {
                let dropped = (up_to - self.compacted).min(self.entries.len());
                self.entries.drain(..dropped);
                (self.compacted, self.snapshot) = (up_to, snapshot);
            }
            Change::Reconfigure {
                membership,
                index,
                snapshot,
            } => {
                *self = PersistentState {
                    membership: Some(membership),
                    compacted: index,
                    snapshot,
                    decided: index,
                    ..PersistentState::default()
                };
            }
        }
    }

    /// Returns the entries from index `from` up to but not including `to`, or no entries if some of them are missing.
    /// Represents compacted entries by one [`Entry::Snapshot`] followed by [`Entry::Compacted`].
    pub(super) fn entries_between(&self, from: usize, to: usize) -> Vec<Entry> {
        if to > self.next_index() || from >= to {
            return Vec::new();
        }
        let mut entries = Vec::with_capacity(to - from);
        if from < self.compacted {
            let snapshot = Box::new(self.snapshot.clone());
            entries.push(Entry::Snapshot(self.compacted, snapshot));
            entries.resize(self.compacted.min(to) - from, Entry::Compacted);
        }
        let (first, end) = (from.max(self.compacted), to.max(self.compacted));
        let retained = self
            .entries
            .range(first - self.compacted..end - self.compacted);
        entries.extend(retained.cloned());
        entries
    }
}
