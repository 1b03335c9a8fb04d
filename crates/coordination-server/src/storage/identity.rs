//! Whose disk a file is, and what is known of the peers' disks.

use serde::{Deserialize, Serialize};

/// The version of the file's contents.
pub(super) const FORMAT_VERSION: u32 = 1;

/// Whose disk it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DiskIdentity {
    /// The version of the file's contents.
    #[serde(rename = "form")]
    pub format: u32,
    /// The name of the fleet.
    pub fleet: String,
    /// The replica.
    #[serde(rename = "keeper")]
    pub replica: u64,
    /// A random id, drawn when the file was created: tells it from another file of the same replica.
    #[serde(rename = "disk")]
    pub disk_id: String,
}

/// What is known of a peer's disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerDisk {
    /// The id of its disk.
    #[serde(rename = "disk")]
    pub disk_id: String,
    /// The number of its durable transactions.
    #[serde(rename = "step")]
    pub write_sequence: u64,
}
