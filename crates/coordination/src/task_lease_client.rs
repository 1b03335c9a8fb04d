//! Owns a router's side of its leases: under which it may act at a moment, for how long, and which it gives back.
//!
//! It counts from when it *asked*, takes off the drift and a margin, and is asked again before each act. A lease that is to
//! be given back ends when what runs under it is done, and never comes back under the same number, however late an answer
//! is that still names it.

use std::collections::BTreeMap;

use crate::config_lease::{LeaseTiming, Micros};
use crate::fault_injection::{self, Fault};
use crate::lease_table::{LeaseOffer, LeaseTableEntry, LeaseTableUpdate, Shard, TaskLeaseGrant};

/// Questions that may be open at once; the oldest is given up for a further one.
const MAX_OPEN_REQUESTS: usize = 16;

/// A lease that is held.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct HeldLease {
    fencing_token: u64,
    expires_at: Micros,
    release_requested: bool,
    /// Acts that run under it.
    operations: u32,
}

/// A router's leases, and what it knows of all others'.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TaskLeaseClient {
    term: Micros,
    margin: Micros,
    accepts_leases: bool,
    /// The count of the last prolonging whose answer was heard.
    acknowledged_serial: u64,
    held: BTreeMap<Shard, HeldLease>,
    /// By part: the last number that was given back, or lost.
    ended: BTreeMap<Shard, u64>,
    /// Of these, those that keepers have not confirmed.
    released: BTreeMap<Shard, u64>,
    open: BTreeMap<u64, Micros>,
    table_revision: u64,
    shards: BTreeMap<Shard, (Option<u64>, Option<String>)>,
}

/// An act that runs under a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseGuard {
    /// For what.
    pub shard: Shard,
    /// The lease's number, to be shown to what is acted on.
    pub fencing_token: u64,
    /// The act must be over by then.
    pub expires_at: Micros,
}

impl TaskLeaseClient {
    /// Holds nothing yet. `margin`: how much of each term is left unused, for the way of an act to what it acts on.
    pub fn new(bounds: &LeaseTiming, margin: Micros) -> TaskLeaseClient {
        TaskLeaseClient {
            term: bounds.router_term(),
            margin,
            accepts_leases: true,
            acknowledged_serial: 0,
            held: BTreeMap::new(),
            ended: BTreeMap::new(),
            released: BTreeMap::new(),
            open: BTreeMap::new(),
            table_revision: 0,
            shards: BTreeMap::new(),
        }
    }

    /// What goes with the question of that number, which leaves now.
    pub fn start_renewal(&mut self, id: u64, now: Micros) -> LeaseOffer {
        while self.open.len() >= MAX_OPEN_REQUESTS {
            self.open.pop_first();
        }
        self.open.insert(id, now);
        self.release_finished();
        LeaseOffer {
            acknowledged_serial: self.acknowledged_serial,
            accepts_leases: self.accepts_leases,
            released: self.released.iter().map(|(p, n)| (*p, *n)).collect(),
            table_revision: self.table_revision,
        }
    }

    /// The answer to that question: the count of the prolonging, its leases where they are told, and what has changed of
    /// the board. Returns whether what it holds, or knows of the others, has changed.
    pub fn accept_grant(
        &mut self,
        id: u64,
        now: Micros,
        serial: u64,
        leases: Option<&[TaskLeaseGrant]>,
        board: Option<&LeaseTableUpdate>,
    ) -> bool {
        let Some(asked) = self.open.remove(&id) else {
            return false;
        };
        // Danger: an answer that was overtaken may name what was given back since.
        if serial <= self.acknowledged_serial {
            return false;
        }
        self.acknowledged_serial = serial;
        let from = if fault_injection::is_injected(Fault::TermFromResponse) {
            now
        } else {
            asked
        };
        let margin = if fault_injection::is_injected(Fault::SkipMargin) {
            0
        } else {
            self.margin
        };
        let until = from.saturating_add(self.term).saturating_sub(margin);
        let mut changed = false;
        if let Some(grants) = leases {
            for grant in grants {
                if self
                    .ended
                    .get(&grant.shard)
                    .is_some_and(|over| grant.fencing_token <= *over)
                {
                    continue;
                }
                match self
                    .held
                    .get_mut(&grant.shard)
                    .filter(|h| h.fencing_token == grant.fencing_token)
                {
                    Some(hold) => {
                        changed |= hold.release_requested != grant.release_requested;
                        (hold.expires_at, hold.release_requested) = (
                            hold.expires_at.max(until),
                            hold.release_requested || grant.release_requested,
                        );
                    }
                    None => {
                        let (number, leaving) = (grant.fencing_token, grant.release_requested);
                        let fresh = HeldLease {
                            fencing_token: number,
                            expires_at: until,
                            release_requested: leaving,
                            operations: 0,
                        };
                        // One under an earlier number ends here: keepers took it away, so its time is over.
                        if let Some(old) = self.held.insert(grant.shard, fresh) {
                            self.ended.insert(grant.shard, old.fencing_token);
                        }
                        changed = true;
                    }
                }
            }
            let lost: Vec<Shard> = self
                .held
                .keys()
                .filter(|p| !grants.iter().any(|g| g.shard == **p))
                .copied()
                .collect();
            for part in lost {
                changed = true;
                self.end_lease(part);
            }
            self.released.retain(|part, number| {
                grants
                    .iter()
                    .any(|g| g.shard == *part && g.fencing_token == *number)
            });
        }
        self.release_finished();
        if let Some(board) = board {
            changed |= board.revision != self.table_revision;
            self.table_revision = board.revision;
            for LeaseTableEntry {
                shard: part,
                holder,
                note,
            } in &board.entries
            {
                self.shards
                    .insert(*part, (holder.as_ref().map(|h| h.1), note.clone()));
            }
            self.shards.retain(|part, _| board.shards.contains(part));
        }
        changed
    }

    /// A question has no answer.
    pub fn abandon_renewal(&mut self, id: u64) {
        self.open.remove(&id);
    }

    fn end_lease(&mut self, part: Shard) -> Option<u64> {
        let hold = self.held.remove(&part)?;
        self.ended.insert(part, hold.fencing_token);
        Some(hold.fencing_token)
    }

    /// What is to be given back, and has nothing running under it.
    fn release_finished(&mut self) {
        let done =
            |h: &HeldLease| h.operations == 0 && (h.release_requested || !self.accepts_leases);
        let over: Vec<Shard> = self
            .held
            .iter()
            .filter(|(_, h)| done(h))
            .map(|(p, _)| *p)
            .collect();
        for part in over {
            if let Some(number) = self.end_lease(part) {
                self.released.insert(part, number);
            }
        }
    }

    /// Whether an act for a part may begin that takes so long at most. To be asked right before it; [`TaskLeaseClient::done`] ends
    /// it.
    pub fn begin_operation(
        &mut self,
        now: Micros,
        part: Shard,
        takes: Micros,
    ) -> Option<LeaseGuard> {
        let willing = self.accepts_leases;
        let hold = self
            .held
            .get_mut(&part)
            .filter(|h| willing && !h.release_requested)?;
        if now.saturating_add(takes) >= hold.expires_at
            && !fault_injection::is_injected(Fault::LeaseNeverExpires)
        {
            return None;
        }
        hold.operations += 1;
        Some(LeaseGuard {
            shard: part,
            fencing_token: hold.fencing_token,
            expires_at: hold.expires_at,
        })
    }

    /// Whether an act that has begun may be sent now: it is to be asked again right before.
    pub fn is_still_valid(&self, now: Micros, right: &LeaseGuard) -> bool {
        let held = self
            .held
            .get(&right.shard)
            .is_some_and(|h| h.fencing_token == right.fencing_token && now < h.expires_at);
        held || fault_injection::is_injected(Fault::SkipRevalidation)
            || fault_injection::is_injected(Fault::LeaseNeverExpires)
    }

    /// An act is over. Returns whether a lease can be given back by that.
    pub fn end_operation(&mut self, right: &LeaseGuard) -> bool {
        match self
            .held
            .get_mut(&right.shard)
            .filter(|h| h.fencing_token == right.fencing_token)
        {
            Some(hold) => {
                hold.operations = hold.operations.saturating_sub(1);
                hold.operations == 0 && (hold.release_requested || !self.accepts_leases)
            }
            None => false,
        }
    }

    /// Whether a lease is held, with time left.
    pub fn is_holding(&self, now: Micros, part: Shard) -> bool {
        self.held.get(&part).is_some_and(|h| now < h.expires_at)
    }

    /// What is to be done under a lease can't be done here: it is given back, for another to try.
    pub fn request_release(&mut self, part: Shard) {
        if let Some(hold) = self.held.get_mut(&part) {
            hold.release_requested = true;
        }
    }

    /// Takes no leases any more, and gives back what it has.
    pub fn drain(&mut self) {
        self.accepts_leases = false;
    }

    /// Leases that are held or not yet confirmed as given back.
    pub fn outstanding_leases(&self) -> usize {
        self.held.len() + self.released.len()
    }

    /// What is known of a part: the number under which it is held, if it is, and what was noted last. `None`: there is
    /// no such part.
    pub fn shard_status(&self, part: Shard) -> Option<(Option<u64>, Option<&str>)> {
        self.shards
            .get(&part)
            .map(|(number, note)| (*number, note.as_deref()))
    }

    /// Parts that a task has.
    pub fn shard_count(&self, task: crate::lease_table::Task) -> u32 {
        self.shards.keys().filter(|p| p.task == task).count() as u32
    }

    /// Up to where the board is known.
    pub fn table_revision(&self) -> u64 {
        self.table_revision
    }
}
