//! The replicated state of the configuration: the version in force, the versions that are being rolled out, and the
//! routers that hold a lease. Commands come from the replicated log in one order and have the same result on every
//! replica, so their application uses neither a clock nor random numbers.
//!
//! A version takes effect in three steps:
//!
//! 1. It is *proposed*. Routers that receive it enforce the merge of all versions from the one in force to the latest,
//!    and report this with their next renewal.
//! 2. Its rollout is *complete* once every lease holder has reported this or its lease has expired. A replica judges
//!    the expiry by its own clock and states it in the command.
//! 3. It is *in force*.
//!
//! A neutral change does not wait for the lease holders, but only for the versions before it.
//!
//! So while one router enforces a version alone, no other enforces the one before it alone, and the merge in between
//! contradicts neither.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::command::{Command, CommandResponse, ConfigLeaseGrant};
use crate::document::Document;
use crate::fault_injection::{self, Fault};
use crate::lease_messages::LeaseOffer;
use crate::lease_table::LeaseTable;
use crate::merge::{Change, Difference};
use crate::placement::placement_conflicts;
use crate::proposal::{Proposal, Rejection};
use crate::version::{Holder, Version, VersionMetadata, VersionNumber, merge_versions};

/// Maximum number of versions that are being rolled out at once.
pub const MAX_PENDING_CHANGES: usize = 8;
/// Maximum number of routers that hold a lease.
const MAX_HOLDERS: usize = 4096;
/// Number of retired versions whose metadata is kept.
const MAX_RETIRED_METADATA: usize = 256;
/// Number of retired versions whose documents are kept, for comparison and rollback.
const MAX_RETIRED_VERSIONS: usize = 32;

/// A router's configuration lease, as recorded in the replicated state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigLeaseRecord {
    /// The latest version that the holder enforces.
    #[serde(rename = "heeds")]
    pub enforced: VersionNumber,
    /// The serial of the last renewal, which distinguishes it from earlier ones.
    pub serial: u64,
}

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigState {
    /// The versions from the one in force to the latest; empty before the first.
    #[serde(rename = "course")]
    active: VecDeque<Version>,
    /// The metadata of retired versions, oldest first.
    #[serde(rename = "past")]
    retired_metadata: VecDeque<VersionMetadata>,
    /// The last retired versions with their documents, oldest first.
    #[serde(rename = "texts")]
    retired_versions: VecDeque<Version>,
    #[serde(with = "crate::map_as_pairs")]
    holders: BTreeMap<Holder, ConfigLeaseRecord>,
    /// The serial of the last renewal of any lease.
    serial: u64,
    #[serde(rename = "leases", default)]
    lease_table: LeaseTable,
}

impl ConfigState {
    /// Applies the next command of the log and returns its response.
    pub fn apply(&mut self, command: Command) -> CommandResponse {
        match command {
            Command::Propose(proposal) => CommandResponse::Proposed(self.propose(*proposal)),
            Command::RenewLease {
                holder,
                enforced,
                in_force,
                offer,
            } => self.renew_lease(holder, enforced, in_force, offer),
            Command::ReleaseLease(holder) => {
                self.remove_holder(&holder);
                CommandResponse::LeaseReleased
            }
            Command::ExpireTaskLeases(expired) => {
                self.lease_table.expire(&expired);
                CommandResponse::InForce(self.in_force())
            }
            Command::RecordNote {
                holder,
                shard,
                fencing_token,
                text,
            } => CommandResponse::NoteRecorded(self.lease_table.record_note(
                &holder,
                &shard,
                fencing_token,
                &text,
            )),
            Command::CompleteRollout { upto, expired } => self.complete_rollout(upto, &expired),
        }
    }

    fn propose(&mut self, proposal: Proposal) -> Result<VersionNumber, Rejection> {
        let digest = proposal.document.digest();
        let has_same_name = |known: &&VersionMetadata| known.change_name == proposal.change_name;
        if let Some(known) = self.history().find(has_same_name) {
            let number = known.number;
            return if known.digest == digest {
                Ok(number)
            } else {
                Err(Rejection::NameReused { number })
            };
        }
        self.check_proposal(&proposal)?;
        let number = self.latest() + 1;
        let kind = self.active.back().map_or(Change::Looser, |latest| {
            latest.document.change_to(&proposal.document)
        });
        let metadata = VersionMetadata {
            number,
            digest,
            change_name: proposal.change_name,
            author: proposal.author,
            proposed_at_ms: proposal.proposed_at_ms,
            reason: proposal.reason,
            kind,
        };
        self.active.push_back(Version {
            metadata,
            document: proposal.document,
        });
        // The first version is in force at once, as the only active one: routers processed nothing before it. A neutral
        // change contradicts nothing and needs no holder to enforce it.
        self.bring_in_force(number, |_| false);
        Ok(number)
    }

    /// Checks a proposal against the active versions.
    fn check_proposal(&self, proposal: &Proposal) -> Result<(), Rejection> {
        let errors = proposal.validation_errors();
        if !errors.is_empty() {
            return Err(Rejection::Invalid { errors });
        }
        let latest = self.latest();
        if proposal.base.is_some_and(|base| base != latest) {
            return Err(Rejection::Outdated { latest });
        }
        let pending = self.pending().len();
        if pending >= MAX_PENDING_CHANGES {
            return Err(Rejection::TooManyPending { pending });
        }
        let conflicts = self.merged_document().map(|merged| {
            placement_conflicts(&merged, (self.in_force(), latest), &proposal.document)
        });
        match conflicts.unwrap_or_default() {
            conflicts if conflicts.is_empty() => Ok(()),
            conflicts => Err(Rejection::NoPlacement { conflicts }),
        }
    }

    fn renew_lease(
        &mut self,
        holder: Holder,
        enforced: VersionNumber,
        in_force: VersionNumber,
        offer: Option<LeaseOffer>,
    ) -> CommandResponse {
        let latest = self.latest();
        if enforced > latest || in_force > self.in_force() {
            return CommandResponse::UnknownVersion;
        }
        if latest == 0 {
            return CommandResponse::NoVersion;
        }
        if !self.holders.contains_key(&holder) && self.holders.len() >= MAX_HOLDERS {
            return CommandResponse::TooManyHolders;
        }
        self.serial += 1;
        let serial = self.serial;
        let leases = offer
            .as_ref()
            .and_then(|offer| self.lease_table.renew(&holder, serial, offer));
        let lease_table = offer.map(|offer| self.lease_table.updates_since(offer.table_revision));
        // A new holder has no lease until it receives this response or a later one, which gives it the latest version.
        let held = self.holders.entry(holder).or_insert(ConfigLeaseRecord {
            enforced: latest,
            serial,
        });
        held.enforced = held.enforced.max(enforced);
        held.serial = serial;
        let is_current = enforced == latest && in_force == self.in_force();
        let versions = if is_current {
            Vec::new()
        } else {
            self.active.iter().cloned().collect()
        };
        CommandResponse::LeaseGranted(ConfigLeaseGrant {
            in_force: self.in_force(),
            enforce: latest,
            versions,
            serial,
            leases,
            lease_table,
        })
    }

    fn remove_holder(&mut self, holder: &Holder) {
        self.holders.remove(holder);
        self.lease_table.remove_holder(holder);
    }

    fn complete_rollout(
        &mut self,
        upto: VersionNumber,
        expired: &[(Holder, u64)],
    ) -> CommandResponse {
        for (holder, serial) in expired {
            // A lease that was renewed after the replica judged it has not expired.
            let held = self.holders.get(holder);
            if held.is_some_and(|held| held.serial == *serial) {
                self.remove_holder(holder);
            }
        }
        let enforced = self.holders.values().map(|held| held.enforced);
        let enforced_by_all = if fault_injection::is_injected(Fault::SkipRolloutWait) {
            VersionNumber::MAX
        } else {
            enforced.min().unwrap_or(VersionNumber::MAX)
        };
        self.bring_in_force(upto, |next| next <= enforced_by_all);
        CommandResponse::InForce(self.in_force())
    }

    /// Brings versions in force in order up to `upto`, as long as each is neutral or `is_enforced` by all holders.
    fn bring_in_force(&mut self, upto: VersionNumber, is_enforced: impl Fn(VersionNumber) -> bool) {
        while let Some(next) = self.active.get(1).map(|version| &version.metadata) {
            let is_ready = next.kind == Change::Neutral || is_enforced(next.number);
            if next.number > upto || !is_ready {
                break;
            }
            self.retire_version_in_force();
        }
        if let Some(front) = self.active.front() {
            self.lease_table.set_tasks(&front.document.tasks);
        }
    }

    fn retire_version_in_force(&mut self) {
        if let Some(retired) = self.active.pop_front() {
            self.retired_metadata.push_back(retired.metadata.clone());
            self.retired_versions.push_back(retired);
        }
        while self.retired_metadata.len() > MAX_RETIRED_METADATA {
            self.retired_metadata.pop_front();
        }
        while self.retired_versions.len() > MAX_RETIRED_VERSIONS {
            self.retired_versions.pop_front();
        }
    }

    /// Returns the number of the version in force, or 0 before the first version.
    pub fn in_force(&self) -> VersionNumber {
        self.active.front().map_or(0, |v| v.metadata.number)
    }

    /// Returns the number of the latest version, in force or not, or 0 before the first version.
    pub fn latest(&self) -> VersionNumber {
        self.active.back().map_or(0, |v| v.metadata.number)
    }

    /// Returns the versions that are being rolled out, in order.
    pub fn pending(&self) -> impl ExactSizeIterator<Item = &Version> {
        self.active.iter().skip(1)
    }

    /// Returns the merge of the versions from the one in force to the latest.
    pub fn merged_document(&self) -> Option<Document> {
        merge_versions(&self.active)
    }

    /// Returns a version, if its document is still kept.
    pub fn version(&self, number: VersionNumber) -> Option<&Version> {
        self.retired_versions
            .iter()
            .chain(&self.active)
            .find(|version| version.metadata.number == number)
    }

    /// Returns the metadata of all versions that are kept, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &VersionMetadata> {
        let active = self.active.iter().map(|version| &version.metadata);
        self.retired_metadata.iter().chain(active)
    }

    /// Returns the routers that hold a configuration lease.
    pub fn holders(&self) -> impl Iterator<Item = (&Holder, &ConfigLeaseRecord)> {
        self.holders.iter()
    }

    /// Returns the leases of fleet-wide tasks.
    pub fn lease_table(&self) -> &LeaseTable {
        &self.lease_table
    }

    /// Returns the holders that do not enforce the next version yet.
    pub fn blocking_holders(&self) -> impl Iterator<Item = (&Holder, &ConfigLeaseRecord)> {
        let next = self.pending().next().map(|v| v.metadata.number);
        self.holders
            .iter()
            .filter(move |(_, held)| next.is_some_and(|next| held.enforced < next))
    }

    /// Returns the differences between two versions, or `None` if the document of one of them is not kept.
    pub fn differences(&self, from: VersionNumber, to: VersionNumber) -> Option<Vec<Difference>> {
        let (from, to) = (self.version(from)?, self.version(to)?);
        Some(from.document.differences(&to.document))
    }
}
