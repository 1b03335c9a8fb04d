//! The consensus library's storage interface, implemented by [`DiskStorage`].

use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::{StopSign, Storage, StorageOp, StorageResult};

use super::DiskStorage;
use super::persistent_state::Change;
use crate::entry::{Entry, NoSnapshot};

impl DiskStorage {
    /// Applies changes. Always returns `Ok`, because the library can't continue after an error. The storage's handle
    /// keeps the failure.
    fn commit(&self, changes: Vec<Change>) -> StorageResult<()> {
        self.0.borrow_mut().commit(changes);
        Ok(())
    }

    fn next_index(&self) -> usize {
        self.0.borrow().state.next_index()
    }
}

impl Storage<Entry> for DiskStorage {
    fn write_atomically(&mut self, operations: Vec<StorageOp<Entry>>) -> StorageResult<()> {
        let mut next = self.next_index();
        let mut changes = Vec::with_capacity(operations.len());
        for operation in operations {
            let change = match operation {
                StorageOp::SetPromise(ballot) => Change::Promise(ballot),
                StorageOp::SetAcceptedRound(ballot) => Change::AcceptedRound(ballot),
                StorageOp::SetDecidedIndex(decided) => Change::Decided(decided),
                StorageOp::SetStopsign(stop_sign) => Change::StopSign(stop_sign),
                StorageOp::AppendEntry(entry) => Change::Write {
                    from: next,
                    entries: vec![entry],
                },
                StorageOp::AppendEntries(entries) => Change::Write {
                    from: next,
                    entries,
                },
                StorageOp::AppendOnPrefix(from, entries) => Change::Write { from, entries },
                // Not used: for the library nothing is ever compacted, and its snapshots are disabled.
                StorageOp::Trim(_) | StorageOp::SetCompactedIdx(_) | StorageOp::SetSnapshot(_) => {
                    continue;
                }
            };
            if let Change::Write { from, entries } = &change {
                next = from + entries.len();
            }
            changes.push(change);
        }
        self.commit(changes)
    }

    fn append_entry(&mut self, entry: Entry) -> StorageResult<()> {
        self.append_entries(vec![entry])
    }

    fn append_entries(&mut self, entries: Vec<Entry>) -> StorageResult<()> {
        if entries.is_empty() {
            return Ok(());
        }
        let from = self.next_index();
        self.commit(vec![Change::Write { from, entries }])
    }

    fn append_on_prefix(&mut self, from: usize, entries: Vec<Entry>) -> StorageResult<()> {
        self.commit(vec![Change::Write { from, entries }])
    }

    fn set_promise(&mut self, ballot: Ballot) -> StorageResult<()> {
        self.commit(vec![Change::Promise(ballot)])
    }

    fn set_decided_idx(&mut self, decided: usize) -> StorageResult<()> {
        self.commit(vec![Change::Decided(decided)])
    }

    fn get_decided_idx(&self) -> StorageResult<usize> {
        Ok(self.0.borrow().state.decided)
    }

    fn set_accepted_round(&mut self, ballot: Ballot) -> StorageResult<()> {
        self.commit(vec![Change::AcceptedRound(ballot)])
    }

    fn get_accepted_round(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.0.borrow().state.accepted_round)
    }

    fn get_entries(&self, from: usize, to: usize) -> StorageResult<Vec<Entry>> {
        Ok(self.0.borrow().state.entries_between(from, to))
    }

    fn get_log_len(&self) -> StorageResult<usize> {
        Ok(self.next_index())
    }

    fn get_suffix(&self, from: usize) -> StorageResult<Vec<Entry>> {
        let state = &self.0.borrow().state;
        Ok(state.entries_between(from, state.next_index()))
    }

    fn get_promise(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.0.borrow().state.promise)
    }

    fn set_stopsign(&mut self, stop_sign: Option<StopSign>) -> StorageResult<()> {
        self.commit(vec![Change::StopSign(stop_sign)])
    }

    fn get_stopsign(&self) -> StorageResult<Option<StopSign>> {
        Ok(self.0.borrow().state.stop_sign.clone())
    }

    fn trim(&mut self, _index: usize) -> StorageResult<()> {
        Ok(())
    }

    fn set_compacted_idx(&mut self, _index: usize) -> StorageResult<()> {
        Ok(())
    }

    fn get_compacted_idx(&self) -> StorageResult<usize> {
        Ok(0)
    }

    fn set_snapshot(&mut self, _snapshot: Option<NoSnapshot>) -> StorageResult<()> {
        Ok(())
    }

    fn get_snapshot(&self) -> StorageResult<Option<NoSnapshot>> {
        Ok(None)
    }
}
