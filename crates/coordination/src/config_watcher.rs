//! A router's side of the configuration: which versions it enforces, whether its lease is valid, and what it requests
//! from the replicas next. A router asks for a new decision on the class right before it sends each attempt.

use std::collections::BTreeMap;

use crate::command::{Command, ConfigLeaseGrant};
use crate::config_lease::{ConfigLease, LeaseTiming, Micros};
use crate::document::{Document, InDoubtPolicy};
use crate::fault_injection::{self, Fault};
use crate::version::{Holder, Version, VersionNumber, merge_versions};

/// Maximum number of renewals without a response. A further one replaces the oldest.
const MAX_OPEN_RENEWALS: usize = 16;

/// The reason for the rejection of a grant, which then does not renew the lease.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum GrantError {
    /// The grant is not the response to an open renewal.
    #[error("the grant is not the response to an open renewal")]
    Unsolicited,
    /// The replica is behind the versions that this router had reported: its state has been rolled back.
    #[error(
        "a replica reports version {reported}, but version {known} is known: the replica's state was rolled back"
    )]
    Regressed {
        /// The replica's version, in force or latest.
        reported: VersionNumber,
        /// The version that this router knows.
        known: VersionNumber,
    },
    /// A version that this router knows has another document.
    #[error("version {0} has another document than the one that this router knows")]
    DigestMismatch(VersionNumber),
    /// The granted versions are incomplete or not consecutive, or a document does not match its digest.
    #[error(
        "the granted versions are incomplete or not consecutive, or a document does not match its digest"
    )]
    Inconsistent,
}

/// The decision of a router on the statements of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The router processes them under the merge of the versions from the one in force to the latest enforced.
    Allow {
        /// The version in force, as far as the router knows.
        in_force: VersionNumber,
        /// The latest version that the router enforces.
        enforced: VersionNumber,
    },
    /// The router processes them under the last known versions, without the guarantee that no other router enforces a
    /// version that contradicts them: its lease has expired, and the policy of the class is [`InDoubtPolicy::Serve`].
    AllowInDoubt {
        /// The version in force, as far as the router knows.
        in_force: VersionNumber,
        /// The latest version that the router enforces.
        enforced: VersionNumber,
    },
    /// The router rejects them as safe to retry: it has no valid lease, or there is no such class.
    Reject,
}

/// A renewal without a response.
struct OpenRenewal {
    sent_at: Micros,
    enforced: VersionNumber,
    in_force: VersionNumber,
}

/// Watches the versions of the configuration for a router, and holds its lease.
pub struct ConfigWatcher {
    holder: Holder,
    timing: LeaseTiming,
    /// The versions from the one in force to the latest enforced.
    versions: Vec<Version>,
    /// The merge of these versions.
    merged: Option<Document>,
    lease: ConfigLease,
    open_renewals: BTreeMap<u64, OpenRenewal>,
    next_id: u64,
}

impl ConfigWatcher {
    /// Creates a watcher without a lease. `known` are the versions that an earlier incarnation of this router has
    /// stored; they are ignored if they are not consecutive or do not match their digests.
    pub fn new(holder: Holder, timing: LeaseTiming, known: Vec<Version>) -> ConfigWatcher {
        let incarnation = if fault_injection::is_injected(Fault::IgnoreIncarnation) {
            String::new()
        } else {
            holder.incarnation
        };
        let mut watcher = ConfigWatcher {
            holder: Holder {
                incarnation,
                ..holder
            },
            timing,
            versions: Vec::new(),
            merged: None,
            lease: ConfigLease::default(),
            open_renewals: BTreeMap::new(),
            next_id: 0,
        };
        if are_consistent(&known) {
            watcher.install_versions(known);
        }
        watcher
    }

    /// Starts a renewal that is sent now. Returns its id and the command, to which the caller adds its offer for task
    /// leases.
    pub fn start_renewal(&mut self, now: Micros) -> (u64, Command) {
        while self.open_renewals.len() >= MAX_OPEN_RENEWALS {
            self.open_renewals.pop_first();
        }
        let id = self.next_id;
        self.next_id += 1;
        let (enforced, in_force) = (self.enforced(), self.in_force());
        let renewal = OpenRenewal {
            sent_at: now,
            enforced,
            in_force,
        };
        self.open_renewals.insert(id, renewal);
        let command = Command::RenewLease {
            holder: self.holder.clone(),
            enforced,
            in_force,
            offer: None,
        };
        (id, command)
    }

    /// Sets the time from which a renewal counts. Only an injected fault uses this: counted from its response, a lease
    /// would end too late.
    pub fn set_sent_at(&mut self, id: u64, sent_at: Micros) {
        if let Some(renewal) = self.open_renewals.get_mut(&id) {
            renewal.sent_at = sent_at;
        }
    }

    /// Abandons a renewal that has no response.
    pub fn abandon_renewal(&mut self, id: u64) {
        self.open_renewals.remove(&id);
    }

    /// Accepts the response to a renewal. Returns whether the enforced versions have changed.
    ///
    /// # Errors
    ///
    /// Returns an error if the grant contradicts what this router knows. The lease is then not renewed.
    pub fn accept_grant(&mut self, id: u64, grant: ConfigLeaseGrant) -> Result<bool, GrantError> {
        let renewal = self
            .open_renewals
            .remove(&id)
            .ok_or(GrantError::Unsolicited)?;
        self.check_grant(&renewal, &grant)?;
        self.lease.renew(renewal.sent_at, &self.timing);
        // A response that arrives after a later one renews the lease, but rolls no version back.
        let granted = (grant.in_force, grant.enforce);
        let is_newer = grant.in_force >= self.in_force()
            && grant.enforce >= self.enforced()
            && granted != (self.in_force(), self.enforced());
        let has_changed = is_newer && !grant.versions.is_empty();
        if has_changed {
            self.install_versions(grant.versions);
        }
        Ok(has_changed)
    }

    fn check_grant(
        &self,
        renewal: &OpenRenewal,
        grant: &ConfigLeaseGrant,
    ) -> Result<(), GrantError> {
        for (reported, known) in [
            (grant.enforce, renewal.enforced),
            (grant.in_force, renewal.in_force),
        ] {
            if reported < known {
                return Err(GrantError::Regressed { reported, known });
            }
        }
        let (Some(first), Some(last)) = (grant.versions.first(), grant.versions.last()) else {
            let is_unchanged =
                grant.in_force == renewal.in_force && grant.enforce == renewal.enforced;
            return if is_unchanged {
                Ok(())
            } else {
                Err(GrantError::Inconsistent)
            };
        };
        let is_complete =
            first.metadata.number == grant.in_force && last.metadata.number == grant.enforce;
        if !is_complete || !are_consistent(&grant.versions) {
            return Err(GrantError::Inconsistent);
        }
        for known in self.versions.iter().map(|version| &version.metadata) {
            let mut granted = grant.versions.iter().map(|version| &version.metadata);
            let same = granted.find(|metadata| metadata.number == known.number);
            if same.is_some_and(|metadata| metadata.digest != known.digest) {
                return Err(GrantError::DigestMismatch(known.number));
            }
        }
        Ok(())
    }

    fn install_versions(&mut self, versions: Vec<Version>) {
        self.merged = merge_versions(&versions);
        self.versions = versions;
    }

    /// Decides on the statements of a class.
    pub fn decide(&self, now: Micros, class: &str) -> Decision {
        let merged = self.merged.as_ref();
        let Some(class) = merged.and_then(|document| document.classes.get(class)) else {
            return Decision::Reject;
        };
        let (in_force, enforced) = (self.in_force(), self.enforced());
        if self.lease.is_valid(now) {
            return Decision::Allow { in_force, enforced };
        }
        match class.in_doubt_policy() {
            InDoubtPolicy::Serve => Decision::AllowInDoubt { in_force, enforced },
            InDoubtPolicy::Reject => Decision::Reject,
        }
    }

    /// Returns whether the lease has expired or was never granted.
    pub fn is_in_doubt(&self, now: Micros) -> bool {
        !self.lease.is_valid(now)
    }

    /// Returns the merge of the enforced versions, or `None` if there are none yet.
    pub fn merged_document(&self) -> Option<&Document> {
        self.merged.as_ref()
    }

    /// Returns the enforced versions from the one in force on, to be stored for a later incarnation.
    pub fn versions(&self) -> &[Version] {
        &self.versions
    }

    /// Returns the version in force, as far as the router knows, or 0 for none.
    pub fn in_force(&self) -> VersionNumber {
        self.versions.first().map_or(0, |v| v.metadata.number)
    }

    /// Returns the latest version that the router enforces, or 0 for none.
    pub fn enforced(&self) -> VersionNumber {
        self.versions.last().map_or(0, |v| v.metadata.number)
    }

    /// Returns the holder of the lease.
    pub fn holder(&self) -> &Holder {
        &self.holder
    }
}

/// Returns whether the numbers are consecutive and each document matches its digest.
fn are_consistent(versions: &[Version]) -> bool {
    let mut pairs = versions.iter().zip(versions.iter().skip(1));
    let are_consecutive = pairs.all(|(a, b)| a.metadata.number + 1 == b.metadata.number);
    let is_intact = |v: &Version| v.metadata.number > 0 && v.document.digest() == v.metadata.digest;
    are_consecutive && versions.iter().all(is_intact)
}
