//! When a replica proposes to put versions into force that nothing blocks any more, and to drop expired leases.
//!
//! Any replica may propose the former, as each judges by its own clock from when it learned of a lease; the leader does so
//! first, which saves entries.

use std::collections::BTreeSet;

use hoptiller_coordination::fault_injection::{self, Fault};
use hoptiller_coordination::{Command, ConfigState, ExpiryTracker, Holder, LeaseTiming, Micros};

use crate::in_flight::REPROPOSE_AFTER;
use crate::state_machine::EntryId;

/// Interval between two checks for expired leases.
const CHECK_INTERVAL: Micros = 50_000;
/// Interval between two entries that do nothing but drop expired leases.
const DROP_EXPIRED_INTERVAL: Micros = 1_000_000;
/// How long a follower waits for the leader to put a version into force before it does so itself.
const FOLLOWER_DELAY: Micros = 1_000_000;

/// What one check is based on.
pub(crate) struct ExpiryView<'a> {
    pub(crate) config: &'a ConfigState,
    pub(crate) expiry: &'a ExpiryTracker,
    pub(crate) bounds: &'a LeaseTiming,
    /// Whether this replica leads and can decide entries.
    pub(crate) is_leader: bool,
}

/// The state of the periodic check.
#[derive(Default)]
pub(crate) struct ExpiryCheck {
    checked_at: Micros,
    /// When the last entry that completes a rollout was proposed.
    completed_at: Micros,
    /// The last proposed entry, and when it was proposed; `None` once it is decided.
    in_flight: Option<(EntryId, Micros)>,
    /// Since when nothing blocks the next version.
    unblocked_since: Option<Micros>,
}

impl ExpiryCheck {
    /// Checks, if a check is due, and returns the commands to propose, each in an entry of its own.
    /// [`ExpiryCheck::proposed`] follows for each.
    pub(crate) fn due_commands(&mut self, now: Micros, view: &ExpiryView<'_>) -> Vec<Command> {
        let is_in_flight = self
            .in_flight
            .is_some_and(|(_, proposed_at)| now < proposed_at + REPROPOSE_AFTER);
        if now < self.checked_at + CHECK_INTERVAL || is_in_flight {
            return Vec::new();
        }
        self.checked_at = now;
        let mut commands = Vec::new();
        let expired_leases = view.expiry.expired_task_leases(now, view.bounds);
        if view.is_leader && !expired_leases.is_empty() {
            commands.push(Command::ExpireTaskLeases(expired_leases));
        }
        let expired_holders = view.expiry.expired_config_leases(now, view.bounds);
        let holders = expired_holders.iter().map(|(holder, _)| holder).collect();
        self.update_unblocked(now, view.config, &holders);
        let drops_expired = view.is_leader
            && !expired_holders.is_empty()
            && now >= self.completed_at + DROP_EXPIRED_INTERVAL;
        if drops_expired || self.may_complete_rollout(now, view.is_leader) {
            self.completed_at = now;
            commands.push(Command::CompleteRollout {
                upto: view.config.latest(),
                expired: expired_holders,
            });
        }
        commands
    }

    /// Records that an entry with a command of this check was proposed.
    pub(crate) fn proposed(&mut self, now: Micros, id: EntryId) {
        self.in_flight = Some((id, now));
    }

    /// Records that an entry was decided.
    pub(crate) fn decided(&mut self, id: EntryId) {
        if self.in_flight.is_some_and(|(proposed, _)| proposed == id) {
            self.in_flight = None;
        }
    }

    fn update_unblocked(&mut self, now: Micros, config: &ConfigState, expired: &BTreeSet<&Holder>) {
        self.unblocked_since =
            is_unblocked(config, expired).then(|| self.unblocked_since.unwrap_or(now));
    }

    fn may_complete_rollout(&self, now: Micros, is_leader: bool) -> bool {
        self.unblocked_since
            .is_some_and(|since| is_leader || now >= since + FOLLOWER_DELAY)
    }
}

/// Whether a version is pending and waits for no holder but expired ones.
fn is_unblocked(config: &ConfigState, expired: &BTreeSet<&Holder>) -> bool {
    let is_blocked = config
        .blocking_holders()
        .any(|(holder, _)| !expired.contains(holder));
    config.pending().len() > 0
        && (!is_blocked || fault_injection::is_injected(Fault::SkipRolloutWait))
}
