//! The replicated table of task leases: which router holds the lease of each shard, under which fencing token.
//!
//! A lease is renewed together with its holder's configuration lease, and only if the holder has received the response
//! to its previous renewal. It ends in two ways: the holder releases it, or it expires by a replica's clock, counted
//! from when that replica learned of the last renewal. Each new lease has a fencing token that was never used before.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::fault_injection::{self, Fault};
use crate::lease_assignment::{Candidate, HolderLoad, Lease, LeaseSlot, request_moves};
use crate::lease_messages::{
    LeaseOffer, LeaseTableEntry, LeaseTableUpdate, NoteError, TaskLeaseGrant,
};
use crate::shard::{MAX_SHARDS, Shard, Task};
use crate::version::Holder;

pub use crate::lease_assignment::MIN_CONSECUTIVE_RENEWALS;

/// Maximum size of a note, in bytes.
pub const MAX_NOTE_BYTES: usize = 1 << 20;

/// All task leases of a fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseTable {
    slots: BTreeMap<Shard, LeaseSlot>,
    #[serde(rename = "takers", with = "crate::map_as_pairs")]
    candidates: BTreeMap<Holder, Candidate>,
    #[serde(rename = "fence")]
    last_fencing_token: u64,
    /// The number of changes of the table.
    #[serde(rename = "board")]
    revision: u64,
}

impl LeaseTable {
    /// Sets the tasks that exist, each with its number of shards.
    pub(crate) fn set_tasks(&mut self, tasks: &BTreeMap<Task, u32>) {
        let shards = tasks
            .iter()
            .flat_map(|(task, count)| (0..*count).map(|index| Shard { task: *task, index }));
        let wanted: BTreeSet<Shard> = shards.take(MAX_SHARDS).collect();
        if self.slots.keys().eq(&wanted) {
            return;
        }
        // A removed shard may still be held: its slot stays until the lease ends. All shards share one sequence of
        // fencing tokens, so that the tokens increase even for a shard that is removed and added again.
        self.slots
            .retain(|shard, slot| wanted.contains(shard) || slot.lease.is_some());
        for (shard, slot) in &mut self.slots {
            if let (false, Some(lease)) = (wanted.contains(shard), &mut slot.lease) {
                lease.release_requested = true;
            }
        }
        self.revision += 1;
        for shard in wanted {
            let changed_at_revision = self.revision;
            self.slots.entry(shard).or_insert_with(|| LeaseSlot {
                changed_at_revision,
                ..LeaseSlot::default()
            });
        }
        self.rebalance();
    }

    /// Renews a router's leases; `serial` is the serial of the renewal of its configuration lease. Returns its leases,
    /// or `None` if they are not renewed because the router has not received the response to its previous renewal.
    pub(crate) fn renew(
        &mut self,
        holder: &Holder,
        serial: u64,
        offer: &LeaseOffer,
    ) -> Option<Vec<TaskLeaseGrant>> {
        let candidate = self.candidates.entry(holder.clone()).or_default();
        let acknowledged = candidate.has_acknowledged(offer);
        let was_eligible = candidate.is_eligible();
        candidate.record_renewal(serial, acknowledged, offer.accepts_leases);
        let mut changed = was_eligible != candidate.is_eligible();
        for (shard, fencing_token) in &offer.released {
            changed |= self.release(holder, shard, *fencing_token);
        }
        if changed {
            self.rebalance();
        }
        let own_leases = self
            .slots
            .iter_mut()
            .filter_map(|(shard, slot)| Some((*shard, slot.lease.as_mut()?)))
            .filter(|(_, lease)| lease.holder == *holder);
        let mut grants = Vec::new();
        for (shard, lease) in own_leases {
            lease.release_requested |= !offer.accepts_leases;
            if acknowledged {
                lease.serial = serial;
                grants.push(lease.grant(shard));
            }
        }
        acknowledged.then_some(grants)
    }

    /// Removes a router, whose configuration lease is released or has expired.
    pub(crate) fn remove_holder(&mut self, holder: &Holder) {
        let mut changed = self.candidates.remove(holder).is_some();
        let shards: Vec<Shard> = self.slots.keys().copied().collect();
        for shard in shards {
            changed |= self.end_lease_if(&shard, |lease| lease.holder == *holder);
        }
        if changed {
            self.rebalance();
        }
    }

    /// Removes leases that have expired by a replica's clock, each with the serial of its last renewal.
    pub(crate) fn expire(&mut self, expired: &[(Shard, u64)]) {
        let mut changed = false;
        for (shard, serial) in expired {
            let lease = self.slots.get(shard).and_then(|slot| slot.lease.as_ref());
            let holder = lease.map(|lease| lease.holder.clone());
            // A lease that was renewed after the replica judged it has not expired.
            if self.end_lease_if(shard, |lease| lease.serial == *serial) {
                changed = true;
                // Otherwise the holder would be assigned the lease again at once, though it does not renew it.
                let candidate = holder.and_then(|holder| self.candidates.get_mut(&holder));
                if let Some(candidate) = candidate {
                    candidate.consecutive_renewals = 0;
                }
            }
        }
        if changed {
            self.rebalance();
        }
    }

    /// Records a note on the progress of a lease's holder, for all routers and for the next holder.
    pub(crate) fn record_note(
        &mut self,
        holder: &Holder,
        shard: &Shard,
        fencing_token: u64,
        text: &str,
    ) -> Result<(), NoteError> {
        if text.len() > MAX_NOTE_BYTES {
            return Err(NoteError::TooLong);
        }
        let slot = self.slots.get_mut(shard).ok_or(NoteError::StaleToken)?;
        // An earlier holder must not overwrite the note of its successor.
        let lease = slot.lease.as_ref();
        if !lease.is_some_and(|lease| lease.is_held_by(holder, fencing_token)) {
            return Err(NoteError::StaleToken);
        }
        if slot.note.as_deref() != Some(text) {
            self.revision += 1;
            slot.note = Some(text.to_owned());
            slot.changed_at_revision = self.revision;
        }
        Ok(())
    }

    /// Ends a lease that its holder has released. Returns whether the router held it.
    fn release(&mut self, holder: &Holder, shard: &Shard, fencing_token: u64) -> bool {
        let released = self.end_lease_if(shard, |lease| lease.is_held_by(holder, fencing_token));
        if let (true, Some(slot)) = (released, self.slots.get_mut(shard)) {
            slot.last_released_by = Some(holder.clone());
        }
        released
    }

    /// Ends the lease of a shard if the lease meets a condition. Returns whether it has ended.
    fn end_lease_if(&mut self, shard: &Shard, condition: impl Fn(&Lease) -> bool) -> bool {
        let Some(slot) = self.slots.get_mut(shard) else {
            return false;
        };
        if !slot.lease.as_ref().is_some_and(condition) {
            return false;
        }
        slot.lease = None;
        self.revision += 1;
        slot.changed_at_revision = self.revision;
        true
    }

    /// Assigns free shards to the routers with the fewest leases, and asks the routers with the most to release some.
    fn rebalance(&mut self) {
        let mut load = HolderLoad::new(&self.slots, &self.candidates);
        if load.is_empty() {
            return;
        }
        self.assign_free_shards(&mut load);
        request_moves(&mut self.slots, &mut load);
    }

    fn assign_free_shards(&mut self, load: &mut HolderLoad) {
        for (shard, slot) in &mut self.slots {
            if slot.lease.is_some() {
                continue;
            }
            let Some(holder) = load.assign(shard, slot.last_released_by.as_ref()) else {
                return;
            };
            self.last_fencing_token += 1;
            self.revision += 1;
            let fencing_token = if fault_injection::is_injected(Fault::ReuseFencingTokens) {
                1 + load.total() % 2
            } else {
                self.last_fencing_token
            };
            if let Some(candidate) = self.candidates.get(&holder) {
                slot.lease = Some(Lease::new(holder, fencing_token, candidate.serial));
                slot.changed_at_revision = self.revision;
            }
        }
    }

    /// Returns the changes of the table since a revision.
    pub fn updates_since(&self, revision: u64) -> LeaseTableUpdate {
        // A later revision than this table's comes from the table of another fleet: the router is sent all entries.
        let since = if revision > self.revision {
            0
        } else {
            revision
        };
        let changed = self
            .slots
            .iter()
            .filter(|(_, slot)| slot.changed_at_revision > since);
        let entry = |(shard, slot): (&Shard, &LeaseSlot)| LeaseTableEntry {
            shard: *shard,
            holder: slot
                .lease
                .as_ref()
                .map(|lease| (lease.holder.clone(), lease.fencing_token)),
            note: slot.note.clone(),
        };
        LeaseTableUpdate {
            revision: self.revision,
            shards: self.slots.keys().copied().collect(),
            entries: changed.map(entry).collect(),
        }
    }

    /// Returns the number of changes of the table.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the shards whose lease is held, each with the serial of the lease's last renewal.
    pub fn renewals(&self) -> impl Iterator<Item = (Shard, u64)> + '_ {
        self.slots
            .iter()
            .filter_map(|(shard, slot)| Some((*shard, slot.lease.as_ref()?.serial)))
    }

    /// Returns the last fencing token that was assigned, which is the number of leases so far. For diagnosis and tests.
    pub fn last_fencing_token(&self) -> u64 {
        self.last_fencing_token
    }
}
