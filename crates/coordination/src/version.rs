//! Versions of the configuration, and the processes that enforce them.

use serde::{Deserialize, Serialize};

use crate::document::Document;
use crate::merge::Change;

/// The number of a version. Versions are numbered from 1, and 0 stands for none.
pub type VersionNumber = u64;

/// A router process that can hold leases. Two processes with the same router name are two holders.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// The router's name.
    pub router: String,
    /// The incarnation, which differs between the processes of a router.
    #[serde(rename = "life")]
    pub incarnation: String,
}

impl std::fmt::Display for Holder {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.router, self.incarnation)
    }
}

/// A version without its document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionMetadata {
    /// The version's number.
    pub number: VersionNumber,
    /// The BLAKE3 digest of the document, in hexadecimal.
    pub digest: String,
    /// The name of the change: the idempotency key of its proposal.
    #[serde(rename = "change")]
    pub change_name: String,
    /// The author of the change.
    #[serde(rename = "by")]
    pub author: String,
    /// The time of the proposal by the author's clock, in ms since 1970.
    #[serde(rename = "at")]
    pub proposed_at_ms: u64,
    /// The reason for the change.
    #[serde(rename = "why")]
    pub reason: String,
    /// The relation of the version to the one before it.
    pub kind: Change,
}

/// A version of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Version {
    /// The version's number, digest and origin.
    #[serde(rename = "head")]
    pub metadata: VersionMetadata,
    /// The configuration.
    pub document: Document,
}

/// Returns the greatest lower bound of all versions: the document that permits only what each of them permits. Returns
/// `None` if there are no versions.
pub(crate) fn merge_versions<'a>(
    versions: impl IntoIterator<Item = &'a Version>,
) -> Option<Document> {
    let mut versions = versions.into_iter();
    let first = versions.next()?.document.clone();
    Some(versions.fold(first, |merged, version| merged.merge(&version.document)))
}
