//! Expiry of leases by a replica's clock.

use std::collections::BTreeMap;

use crate::config_lease::{LeaseTiming, Micros};
use crate::config_state::ConfigState;
use crate::fault_injection::{self, Fault};
use crate::shard::Shard;
use crate::version::Holder;

/// The times at which a replica learned of the last renewal of each lease. A replica that starts learns of all at once,
/// so it counts a whole term for each, however much of it has passed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ExpiryTracker {
    config_leases: ObservedRenewals<Holder>,
    task_leases: ObservedRenewals<Shard>,
}

/// The serial of the last renewal of each lease, and when the replica observed it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ObservedRenewals<K>(BTreeMap<K, (u64, Micros)>);

impl<K> Default for ObservedRenewals<K> {
    fn default() -> Self {
        ObservedRenewals(BTreeMap::new())
    }
}

impl<K: Ord + Clone> ObservedRenewals<K> {
    fn observe(&mut self, now: Micros, renewals: impl Iterator<Item = (K, u64)>) {
        let mut known = std::mem::take(&mut self.0);
        for (key, serial) in renewals {
            let observed_at = known
                .remove(&key)
                .filter(|(known_serial, _)| *known_serial == serial)
                .map_or(now, |(_, observed_at)| observed_at);
            self.0.insert(key, (serial, observed_at));
        }
    }

    fn expired(&self, now: Micros, timing: &LeaseTiming) -> Vec<(K, u64)> {
        let has_expired =
            |observed_at: Micros| now.saturating_sub(observed_at) > timing.replica_term();
        self.0
            .iter()
            .filter(|(_, (_, observed_at))| has_expired(*observed_at))
            .map(|(key, (serial, _))| (key.clone(), *serial))
            .collect()
    }

    fn remaining(&self, now: Micros, key: &K, timing: &LeaseTiming) -> Option<Micros> {
        let (_, observed_at) = self.0.get(key)?;
        let expires_at = observed_at.saturating_add(timing.replica_term());
        Some(expires_at.saturating_sub(now))
    }
}

impl ExpiryTracker {
    /// Creates the tracker of a replica that starts with this state. All renewals count as observed now.
    pub fn start(now: Micros, state: &ConfigState) -> ExpiryTracker {
        let observed_at = if fault_injection::is_injected(Fault::SkipStartupTerm) {
            0
        } else {
            now
        };
        let mut tracker = ExpiryTracker::default();
        tracker.observe(observed_at, state);
        tracker
    }

    /// Observes the renewals that have been applied to the state.
    pub fn observe(&mut self, now: Micros, state: &ConfigState) {
        let config_leases = state
            .holders()
            .map(|(holder, held)| (holder.clone(), held.serial));
        self.config_leases.observe(now, config_leases);
        self.task_leases
            .observe(now, state.lease_table().renewals());
    }

    /// Returns the configuration leases that have expired by this clock, each with the serial of its last renewal.
    pub fn expired_config_leases(&self, now: Micros, timing: &LeaseTiming) -> Vec<(Holder, u64)> {
        self.config_leases.expired(now, timing)
    }

    /// Returns the task leases that have expired by this clock, each with the serial of its last renewal.
    pub fn expired_task_leases(&self, now: Micros, timing: &LeaseTiming) -> Vec<(Shard, u64)> {
        self.task_leases.expired(now, timing)
    }

    /// Returns the time until a configuration lease expires by this clock, or `None` if it is not held.
    pub fn config_lease_remaining(
        &self,
        now: Micros,
        holder: &Holder,
        timing: &LeaseTiming,
    ) -> Option<Micros> {
        self.config_leases.remaining(now, holder, timing)
    }

    /// Returns the time until a task lease expires by this clock, or `None` if it is not held.
    pub fn task_lease_remaining(
        &self,
        now: Micros,
        shard: &Shard,
        timing: &LeaseTiming,
    ) -> Option<Micros> {
        self.task_leases.remaining(now, shard, timing)
    }
}
