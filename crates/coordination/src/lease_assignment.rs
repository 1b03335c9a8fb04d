//! Assignment of task leases to routers.
//!
//! Leases are spread evenly over the routers that have renewed often enough in a row. A router that leaves before it
//! has renewed that often is assigned none. A router that stays receives its share from the routers with the most
//! leases, and no other lease moves.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::lease_messages::{LeaseOffer, TaskLeaseGrant};
use crate::shard::Shard;
use crate::version::Holder;

/// Number of consecutive acknowledged renewals after which a router is assigned leases: about as many as fit into one
/// term.
pub const MIN_CONSECUTIVE_RENEWALS: u32 = 5;

/// The lease of a shard, as recorded in the replicated state.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct Lease {
    pub(crate) holder: Holder,
    #[serde(rename = "number")]
    pub(crate) fencing_token: u64,
    /// The serial of the last renewal.
    pub(crate) serial: u64,
    #[serde(rename = "leaving")]
    pub(crate) release_requested: bool,
}

impl Lease {
    pub(crate) fn new(holder: Holder, fencing_token: u64, serial: u64) -> Lease {
        Lease {
            holder,
            fencing_token,
            serial,
            release_requested: false,
        }
    }

    pub(crate) fn is_held_by(&self, holder: &Holder, fencing_token: u64) -> bool {
        self.holder == *holder && self.fencing_token == fencing_token
    }

    pub(crate) fn grant(&self, shard: Shard) -> TaskLeaseGrant {
        TaskLeaseGrant {
            shard,
            fencing_token: self.fencing_token,
            release_requested: self.release_requested,
        }
    }
}

/// The state of a shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct LeaseSlot {
    pub(crate) lease: Option<Lease>,
    pub(crate) note: Option<String>,
    /// The router that released the lease last. Another router is preferred, if there is one.
    #[serde(rename = "tried", default)]
    pub(crate) last_released_by: Option<Holder>,
    #[serde(rename = "changed")]
    pub(crate) changed_at_revision: u64,
}

/// The state of a router that takes part in task leases.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct Candidate {
    /// The serial of the last renewal.
    pub(crate) serial: u64,
    /// The number of consecutive renewals that acknowledged the response before them, up to
    /// [`MIN_CONSECUTIVE_RENEWALS`].
    #[serde(rename = "in_row")]
    pub(crate) consecutive_renewals: u32,
}

impl Candidate {
    /// Returns whether an offer acknowledges the response to the last renewal. Before the first renewal, the serial is
    /// 0 and there is no response.
    pub(crate) fn has_acknowledged(&self, offer: &LeaseOffer) -> bool {
        self.serial > 0 && offer.acknowledged_serial == self.serial
    }

    pub(crate) fn is_eligible(&self) -> bool {
        self.consecutive_renewals >= MIN_CONSECUTIVE_RENEWALS
    }

    pub(crate) fn record_renewal(&mut self, serial: u64, acknowledged: bool, accepts_leases: bool) {
        self.serial = serial;
        self.consecutive_renewals = if acknowledged && accepts_leases {
            let renewals = self.consecutive_renewals.saturating_add(1);
            renewals.min(MIN_CONSECUTIVE_RENEWALS)
        } else {
            0
        };
    }
}

/// The number of leases of each eligible router, without those that it is requested to release.
pub(crate) struct HolderLoad {
    leases: BTreeMap<Holder, u32>,
}

impl HolderLoad {
    pub(crate) fn new(
        slots: &BTreeMap<Shard, LeaseSlot>,
        candidates: &BTreeMap<Holder, Candidate>,
    ) -> HolderLoad {
        let eligible = candidates.iter().filter(|(_, c)| c.is_eligible());
        let mut load: BTreeMap<_, _> = eligible.map(|(holder, _)| (holder.clone(), 0)).collect();
        for lease in slots.values().filter_map(|slot| slot.lease.as_ref()) {
            if let (false, Some(count)) = (lease.release_requested, load.get_mut(&lease.holder)) {
                *count += 1;
            }
        }
        HolderLoad { leases: load }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }

    pub(crate) fn total(&self) -> u64 {
        self.leases.values().map(|count| u64::from(*count)).sum()
    }

    /// Assigns a shard to the router with the fewest leases, and counts it. The router that released the shard last is
    /// treated as if it had one more lease.
    pub(crate) fn assign(
        &mut self,
        shard: &Shard,
        last_released_by: Option<&Holder>,
    ) -> Option<Holder> {
        let cost = |(holder, count): &(&Holder, &mut u32)| {
            let has_released_it = last_released_by == Some(*holder);
            let adjusted_count = **count + u32::from(has_released_it);
            (adjusted_count, has_released_it, tie_breaker(shard, holder))
        };
        let (holder, count) = self.leases.iter_mut().min_by_key(cost)?;
        *count += 1;
        Some(holder.clone())
    }

    fn add_to_least_loaded(&mut self) {
        if let Some((_, count)) = self.leases.iter_mut().min_by_key(|(_, count)| **count) {
            *count += 1;
        }
    }

    /// Returns the routers with the most and the fewest leases, if moving a lease between them evens out the load.
    fn next_move(&self) -> Option<(Holder, Holder)> {
        let (to, fewest) = self.leases.iter().min_by_key(|(_, count)| **count)?;
        let (from, most) = self.leases.iter().max_by_key(|(_, count)| **count)?;
        (*most >= fewest + 2).then(|| (from.clone(), to.clone()))
    }

    fn count_move(&mut self, from: Holder, to: Holder) {
        self.leases.entry(from).and_modify(|count| *count -= 1);
        self.leases.entry(to).and_modify(|count| *count += 1);
    }
}

/// Requests the release of leases until the load is even.
pub(crate) fn request_moves(slots: &mut BTreeMap<Shard, LeaseSlot>, load: &mut HolderLoad) {
    // Leases whose release is requested already will go to the routers with the fewest leases. Counting them there
    // avoids requesting more moves than needed.
    let is_moving = |slot: &&LeaseSlot| {
        let lease = slot.lease.as_ref();
        lease.is_some_and(|lease| lease.release_requested)
    };
    for _ in 0..slots.values().filter(is_moving).count() {
        load.add_to_least_loaded();
    }
    while let Some((from, to)) = load.next_move() {
        let movable = slots
            .iter_mut()
            // A lease is not moved back to the router that released it last.
            .filter(|(_, slot)| slot.last_released_by.as_ref() != Some(&to))
            .filter_map(|(shard, slot)| Some((shard, slot.lease.as_mut()?)))
            .filter(|(_, lease)| lease.holder == from && !lease.release_requested);
        let Some((_, lease)) = movable.max_by_key(|(shard, _)| tie_breaker(shard, &to)) else {
            return;
        };
        lease.release_requested = true;
        load.count_move(from, to);
    }
}

/// Returns a hash that decides between equal choices: the same on all replicas, and evenly spread over the routers.
fn tie_breaker(shard: &Shard, holder: &Holder) -> [u8; 8] {
    let hash = blake3::hash(format!("{shard} {}", holder.router).as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    first
}
