//! A router's side of its task leases: under which leases it may perform operations, until when, and which it releases.
//!
//! A lease counts from when the renewal was *sent*, less the drift and a margin, and is checked again before each
//! operation. A lease whose release is requested ends when the operations under it have ended. It is never held again
//! under the same fencing token, even if a late response still grants it.

use std::collections::BTreeMap;

use crate::config_lease::{LeaseTiming, Micros};
use crate::fault_injection::{self, Fault};
use crate::lease_messages::{LeaseOffer, LeaseTableUpdate, TaskLeaseGrant};
use crate::shard::{Shard, Task};

/// Maximum number of renewals without a response. A further one replaces the oldest.
const MAX_OPEN_RENEWALS: usize = 16;

/// A task lease that this router holds, by its own clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct HeldLease {
    fencing_token: u64,
    expires_at: Micros,
    release_requested: bool,
    /// The number of operations that run under the lease.
    running_operations: u32,
}

/// The last known state of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ShardStatus {
    /// The fencing token of the lease; `None` if nobody holds it.
    pub fencing_token: Option<u64>,
    /// The last note that was recorded.
    pub note: Option<String>,
}

/// A router's task leases, and its knowledge of the leases of all other routers.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TaskLeaseClient {
    term: Micros,
    margin: Micros,
    accepts_leases: bool,
    /// The serial of the last renewal whose response was received.
    acknowledged_serial: u64,
    held: BTreeMap<Shard, HeldLease>,
    /// The fencing token of the last lease of each shard that has ended here.
    last_ended_tokens: BTreeMap<Shard, u64>,
    /// The fencing tokens of released leases whose release the replicas have not confirmed.
    unconfirmed_releases: BTreeMap<Shard, u64>,
    /// The time at which each open renewal was sent.
    open_renewals: BTreeMap<u64, Micros>,
    table_revision: u64,
    shards: BTreeMap<Shard, ShardStatus>,
}

/// The permission to perform one operation under a lease. It is plain data and does nothing when it is dropped: the
/// router that performs the operation must call [`TaskLeaseClient::end_operation`], whether the operation succeeds or
/// fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseGuard {
    /// The shard.
    pub shard: Shard,
    /// The lease's fencing token, to be sent with the operation.
    pub fencing_token: u64,
    /// The time by which the operation must have ended.
    pub expires_at: Micros,
}

impl TaskLeaseClient {
    /// Creates a client without leases. `margin` is the part of each term that stays unused, for operations on their
    /// way.
    pub fn new(timing: &LeaseTiming, margin: Micros) -> TaskLeaseClient {
        TaskLeaseClient {
            term: timing.router_term(),
            margin,
            accepts_leases: true,
            acknowledged_serial: 0,
            held: BTreeMap::new(),
            last_ended_tokens: BTreeMap::new(),
            unconfirmed_releases: BTreeMap::new(),
            open_renewals: BTreeMap::new(),
            table_revision: 0,
            shards: BTreeMap::new(),
        }
    }

    /// Starts the renewal of an id, which is sent now. Returns the offer that goes with it.
    pub fn start_renewal(&mut self, id: u64, now: Micros) -> LeaseOffer {
        while self.open_renewals.len() >= MAX_OPEN_RENEWALS {
            self.open_renewals.pop_first();
        }
        self.open_renewals.insert(id, now);
        self.release_idle_leases();
        LeaseOffer {
            acknowledged_serial: self.acknowledged_serial,
            accepts_leases: self.accepts_leases,
            released: self
                .unconfirmed_releases
                .iter()
                .map(|(shard, token)| (*shard, *token))
                .collect(),
            table_revision: self.table_revision,
        }
    }

    /// Accepts the response to a renewal: its serial, the leases if they are renewed, and the changes of the lease
    /// table. Returns whether the held leases or the known part of the lease table have changed.
    pub fn accept_grant(
        &mut self,
        id: u64,
        now: Micros,
        serial: u64,
        leases: Option<&[TaskLeaseGrant]>,
        table: Option<&LeaseTableUpdate>,
    ) -> bool {
        let Some(sent_at) = self.open_renewals.remove(&id) else {
            return false;
        };
        // A response that arrives after a later one may grant a lease that was released since.
        if serial <= self.acknowledged_serial {
            return false;
        }
        self.acknowledged_serial = serial;
        let expires_at = self.expiry(sent_at, now);
        let mut changed = leases.is_some_and(|grants| self.apply_grants(grants, expires_at));
        self.release_idle_leases();
        if let Some(update) = table {
            changed |= self.apply_table_update(update);
        }
        changed
    }

    fn expiry(&self, sent_at: Micros, received_at: Micros) -> Micros {
        let start = if fault_injection::is_injected(Fault::TermFromResponse) {
            received_at
        } else {
            sent_at
        };
        let margin = if fault_injection::is_injected(Fault::SkipMargin) {
            0
        } else {
            self.margin
        };
        start.saturating_add(self.term).saturating_sub(margin)
    }

    fn apply_grants(&mut self, grants: &[TaskLeaseGrant], expires_at: Micros) -> bool {
        let mut changed = false;
        for grant in grants {
            changed |= self.apply_grant(grant, expires_at);
        }
        let is_granted = |shard: &Shard| grants.iter().any(|grant| grant.shard == *shard);
        let lost: Vec<Shard> = self
            .held
            .keys()
            .filter(|shard| !is_granted(shard))
            .copied()
            .collect();
        for shard in lost {
            changed = true;
            self.end_lease(shard);
        }
        self.unconfirmed_releases.retain(|shard, token| {
            grants
                .iter()
                .any(|grant| grant.shard == *shard && grant.fencing_token == *token)
        });
        changed
    }

    fn apply_grant(&mut self, grant: &TaskLeaseGrant, expires_at: Micros) -> bool {
        let last_ended = self.last_ended_tokens.get(&grant.shard);
        if last_ended.is_some_and(|last_ended| grant.fencing_token <= *last_ended) {
            return false;
        }
        let held = self.held.get_mut(&grant.shard);
        if let Some(lease) = held.filter(|lease| lease.fencing_token == grant.fencing_token) {
            let changed = lease.release_requested != grant.release_requested;
            lease.expires_at = lease.expires_at.max(expires_at);
            lease.release_requested |= grant.release_requested;
            return changed;
        }
        let lease = HeldLease {
            fencing_token: grant.fencing_token,
            expires_at,
            release_requested: grant.release_requested,
            running_operations: 0,
        };
        // A grant under another fencing token shows that the replicas have ended the earlier lease of the shard, so its
        // time is over here too, even if operations still run under it.
        if let Some(earlier) = self.held.insert(grant.shard, lease) {
            self.last_ended_tokens
                .insert(grant.shard, earlier.fencing_token);
        }
        true
    }

    fn apply_table_update(&mut self, update: &LeaseTableUpdate) -> bool {
        let changed = update.revision != self.table_revision;
        self.table_revision = update.revision;
        for entry in &update.entries {
            let status = ShardStatus {
                fencing_token: entry.holder.as_ref().map(|(_, token)| *token),
                note: entry.note.clone(),
            };
            self.shards.insert(entry.shard, status);
        }
        self.shards.retain(|shard, _| update.shards.contains(shard));
        changed
    }

    /// Abandons a renewal that has no response.
    pub fn abandon_renewal(&mut self, id: u64) {
        self.open_renewals.remove(&id);
    }

    fn end_lease(&mut self, shard: Shard) -> Option<u64> {
        let lease = self.held.remove(&shard)?;
        self.last_ended_tokens.insert(shard, lease.fencing_token);
        Some(lease.fencing_token)
    }

    /// Returns whether a lease must be released and no operation runs under it.
    fn is_releasable(&self, lease: &HeldLease) -> bool {
        lease.running_operations == 0 && (lease.release_requested || !self.accepts_leases)
    }

    /// Releases the leases that must be released and under which no operation runs.
    fn release_idle_leases(&mut self) {
        let held = self.held.iter();
        let releasable: Vec<Shard> = held
            .filter(|(_, lease)| self.is_releasable(lease))
            .map(|(shard, _)| *shard)
            .collect();
        for shard in releasable {
            if let Some(fencing_token) = self.end_lease(shard) {
                self.unconfirmed_releases.insert(shard, fencing_token);
            }
        }
    }

    /// Begins an operation that takes at most `duration`. Returns `None` if the lease is not held, must be released, or
    /// expires before the operation would end. Callers must begin an operation right before they perform it.
    pub fn begin_operation(
        &mut self,
        now: Micros,
        shard: Shard,
        duration: Micros,
    ) -> Option<LeaseGuard> {
        let accepts_leases = self.accepts_leases;
        let held = self.held.get_mut(&shard);
        let lease = held.filter(|lease| accepts_leases && !lease.release_requested)?;
        if now.saturating_add(duration) >= lease.expires_at
            && !fault_injection::is_injected(Fault::LeaseNeverExpires)
        {
            return None;
        }
        lease.running_operations += 1;
        Some(LeaseGuard {
            shard,
            fencing_token: lease.fencing_token,
            expires_at: lease.expires_at,
        })
    }

    /// Returns whether an operation that has begun may still be sent. Callers must check this right before they send
    /// it.
    pub fn is_still_valid(&self, now: Micros, guard: &LeaseGuard) -> bool {
        let lease = self.held.get(&guard.shard);
        lease.is_some_and(|lease| {
            lease.fencing_token == guard.fencing_token && now < lease.expires_at
        }) || fault_injection::is_injected(Fault::SkipRevalidation)
            || fault_injection::is_injected(Fault::LeaseNeverExpires)
    }

    /// Ends an operation. Returns whether its lease can now be released.
    pub fn end_operation(&mut self, guard: &LeaseGuard) -> bool {
        let accepts_leases = self.accepts_leases;
        let held = self.held.get_mut(&guard.shard);
        let Some(lease) = held.filter(|lease| lease.fencing_token == guard.fencing_token) else {
            return false;
        };
        lease.running_operations = lease.running_operations.saturating_sub(1);
        lease.running_operations == 0 && (lease.release_requested || !accepts_leases)
    }

    /// Returns whether the lease of a shard is held and has not expired.
    pub fn is_holding(&self, now: Micros, shard: Shard) -> bool {
        let lease = self.held.get(&shard);
        lease.is_some_and(|lease| now < lease.expires_at)
    }

    /// Marks a lease for release because this router cannot perform its task, so that another router tries.
    pub fn request_release(&mut self, shard: Shard) {
        if let Some(lease) = self.held.get_mut(&shard) {
            lease.release_requested = true;
        }
    }

    /// Stops accepting leases. The next renewals release each held lease as soon as no operation runs under it.
    pub fn drain(&mut self) {
        self.accepts_leases = false;
    }

    /// Returns the number of leases that are held or whose release is not confirmed.
    pub fn outstanding_leases(&self) -> usize {
        self.held.len() + self.unconfirmed_releases.len()
    }

    /// Returns the last known state of a shard, or `None` if there is no such shard.
    pub fn shard_status(&self, shard: Shard) -> Option<&ShardStatus> {
        self.shards.get(&shard)
    }

    /// Returns the number of shards of a task.
    pub fn shard_count(&self, task: Task) -> u32 {
        let shards = self.shards.keys();
        shards.filter(|shard| shard.task == task).count() as u32
    }

    /// Returns the last known revision of the lease table.
    pub fn table_revision(&self) -> u64 {
        self.table_revision
    }
}
