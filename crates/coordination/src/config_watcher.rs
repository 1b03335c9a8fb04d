//! Owns a router's side: which versions it heeds, until when it may act, and what it asks keepers next. It is fed the
//! keepers' answers and its own clock; what it says of a class is to be asked again at the last moment before an act.

use std::collections::BTreeMap;

use crate::config_lease::{ConfigLease, LeaseTiming, Micros};
use crate::config_state::{Command, ConfigLeaseGrant, Holder, Version, VersionNumber};
use crate::document::{Document, InDoubtPolicy};
use crate::fault_injection::{self, Fault};

/// Questions that may be open at once; the oldest is given up for a further one.
const MAX_OPEN_REQUESTS: usize = 16;

/// Why an answer is not believed. None of them prolongs the permit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GrantError {
    /// It answers nothing that is open.
    Unsolicited,
    /// The keeper is behind what this router had said that it knows: its state went back.
    Regressed {
        /// The version that it tells of, in force or last.
        reported: VersionNumber,
        /// The one that this router knows.
        known: VersionNumber,
    },
    /// A version that this router knows comes with another text.
    DigestMismatch(VersionNumber),
    /// The versions do not go together with the numbers, or a text with its digest.
    Inconsistent,
}

impl std::fmt::Display for GrantError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            GrantError::Unsolicited => write!(f, "it answers no open question"),
            GrantError::Regressed {
                reported: told,
                known,
            } => {
                write!(
                    f,
                    "it tells of version {told} where {known} is known: a keeper's state went back"
                )
            }
            GrantError::DigestMismatch(number) => {
                write!(f, "version {number} comes with another text than before")
            }
            GrantError::Inconsistent => write!(f, "its versions don't go together"),
        }
    }
}

impl std::error::Error for GrantError {}

/// What a router may do with a class at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Act, under the rules from the version in force to the last heeded.
    Allow {
        /// The version in force, as it knows.
        in_force: VersionNumber,
        /// The last one whose rules it heeds.
        enforced: VersionNumber,
    },
    /// Act as last known, outside the promise: no keeper has prolonged the permit, and the settings say to serve.
    AllowInDoubt {
        /// See [`Decision::Allow`].
        in_force: VersionNumber,
        /// See [`Decision::Allow`].
        enforced: VersionNumber,
    },
    /// Refuse, and say that trying again is harmless: there is no permit, or the rules don't know the class.
    Reject,
}

struct OpenRequest {
    sent_at: Micros,
    enforced: VersionNumber,
    in_force: VersionNumber,
}

/// A router's side of the agreement.
pub struct ConfigWatcher {
    holder: Holder,
    timing: LeaseTiming,
    /// From the version in force to the last heeded.
    versions: Vec<Version>,
    merged: Option<Document>,
    lease: ConfigLease,
    open: BTreeMap<u64, OpenRequest>,
    next_request: u64,
}

impl ConfigWatcher {
    /// Knows nothing yet, or what an earlier life of this router wrote down; without a permit either way.
    pub fn new(me: Holder, bounds: LeaseTiming, known: Vec<Version>) -> ConfigWatcher {
        let life = if fault_injection::is_injected(Fault::IgnoreIncarnation) {
            String::new()
        } else {
            me.incarnation
        };
        let mut follower = ConfigWatcher {
            holder: Holder {
                incarnation: life,
                ..me
            },
            timing: bounds,
            versions: Vec::new(),
            merged: None,
            lease: ConfigLease::default(),
            open: BTreeMap::new(),
            next_request: 0,
        };
        if is_course(&known) {
            follower.install_versions(known);
        }
        follower
    }

    /// The next question, which leaves now.
    pub fn start_renewal(&mut self, now: Micros) -> (u64, Command) {
        while self.open.len() >= MAX_OPEN_REQUESTS {
            self.open.pop_first();
        }
        let id = self.next_request;
        self.next_request += 1;
        let (heeds, in_force) = (self.enforced(), self.in_force());
        self.open.insert(
            id,
            OpenRequest {
                sent_at: now,
                enforced: heeds,
                in_force,
            },
        );
        (
            id,
            Command::RenewLease {
                holder: self.holder.clone(),
                enforced: heeds,
                in_force,
                offer: None,
            },
        )
    }

    /// A question is counted from another moment: that of its answer is too late, which a planted fault does.
    pub fn set_sent_at(&mut self, id: u64, now: Micros) {
        self.open
            .get_mut(&id)
            .into_iter()
            .for_each(|open| open.sent_at = now);
    }

    /// A question has no answer.
    pub fn abandon_renewal(&mut self, id: u64) {
        self.open.remove(&id);
    }

    /// An answer. Returns whether the rules have changed.
    pub fn accept_grant(&mut self, id: u64, granted: ConfigLeaseGrant) -> Result<bool, GrantError> {
        let asked = self.open.remove(&id).ok_or(GrantError::Unsolicited)?;
        if granted.enforce < asked.enforced {
            return Err(GrantError::Regressed {
                reported: granted.enforce,
                known: asked.enforced,
            });
        }
        if granted.in_force < asked.in_force {
            return Err(GrantError::Regressed {
                reported: granted.in_force,
                known: asked.in_force,
            });
        }
        let same = granted.in_force == asked.in_force && granted.enforce == asked.enforced;
        if granted.versions.is_empty() {
            if !same {
                return Err(GrantError::Inconsistent);
            }
        } else {
            let ends = (granted.versions.first(), granted.versions.last());
            let fits = ends
                .0
                .is_some_and(|v| v.metadata.number == granted.in_force)
                && ends.1.is_some_and(|v| v.metadata.number == granted.enforce);
            if !fits || !is_course(&granted.versions) {
                return Err(GrantError::Inconsistent);
            }
            for known in &self.versions {
                let other = granted
                    .versions
                    .iter()
                    .find(|v| v.metadata.number == known.metadata.number);
                if other.is_some_and(|v| v.metadata.digest != known.metadata.digest) {
                    return Err(GrantError::DigestMismatch(known.metadata.number));
                }
            }
        }
        self.lease.renew(asked.sent_at, &self.timing);
        // An answer that was overtaken by a later one prolongs, and moves nothing back.
        let newer = granted.in_force >= self.in_force()
            && granted.enforce >= self.enforced()
            && (granted.in_force, granted.enforce) != (self.in_force(), self.enforced());
        if newer && !granted.versions.is_empty() {
            self.install_versions(granted.versions);
            return Ok(true);
        }
        Ok(false)
    }

    fn install_versions(&mut self, course: Vec<Version>) {
        let mut all = course.iter();
        self.merged = all
            .next()
            .map(|first| all.fold(first.document.clone(), |meet, v| meet.merge(&v.document)));
        self.versions = course;
    }

    /// What may be done with a class now.
    pub fn decide(&self, now: Micros, class: &str) -> Decision {
        let Some(class) = self.merged.as_ref().and_then(|r| r.classes.get(class)) else {
            return Decision::Reject;
        };
        let (in_force, heeds) = (self.in_force(), self.enforced());
        if self.lease.is_valid(now) {
            return Decision::Allow {
                in_force,
                enforced: heeds,
            };
        }
        match class.in_doubt_policy() {
            InDoubtPolicy::Serve => Decision::AllowInDoubt {
                in_force,
                enforced: heeds,
            },
            InDoubtPolicy::Reject => Decision::Reject,
        }
    }

    /// Whether the permit has ended, or never began.
    pub fn is_in_doubt(&self, now: Micros) -> bool {
        !self.lease.is_valid(now)
    }

    /// When the permit ends.
    pub fn lease_expires_at(&self) -> Micros {
        self.lease.expires_at()
    }

    /// What contradicts none of the versions heeded; `None`: there is none yet.
    pub fn merged_document(&self) -> Option<&Document> {
        self.merged.as_ref()
    }

    /// The versions heeded, from the one in force on, to be written down for a later life.
    pub fn versions(&self) -> &[Version] {
        &self.versions
    }

    /// The version in force, as it knows; 0: none.
    pub fn in_force(&self) -> VersionNumber {
        self.versions.first().map_or(0, |v| v.metadata.number)
    }

    /// The last version whose rules it heeds; 0: none.
    pub fn enforced(&self) -> VersionNumber {
        self.versions.last().map_or(0, |v| v.metadata.number)
    }

    /// Who it is.
    pub fn holder(&self) -> &Holder {
        &self.holder
    }
}

/// Whether numbers follow each other, and each text is that of its digest.
fn is_course(versions: &[Version]) -> bool {
    versions
        .windows(2)
        .all(|w| w[0].metadata.number + 1 == w[1].metadata.number)
        && versions
            .iter()
            .all(|v| v.metadata.number > 0 && v.document.digest() == v.metadata.digest)
}
