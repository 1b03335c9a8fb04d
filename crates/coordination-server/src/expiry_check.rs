//! The periodic check that proposes to put unblocked versions into force and to remove expired leases. A pending
//! version is unblocked once every holder of an unexpired configuration lease enforces it.
//!
//! Any replica may propose to put versions into force, because each measures leases by its own clock, from the time at
//! which it learned of them. The leader proposes first, which saves duplicate entries. Only the leader proposes
//! entries that do no more than remove expired leases.

use std::collections::BTreeSet;

use hoptiller_coordination::fault_injection::{self, Fault};
use hoptiller_coordination::{Command, ConfigState, ExpiryTracker, Holder, LeaseTiming, Micros};

use crate::in_flight::REPROPOSE_TIMEOUT;
use crate::state_machine::EntryId;

/// Minimum interval between two checks.
const CHECK_INTERVAL: Micros = 50_000;
/// Minimum interval between two entries that only remove expired leases.
const REMOVE_EXPIRED_INTERVAL: Micros = 1_000_000;
/// Time that a follower waits for the leader to put an unblocked version into force before it proposes this itself.
const FOLLOWER_DELAY: Micros = 1_000_000;

/// The inputs of one check.
pub(crate) struct ExpiryCheckInput<'a> {
    pub(crate) config: &'a ConfigState,
    pub(crate) expiry: &'a ExpiryTracker,
    pub(crate) lease_timing: &'a LeaseTiming,
    /// Whether this replica is the leader and can decide entries.
    pub(crate) is_leader: bool,
}

/// The state of the periodic check.
#[derive(Default)]
pub(crate) struct ExpiryCheck {
    last_check_at: Micros,
    /// The time at which a [`Command::CompleteRollout`] was last proposed, to put a version into force or to remove
    /// leases.
    last_complete_rollout_at: Micros,
    /// The last proposed entry and its time; `None` once the entry is decided.
    in_flight: Option<(EntryId, Micros)>,
    /// The time since which nothing blocks the next version.
    unblocked_since: Option<Micros>,
}

impl ExpiryCheck {
    /// Runs a check if one is due and returns the commands to propose, each in an entry of its own. The caller must
    /// call [`ExpiryCheck::record_proposed`] for each entry.
    pub(crate) fn due_commands(
        &mut self,
        now: Micros,
        input: &ExpiryCheckInput<'_>,
    ) -> Vec<Command> {
        let is_in_flight = self
            .in_flight
            .is_some_and(|(_, proposed_at)| now < proposed_at + REPROPOSE_TIMEOUT);
        if now < self.last_check_at + CHECK_INTERVAL || is_in_flight {
            return Vec::new();
        }
        self.last_check_at = now;
        let mut commands = Vec::new();
        let expired_leases = input.expiry.expired_task_leases(now, input.lease_timing);
        if input.is_leader && !expired_leases.is_empty() {
            commands.push(Command::ExpireTaskLeases(expired_leases));
        }
        let expired_holders = input.expiry.expired_config_leases(now, input.lease_timing);
        let holders = expired_holders.iter().map(|(holder, _)| holder).collect();
        self.update_unblocked_since(now, input.config, &holders);
        let removes_expired = input.is_leader
            && !expired_holders.is_empty()
            && now >= self.last_complete_rollout_at + REMOVE_EXPIRED_INTERVAL;
        if removes_expired || self.may_complete_rollout(now, input.is_leader) {
            self.last_complete_rollout_at = now;
            commands.push(Command::CompleteRollout {
                upto: input.config.latest(),
                expired: expired_holders,
            });
        }
        commands
    }

    /// Records that an entry with a command of this check was proposed.
    pub(crate) fn record_proposed(&mut self, now: Micros, id: EntryId) {
        self.in_flight = Some((id, now));
    }

    /// Records that an entry was decided.
    pub(crate) fn record_decided(&mut self, id: EntryId) {
        if self.in_flight.is_some_and(|(proposed, _)| proposed == id) {
            self.in_flight = None;
        }
    }

    fn update_unblocked_since(
        &mut self,
        now: Micros,
        config: &ConfigState,
        expired: &BTreeSet<&Holder>,
    ) {
        self.unblocked_since =
            is_unblocked(config, expired).then(|| self.unblocked_since.unwrap_or(now));
    }

    fn may_complete_rollout(&self, now: Micros, is_leader: bool) -> bool {
        self.unblocked_since
            .is_some_and(|since| is_leader || now >= since + FOLLOWER_DELAY)
    }
}

/// Returns whether a version is pending and all holders that block it have expired.
fn is_unblocked(config: &ConfigState, expired: &BTreeSet<&Holder>) -> bool {
    let is_blocked = config
        .blocking_holders()
        .any(|(holder, _)| !expired.contains(holder));
    config.pending().len() > 0
        && (!is_blocked || fault_injection::is_injected(Fault::SkipRolloutWait))
}
