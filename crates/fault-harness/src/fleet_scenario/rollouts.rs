//! Tracks accepted versions until they are in force.

use std::collections::BTreeMap;
use std::time::Instant;

use hoptiller_coordination::{Document, VersionMetadata};

use crate::fleet::{FIRST_VERSION, TestFleet};

/// The versions accepted in a run.
pub(super) struct Rollouts {
    /// Digests of the documents, by version number.
    digests: BTreeMap<u64, String>,
    pending: Vec<PendingVersion>,
    in_force_ms: Vec<u64>,
}

struct PendingVersion {
    number: u64,
    proposed_at: Instant,
}

impl Rollouts {
    /// Creates the state with the first version, which is already in force.
    pub(super) fn new(first: &Document) -> Rollouts {
        Rollouts {
            digests: BTreeMap::from([(FIRST_VERSION, first.digest())]),
            pending: Vec::new(),
            in_force_ms: Vec::new(),
        }
    }

    /// Adds an accepted version.
    pub(super) fn add(&mut self, number: u64, document: &Document, proposed_at: Instant) {
        self.digests.insert(number, document.digest());
        self.pending.push(PendingVersion {
            number,
            proposed_at,
        });
    }

    /// Returns the number of the last accepted version.
    pub(super) fn last(&self) -> u64 {
        self.digests.keys().max().copied().unwrap_or(FIRST_VERSION)
    }

    /// Queries the version in force, and records the rollout times of the pending versions up to it.
    pub(super) fn update(&mut self, fleet: &TestFleet) {
        if self.pending.is_empty() {
            return;
        }
        let Some(numbers) = fleet.version_numbers() else {
            return;
        };
        let in_force_ms = &mut self.in_force_ms;
        self.pending.retain(|version| {
            let in_force = numbers.in_force >= version.number;
            if in_force {
                in_force_ms.push(version.proposed_at.elapsed().as_millis() as u64);
            }
            !in_force
        });
    }

    /// Returns the accepted versions that the history lacks or has with a different document.
    pub(super) fn missing_from(&self, history: &[VersionMetadata]) -> Vec<u64> {
        let retained = |number: u64, digest: &str| {
            history
                .iter()
                .any(|version| version.number == number && version.digest == digest)
        };
        self.digests
            .iter()
            .filter(|(number, digest)| !retained(**number, digest))
            .map(|(number, _)| *number)
            .collect()
    }

    /// Returns the times from proposal to in force, in ms, in ascending order.
    pub(super) fn into_times(mut self) -> Vec<u64> {
        self.in_force_ms.sort_unstable();
        self.in_force_ms
    }
}
