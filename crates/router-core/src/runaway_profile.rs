//! What the runaway detector needs to know of a statement.

use std::rc::Rc;

use hoptiller_runaway::{Announced, FingerprintId};

/// What the runaway detector needs to know of a statement's attempts.
#[derive(Clone, Debug)]
pub(crate) struct RunawayProfile {
    /// Its fingerprint within its class.
    pub(crate) fingerprint: FingerprintId,
    /// What a hold on it applies to.
    pub(crate) held_as: FingerprintId,
    /// Its text without literal values.
    pub(crate) label: Rc<str>,
    /// What the client announced of its size.
    pub(crate) announced: Announced,
    /// Number of the group of tables that it reads or writes.
    pub(crate) group: Option<u64>,
}
