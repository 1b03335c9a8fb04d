//! Owns times on both sides of a permit. A router counts from when it *asked*, and takes off what its clock may run
//! slow; a keeper counts from when it *learned*, and adds what its clock may run fast. So the router's end comes first,
//! however long the answer was on its way.

use std::collections::BTreeMap;

use crate::config_state::{ConfigState, Holder};
use crate::fault_injection::{self, Fault};
use crate::lease_table::Shard;

/// Whole microseconds on a clock that goes on while the machine or the process is stopped.
pub type Micros = u64;

/// How long permits last, and how far clocks may be wrong. The same for all keepers and routers of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTiming {
    /// How long a permit lasts.
    pub term: Micros,
    /// How far the rates of two clocks may differ, in millionths.
    pub drift: u64,
}

impl LeaseTiming {
    /// The term as a router counts it: over before any clock within the bound says that the term is over.
    pub fn router_term(&self) -> Micros {
        self.term.saturating_sub(self.slack())
    }

    /// The term as a keeper counts it.
    pub fn replica_term(&self) -> Micros {
        self.term.saturating_add(self.slack())
    }

    /// The rates of both clocks may differ from true time in opposite directions.
    fn slack(&self) -> Micros {
        (u128::from(self.term) * u128::from(self.drift)).div_ceil(1_000_000) as Micros
    }
}

/// A router's right to act, until a moment of its own clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigLease {
    expires_at: Micros,
}

impl ConfigLease {
    /// Was asked for at that moment, and granted. An answer that comes late is not worth more.
    pub fn renew(&mut self, asked: Micros, bounds: &LeaseTiming) {
        self.expires_at = self
            .expires_at
            .max(asked.saturating_add(bounds.router_term()));
    }

    /// Whether it is alive at a moment.
    pub fn is_valid(&self, now: Micros) -> bool {
        now < self.expires_at
            || (self.expires_at > 0 && fault_injection::is_injected(Fault::LeaseNeverExpires))
    }

    /// When it ends.
    pub fn expires_at(&self) -> Micros {
        self.expires_at
    }
}

/// A keeper's times: when it learned of each permit's and each lease's last prolonging. A keeper that starts learns of all
/// at once, so it counts a whole term for each, whatever was left.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ExpiryTracker {
    permits: ObservedRenewals<Holder>,
    leases: ObservedRenewals<Shard>,
}

/// By what was prolonged: the count of its last prolonging, and when that was learned.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ObservedRenewals<K>(BTreeMap<K, (u64, Micros)>);

impl<K> Default for ObservedRenewals<K> {
    fn default() -> Self {
        ObservedRenewals(BTreeMap::new())
    }
}

impl<K: Ord + Clone> ObservedRenewals<K> {
    fn observe(&mut self, now: Micros, all: impl Iterator<Item = (K, u64)>) {
        let mut known = std::mem::take(&mut self.0);
        for (key, serial) in all {
            let at = known
                .remove(&key)
                .filter(|(s, _)| *s == serial)
                .map_or(now, |(_, at)| at);
            self.0.insert(key, (serial, at));
        }
    }

    fn expired(&self, now: Micros, bounds: &LeaseTiming) -> Vec<(K, u64)> {
        let over = |at: Micros| now.saturating_sub(at) > bounds.replica_term();
        self.0
            .iter()
            .filter(|(_, (_, at))| over(*at))
            .map(|(k, (serial, _))| (k.clone(), *serial))
            .collect()
    }

    fn remaining(&self, now: Micros, key: &K, bounds: &LeaseTiming) -> Option<Micros> {
        let (_, at) = self.0.get(key)?;
        Some(at.saturating_add(bounds.replica_term()).saturating_sub(now))
    }
}

impl ExpiryTracker {
    /// Of a keeper that starts, with what its log tells: it knows of no time before.
    pub fn start(now: Micros, fleet: &ConfigState) -> ExpiryTracker {
        let mut terms = ExpiryTracker::default();
        terms.observe(
            if fault_injection::is_injected(Fault::SkipStartupTerm) {
                0
            } else {
                now
            },
            fleet,
        );
        terms
    }

    /// Takes up what the log has brought.
    pub fn observe(&mut self, now: Micros, fleet: &ConfigState) {
        self.permits.observe(
            now,
            fleet
                .holders()
                .map(|(holder, held)| (holder.clone(), held.serial)),
        );
        self.leases.observe(now, fleet.lease_table().renewals());
    }

    /// Permits that have run out by this clock, each with the count of its last prolonging.
    pub fn expired_config_leases(&self, now: Micros, bounds: &LeaseTiming) -> Vec<(Holder, u64)> {
        self.permits.expired(now, bounds)
    }

    /// Leases that have run out by this clock, each with the count of its last prolonging.
    pub fn expired_task_leases(&self, now: Micros, bounds: &LeaseTiming) -> Vec<(Shard, u64)> {
        self.leases.expired(now, bounds)
    }

    /// Time until a permit has run out by this clock.
    pub fn config_lease_remaining(
        &self,
        now: Micros,
        holder: &Holder,
        bounds: &LeaseTiming,
    ) -> Option<Micros> {
        self.permits.remaining(now, holder, bounds)
    }

    /// Time until a lease has run out by this clock.
    pub fn task_lease_remaining(
        &self,
        now: Micros,
        part: &Shard,
        bounds: &LeaseTiming,
    ) -> Option<Micros> {
        self.leases.remaining(now, part, bounds)
    }
}
