//! Lease times. A router counts a lease from when it *sent* the renewal and subtracts what its clock may run slow; a
//! replica counts from when it *learned* of the renewal and adds what its clock may run fast. So the lease ends at the
//! router first, however long the response was on its way.

use crate::fault_injection::{self, Fault};

/// Whole microseconds on a clock that also runs while the machine or the process is suspended.
pub type Micros = u64;

/// The duration of leases and the accuracy of clocks. The same for all replicas and routers of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTiming {
    /// The duration of a lease.
    pub term: Micros,
    /// The maximum difference between the rates of two clocks, in millionths.
    pub drift: u64,
}

impl LeaseTiming {
    /// The term as a router counts it: over before any clock within the drift says that the term is over.
    pub fn router_term(&self) -> Micros {
        self.term.saturating_sub(self.slack())
    }

    /// The term as a replica counts it.
    pub fn replica_term(&self) -> Micros {
        self.term.saturating_add(self.slack())
    }

    /// What two clocks may differ by within a term, as their rates may differ from true time in opposite directions.
    fn slack(&self) -> Micros {
        (u128::from(self.term) * u128::from(self.drift)).div_ceil(1_000_000) as Micros
    }
}

/// A router's lease on the configuration, by the router's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigLease {
    expires_at: Micros,
}

impl ConfigLease {
    /// Renews the lease by a request that was sent at `sent_at`. A late response is not worth more.
    pub fn renew(&mut self, sent_at: Micros, timing: &LeaseTiming) {
        let expires_at = sent_at.saturating_add(timing.router_term());
        self.expires_at = self.expires_at.max(expires_at);
    }

    /// Whether the lease is valid.
    pub fn is_valid(&self, now: Micros) -> bool {
        now < self.expires_at
            || (self.expires_at > 0 && fault_injection::is_injected(Fault::LeaseNeverExpires))
    }
}
