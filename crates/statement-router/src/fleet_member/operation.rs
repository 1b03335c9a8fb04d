//! An operation that a router performs for the whole fleet.

use std::rc::Rc;
use std::time::Duration;

use hoptiller_coordination::{LeaseGuard, Shard};

use super::FleetMember;

/// An operation under a task lease. It ends when dropped.
pub struct LeasedOperation {
    member: Rc<FleetMember>,
    guard: LeaseGuard,
}

impl LeasedOperation {
    pub(super) fn new(member: Rc<FleetMember>, guard: LeaseGuard) -> LeasedOperation {
        LeasedOperation { member, guard }
    }

    /// Returns the shard.
    pub fn shard(&self) -> Shard {
        self.guard.shard
    }

    /// Returns the fencing token of the lease.
    pub fn fencing_token(&self) -> u64 {
        self.guard.fencing_token
    }

    /// Returns the maximum duration of a request that is sent now, or `None` if it must no longer be sent.
    pub fn remaining(&self) -> Option<Duration> {
        self.member.task_leases.remaining(&self.guard)
    }

    /// Records a note for the other routers, replacing the previous one.
    pub fn record_note(&self, text: String) {
        self.member.task_leases.record_note(&self.guard, text);
    }

    /// Ends the operation and requests the release of its lease, so that another router takes over.
    pub fn hand_over(self) {
        let (member, shard) = (self.member.clone(), self.shard());
        drop(self);
        member.task_leases.request_release(shard);
    }
}

impl Drop for LeasedOperation {
    fn drop(&mut self) {
        self.member.task_leases.end_operation(&self.guard);
    }
}
