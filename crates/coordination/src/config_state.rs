//! Owns what keepers replicate: the version in force, the changes on their way, and who holds a permit. Acts come out
//! of the replicated log in one order, and have the same outcome at every keeper: no clock, no chance in here.
//!
//! A change comes in force in three steps. It is *proposed*: routers that hear of it act on the meet of all versions
//! from the one in force to the last proposed, and say so when they next ask. It is *settled* once every holder of a
//! permit has said so, or its permit has run out, which a keeper judges by its own clock and names in the act. Then it
//! is *in force*. So while one router acts on a version alone, no other acts on the one before it alone, and the meet
//! between contradicts neither.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::document::{Document, ValidationError};
use crate::fault_injection::{self, Fault};
use crate::lease_table::{
    LeaseOffer, LeaseTable, LeaseTableUpdate, NoteError, Shard, TaskLeaseGrant,
};
use crate::merge::{Change, Difference};

/// A version's number; the first is 1, and 0 stands for none.
pub type VersionNumber = u64;

/// Changes that may be on their way at once.
pub const MAX_PENDING_CHANGES: usize = 8;
/// Holders of permits at most.
pub const MAX_HOLDERS: usize = 4096;
/// Versions whose heads are kept.
pub const MAX_METADATA_KEPT: usize = 256;
/// Of these, versions whose whole text is kept, for `diff` and `rollback`.
pub const MAX_DOCUMENTS_KEPT: usize = 32;
/// Bytes of `by`, `why` and the name of a change.
pub const MAX_PROPOSAL_TEXT_BYTES: usize = 512;

/// A router's process: two processes under one name are two holders.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// The router.
    pub router: String,
    /// Its life.
    #[serde(rename = "life")]
    pub incarnation: String,
}

impl std::fmt::Display for Holder {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.router, self.incarnation)
    }
}

/// All of a version but its text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionMetadata {
    /// Its number.
    pub number: VersionNumber,
    /// The BLAKE3 digest of its text.
    pub digest: String,
    /// The name of the change, by which the same change put twice is known.
    #[serde(rename = "change")]
    pub change_name: String,
    /// Who put it.
    #[serde(rename = "by")]
    pub author: String,
    /// When, in ms since 1970, as the one who put it said.
    #[serde(rename = "at")]
    pub proposed_at_ms: u64,
    /// Why.
    #[serde(rename = "why")]
    pub reason: String,
    /// How it relates to the version before it.
    pub kind: Change,
}

/// A version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Version {
    /// What tells it apart.
    #[serde(rename = "head")]
    pub metadata: VersionMetadata,
    /// Its text.
    pub document: Document,
}

/// A change that somebody wants.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Proposal {
    /// The name of the change, made by who wants it: the same name again is the same change.
    #[serde(rename = "change")]
    pub change_name: String,
    /// The last version that its author knew; `None`: whichever.
    pub base: Option<VersionNumber>,
    /// Who.
    #[serde(rename = "by")]
    pub author: String,
    /// When, in ms since 1970.
    #[serde(rename = "at")]
    pub proposed_at_ms: u64,
    /// Why.
    #[serde(rename = "why")]
    pub reason: String,
    /// The text.
    pub document: Document,
}

/// What goes through the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// A change is wanted.
    #[serde(rename = "Put")]
    Propose(Box<Proposal>),
    /// A router asks for its permit to be prolonged.
    #[serde(rename = "Ask")]
    RenewLease {
        /// Who.
        holder: Holder,
        /// The last version whose rules it heeds, alone or in a meet; 0: it heeds none yet.
        #[serde(rename = "heeds")]
        enforced: VersionNumber,
        /// The version that it holds to be in force; 0: none.
        in_force: VersionNumber,
        /// What it says of leases, where it takes part in them.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        offer: Option<LeaseOffer>,
    },
    /// A router gives its permit back: it acts no more.
    #[serde(rename = "GiveBack")]
    ReleaseLease(Holder),
    /// Versions up to this one are wanted in force; the permits named, with the count of their last prolonging, have
    /// run out by the clock of the keeper that says so.
    #[serde(rename = "Settle")]
    CompleteRollout {
        /// Up to which.
        upto: VersionNumber,
        /// Which permits have run out.
        lapsed: Vec<(Holder, u64)>,
    },
    /// Leases that have run out by the clock of the keeper that says so, each with the count of its last prolonging.
    #[serde(rename = "Free")]
    ExpireTaskLeases(Vec<(Shard, u64)>),
    /// The holder of a lease notes how far it has come.
    #[serde(rename = "Note")]
    RecordNote {
        /// Who.
        holder: Holder,
        /// For what.
        #[serde(rename = "part")]
        shard: Shard,
        /// Under which number.
        #[serde(rename = "number")]
        fencing_token: u64,
        /// The note.
        text: String,
    },
}

/// Why a change is refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "refused")]
pub enum Rejection {
    /// The document is unusable.
    #[serde(rename = "flawed")]
    Invalid {
        /// All that is wrong with it.
        #[serde(rename = "flaws")]
        errors: Vec<ValidationError>,
    },
    /// Somebody else changed it meanwhile.
    Outdated {
        /// The last version now.
        #[serde(rename = "last")]
        latest: VersionNumber,
    },
    /// Too many changes are on their way.
    #[serde(rename = "busy")]
    TooManyPending {
        /// How many.
        pending: usize,
    },
    /// While the change is on its way, a class would have no place at all.
    #[serde(rename = "nowhere")]
    NoPlacement {
        /// Each path, with both sides' places in words.
        #[serde(rename = "places")]
        conflicts: Vec<ValidationError>,
    },
    /// The name of the change is in use for another text.
    #[serde(rename = "reused")]
    NameReused {
        /// The version under that name.
        number: VersionNumber,
    },
}

impl std::fmt::Display for Rejection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let list = |flaws: &[ValidationError]| {
            flaws.iter().map(|x| format!("\n  {x}")).collect::<String>()
        };
        match self {
            Rejection::Invalid { errors: flaws } => {
                write!(f, "the document can't be used:{}", list(flaws))
            }
            Rejection::Outdated { latest: last } => {
                write!(
                    f,
                    "the last version is {last} now; look at it, and put again"
                )
            }
            Rejection::TooManyPending { pending } => {
                write!(
                    f,
                    "{pending} changes are on their way already; try again later"
                )
            }
            Rejection::NoPlacement { conflicts: places } => {
                write!(
                    f,
                    "until it is in force, a class would have no place left:{}",
                    list(places)
                )
            }
            Rejection::NameReused { number } => {
                write!(f, "version {number} came under that name with another text")
            }
        }
    }
}

/// What a router is told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigLeaseGrant {
    /// The version in force.
    pub in_force: VersionNumber,
    /// The last one whose rules are to be heeded.
    #[serde(rename = "heed")]
    pub enforce: VersionNumber,
    /// All versions from the one in force to the last, in order; empty where the router said that it has them.
    pub versions: Vec<Version>,
    /// The count of this prolonging.
    #[serde(default)]
    pub serial: u64,
    /// The router's leases; `None`: nothing is told of them, and none is prolonged.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leases: Option<Vec<TaskLeaseGrant>>,
    /// What is told to all of who does what.
    #[serde(rename = "board", default, skip_serializing_if = "Option::is_none")]
    pub lease_table: Option<LeaseTableUpdate>,
}

/// What an act came to.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandResponse {
    /// A change was taken under this number (which is also that of the first time, where it came twice).
    Proposed(Result<VersionNumber, Rejection>),
    /// A permit is prolonged.
    LeaseGranted(ConfigLeaseGrant),
    /// No permit: the router knows of a version that this fleet never had. Somebody's state went back.
    UnknownVersion,
    /// No permit: there is no version yet.
    NoVersion,
    /// No permit: there are too many holders.
    TooManyHolders,
    /// The permit is given back.
    LeaseReleased,
    /// Up to this version everything is in force.
    InForce(VersionNumber),
    /// A note is taken, or not.
    NoteRecorded(Result<(), NoteError>),
}

/// A permit, as the log knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldConfigLease {
    /// The last version whose rules the holder heeds.
    #[serde(rename = "heeds")]
    pub enforced: VersionNumber,
    /// The count of its last prolonging: tells it from the ones before.
    pub serial: u64,
}

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigState {
    /// From the version in force to the last proposed; empty before the first.
    #[serde(rename = "course")]
    active: VecDeque<Version>,
    /// Heads of the versions before, oldest first.
    #[serde(rename = "past")]
    retired_metadata: VecDeque<VersionMetadata>,
    /// Texts of the last of these, oldest first.
    #[serde(rename = "texts")]
    retired_versions: VecDeque<Version>,
    #[serde(with = "crate::map_as_pairs")]
    holders: BTreeMap<Holder, HeldConfigLease>,
    serial: u64,
    #[serde(rename = "leases", default)]
    lease_table: LeaseTable,
}

impl ConfigState {
    /// Does the next act of the log.
    pub fn apply(&mut self, act: Command) -> CommandResponse {
        match act {
            Command::Propose(put) => CommandResponse::Proposed(self.propose(*put)),
            Command::RenewLease {
                holder,
                enforced: heeds,
                in_force,
                offer,
            } => self.renew_config_lease(holder, heeds, in_force, offer),
            Command::ReleaseLease(holder) => {
                self.holders.remove(&holder);
                self.lease_table.remove_holder(&holder);
                CommandResponse::LeaseReleased
            }
            Command::ExpireTaskLeases(lapsed) => {
                self.lease_table.expire(&lapsed);
                CommandResponse::InForce(self.in_force())
            }
            Command::RecordNote {
                holder,
                shard: part,
                fencing_token: number,
                text,
            } => CommandResponse::NoteRecorded(
                self.lease_table.record_note(&holder, &part, number, &text),
            ),
            Command::CompleteRollout { upto, lapsed } => self.complete_rollout(upto, &lapsed),
        }
    }

    fn propose(&mut self, put: Proposal) -> Result<VersionNumber, Rejection> {
        let digest = put.document.digest();
        if let Some(known) = self.history().find(|h| h.change_name == put.change_name) {
            return match known.digest == digest {
                true => Ok(known.number),
                false => Err(Rejection::NameReused {
                    number: known.number,
                }),
            };
        }
        let mut flaws = put.document.validation_errors();
        for (path, text) in [
            ("change", &put.change_name),
            ("by", &put.author),
            ("why", &put.reason),
        ] {
            if text.is_empty() || text.len() > MAX_PROPOSAL_TEXT_BYTES {
                flaws.push(ValidationError {
                    path: path.into(),
                    message: format!("1 to {MAX_PROPOSAL_TEXT_BYTES} bytes are wanted"),
                });
            }
        }
        if !flaws.is_empty() {
            return Err(Rejection::Invalid { errors: flaws });
        }
        if put.base.is_some_and(|base| base != self.latest()) {
            return Err(Rejection::Outdated {
                latest: self.latest(),
            });
        }
        if self.pending().len() >= MAX_PENDING_CHANGES {
            return Err(Rejection::TooManyPending {
                pending: self.pending().len(),
            });
        }
        let places = self.placement_conflicts(&put.document);
        if !places.is_empty() {
            return Err(Rejection::NoPlacement { conflicts: places });
        }
        let number = self.latest() + 1;
        let kind = self.active.back().map_or(Change::Looser, |last| {
            last.document.change_to(&put.document)
        });
        let head = VersionMetadata {
            number,
            digest,
            change_name: put.change_name,
            author: put.author,
            proposed_at_ms: put.proposed_at_ms,
            reason: put.reason,
            kind,
        };
        self.active.push_back(Version {
            metadata: head,
            document: put.document,
        });
        // The first version contradicts nothing, as nobody acted before it; neither does a neutral change.
        self.advance(number, |front| front == 1);
        Ok(number)
    }

    /// Classes that would have no place between the versions on their way and this one, with both sides named.
    fn placement_conflicts(&self, new: &Document) -> Vec<ValidationError> {
        let Some(meet) = self.merged_document() else {
            return Vec::new();
        };
        let places = |d: &Document, path: &str| match path.split('.').collect::<Vec<_>>()[..] {
            ["classes", class, "kinds"] => {
                format!("{:?}", d.classes.get(class).and_then(|c| c.kinds.clone()))
            }
            ["classes", class, "zones"] => {
                format!("{:?}", d.classes.get(class).and_then(|c| c.zones.clone()))
            }
            ["kinds"] => format!("{:?}", d.kinds.keys().collect::<Vec<_>>()),
            _ => format!("{:?}", d.classes.keys().collect::<Vec<_>>()),
        };
        let named = |path: String| {
            let what = format!(
                "nothing is in both {} (versions {} to {}) and {} (this change)",
                places(&meet, &path),
                self.in_force(),
                self.latest(),
                places(new, &path)
            );
            ValidationError {
                path,
                message: what,
            }
        };
        meet.merge(new)
            .empty_placements()
            .into_iter()
            .map(named)
            .collect()
    }

    fn renew_config_lease(
        &mut self,
        holder: Holder,
        heeds: VersionNumber,
        in_force: VersionNumber,
        offer: Option<LeaseOffer>,
    ) -> CommandResponse {
        let last = self.latest();
        if heeds > last || in_force > self.in_force() {
            return CommandResponse::UnknownVersion;
        }
        if last == 0 {
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
        let board = offer.map(|offer| self.lease_table.updates_since(offer.table_revision));
        // One that holds no permit acts on nothing until it hears this answer, or a later one.
        let held = self.holders.entry(holder).or_insert(HeldConfigLease {
            enforced: last,
            serial,
        });
        *held = HeldConfigLease {
            enforced: held.enforced.max(heeds),
            serial,
        };
        let has_them = heeds == last && in_force == self.in_force();
        let versions = if has_them {
            Vec::new()
        } else {
            self.active.iter().cloned().collect()
        };
        let in_force = self.in_force();
        CommandResponse::LeaseGranted(ConfigLeaseGrant {
            in_force,
            enforce: last,
            versions,
            serial,
            leases,
            lease_table: board,
        })
    }

    fn complete_rollout(
        &mut self,
        upto: VersionNumber,
        lapsed: &[(Holder, u64)],
    ) -> CommandResponse {
        for (holder, serial) in lapsed {
            // Danger: a permit that was prolonged after the keeper judged it is alive.
            if self
                .holders
                .get(holder)
                .is_some_and(|held| held.serial == *serial)
            {
                self.holders.remove(holder);
                self.lease_table.remove_holder(holder);
            }
        }
        let all = self
            .holders
            .values()
            .map(|h| h.enforced)
            .min()
            .unwrap_or(VersionNumber::MAX);
        let heeded = if fault_injection::is_injected(Fault::SkipRolloutWait) {
            VersionNumber::MAX
        } else {
            all
        };
        self.advance(upto, |next| next <= heeded);
        CommandResponse::InForce(self.in_force())
    }

    /// Brings versions in force, in order, up to one and as far as nothing stands against them.
    fn advance(&mut self, upto: VersionNumber, heeded: impl Fn(VersionNumber) -> bool) {
        self.activate_versions(upto, heeded);
        if let Some(front) = self.active.front() {
            self.lease_table.set_tasks(&front.document.tasks);
        }
    }

    fn activate_versions(&mut self, upto: VersionNumber, heeded: impl Fn(VersionNumber) -> bool) {
        while let Some(next) = self.active.get(1).map(|v| &v.metadata) {
            let free = next.kind == Change::Neutral || heeded(next.number);
            if next.number > upto || !free {
                return;
            }
            if let Some(gone) = self.active.pop_front() {
                self.retired_metadata.push_back(gone.metadata.clone());
                self.retired_versions.push_back(gone);
            }
            while self.retired_metadata.len() > MAX_METADATA_KEPT {
                self.retired_metadata.pop_front();
            }
            while self.retired_versions.len() > MAX_DOCUMENTS_KEPT {
                self.retired_versions.pop_front();
            }
        }
    }

    // ---- what is seen of it ---------------------------------------------------------------------

    /// The version in force; 0: none yet.
    pub fn in_force(&self) -> VersionNumber {
        self.active.front().map_or(0, |v| v.metadata.number)
    }

    /// The last version, in force or on its way; 0: none yet.
    pub fn latest(&self) -> VersionNumber {
        self.active.back().map_or(0, |v| v.metadata.number)
    }

    /// Changes on their way, in order.
    pub fn pending(&self) -> impl ExactSizeIterator<Item = &Version> {
        self.active.iter().skip(1)
    }

    /// What contradicts none of the versions from the one in force to the last.
    pub fn merged_document(&self) -> Option<Document> {
        let mut all = self.active.iter();
        let first = all.next()?.document.clone();
        Some(all.fold(first, |meet, v| meet.merge(&v.document)))
    }

    /// A version whose text is still kept.
    pub fn version(&self, number: VersionNumber) -> Option<&Version> {
        self.retired_versions
            .iter()
            .chain(&self.active)
            .find(|v| v.metadata.number == number)
    }

    /// Heads of all versions that are kept, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &VersionMetadata> {
        self.retired_metadata
            .iter()
            .chain(self.active.iter().map(|v| &v.metadata))
    }

    /// Who holds a permit.
    pub fn holders(&self) -> impl Iterator<Item = (&Holder, &HeldConfigLease)> {
        self.holders.iter()
    }

    /// A permit, where it is held.
    pub fn config_lease(&self, holder: &Holder) -> Option<&HeldConfigLease> {
        self.holders.get(holder)
    }

    /// Who does what for all.
    pub fn lease_table(&self) -> &LeaseTable {
        &self.lease_table
    }

    /// Holders that stand against the next change.
    pub fn blocking_holders(&self) -> impl Iterator<Item = (&Holder, &HeldConfigLease)> {
        let next = self.pending().next().map(|v| v.metadata.number);
        self.holders
            .iter()
            .filter(move |(_, held)| next.is_some_and(|next| held.enforced < next))
    }

    /// How two kept versions differ.
    pub fn differences(&self, from: VersionNumber, to: VersionNumber) -> Option<Vec<Difference>> {
        Some(
            self.version(from)?
                .document
                .differences(&self.version(to)?.document),
        )
    }
}
