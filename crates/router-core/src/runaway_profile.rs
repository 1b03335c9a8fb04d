//! Data on a statement for the runaway detector.

use std::rc::Rc;

use hoptiller_runaway::{Announced, FingerprintId};

/// Data on a statement that the runaway detector needs for each of its attempts.
#[derive(Clone, Debug)]
pub(crate) struct RunawayProfile {
    /// Fingerprint of the statement within its class.
    pub(crate) fingerprint: FingerprintId,
    /// Fingerprint under which the statement can be held: its own, or that of all unknown statements.
    pub(crate) held_as: FingerprintId,
    /// Start of the normalized text, without literal values.
    pub(crate) label: Rc<str>,
    /// Size of the statement and estimate of its work.
    pub(crate) announced: Announced,
    /// Number of the table group that the statement reads or writes.
    pub(crate) group: Option<u64>,
}
