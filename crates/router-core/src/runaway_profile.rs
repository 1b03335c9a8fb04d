//! Data on a statement for the runaway detector.

use std::rc::Rc;

use hoptiller_runaway::{Announced, FingerprintId};

/// Data on a statement that the runaway detector needs for each of its attempts.
#[derive(Clone, Debug)]
pub(crate) struct RunawayProfile {
    /// Fingerprint of the statement within its class.
    pub(crate) fingerprint: FingerprintId,
    /// Fingerprint that a hold on the statement applies to.
    pub(crate) held_as: FingerprintId,
    /// Normalized text of the statement, without literal values.
    pub(crate) label: Rc<str>,
    /// Size and work that the client announced.
    pub(crate) announced: Announced,
    /// Number of the table group that the statement reads or writes.
    pub(crate) group: Option<u64>,
}
