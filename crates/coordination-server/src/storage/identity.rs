//! The identity of a replica's disk, and the known state of the peers' disks.

use serde::{Deserialize, Serialize};

/// Supported format version of the file's contents.
pub(super) const FORMAT_VERSION: u32 = 1;

/// The identity of a disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DiskIdentity {
    /// The format version of the file's contents.
    #[serde(rename = "form")]
    pub format: u32,
    /// The name of the fleet.
    pub fleet: String,
    /// The id of the replica that owns the disk.
    #[serde(rename = "keeper")]
    pub replica: u64,
    /// A random id, chosen when the file is created. It distinguishes this disk from other disks of the same replica.
    #[serde(rename = "disk")]
    pub disk_id: String,
}

/// The last known state of a peer's disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerDisk {
    /// The id of the disk.
    #[serde(rename = "disk")]
    pub disk_id: String,
    /// The number of durable transactions on the disk.
    #[serde(rename = "step")]
    pub write_sequence: u64,
}
