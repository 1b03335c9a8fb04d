//! The timing of leases. A router counts the term of a lease from when it *sent* the renewal, and shortens the term in
//! case its clock runs slow. A replica counts from when it *learned* of the renewal, and lengthens the term in case its
//! clock runs fast. So the lease ends at the router first, however long the response takes.

use crate::fault_injection::{self, Fault};

/// A time or a duration in whole microseconds, by a clock that also runs while the machine or the process is suspended.
pub type Micros = u64;

/// The duration of leases and the accuracy of clocks, which are the same for all replicas and routers of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTiming {
    /// The duration of a lease.
    pub term: Micros,
    /// The maximum difference between the rates of two clocks, in millionths.
    pub drift: u64,
}

impl LeaseTiming {
    /// Returns the term as a router counts it. It ends before the term has passed on any clock within the drift.
    pub fn router_term(&self) -> Micros {
        self.term.saturating_sub(self.drift_allowance())
    }

    /// Returns the term as a replica counts it.
    pub fn replica_term(&self) -> Micros {
        self.term.saturating_add(self.drift_allowance())
    }

    /// Returns the maximum difference between two clocks after one term. Routers and replicas both allow for it, as
    /// their clocks may differ from true time in opposite directions.
    fn drift_allowance(&self) -> Micros {
        (u128::from(self.term) * u128::from(self.drift)).div_ceil(1_000_000) as Micros
    }
}

/// A router's lease on the configuration, by the router's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigLease {
    expires_at: Micros,
}

impl ConfigLease {
    /// Extends the lease to one term after the renewal was sent, however late its response arrives.
    pub fn renew(&mut self, sent_at: Micros, timing: &LeaseTiming) {
        let expires_at = sent_at.saturating_add(timing.router_term());
        self.expires_at = self.expires_at.max(expires_at);
    }

    /// Returns whether the lease is valid.
    pub fn is_valid(&self, now: Micros) -> bool {
        now < self.expires_at
            || (self.expires_at > 0 && fault_injection::is_injected(Fault::LeaseNeverExpires))
    }
}
