//! The stored form of statistics and holds, which survives a restart: a line with the name and version of the format, a
//! line with the BLAKE3 checksum of the remainder, and the remainder as JSON. The writer replaces the file atomically;
//! the reader restores either all of it or nothing.

use std::collections::BTreeMap;

use hoptiller_policy::Micros;
use serde::{Deserialize, Serialize};

use crate::distributions::Distributions;
use crate::fingerprint_statistics::{ClassStatistics, FingerprintStatistics};
use crate::holds::{FingerprintHold, Holds};
use crate::interface::{Class, FingerprintId};
use crate::sketch::Sketch;
use crate::statistics::Statistics;

/// The first line; the number is the version of the format.
const HEADER: &str = "hoptiller runaways 1";

/// Length of the checksum line in bytes: 64 hexadecimal digits and a line feed.
const CHECKSUM_LINE_LEN: usize = 65;

/// The reason why a snapshot cannot be restored.
#[derive(Debug, thiserror::Error)]
pub enum SnapshotError {
    /// The data is not a snapshot, or is one of another version.
    #[error("not a runaway snapshot of this version: expected {HEADER:?}, found {found:?}")]
    UnknownFormat {
        /// The beginning of the data.
        found: String,
    },
    /// The checksum does not match: the snapshot was truncated or modified.
    #[error("snapshot truncated or modified: expected checksum {expected}, found {found:?}")]
    Damaged {
        /// The checksum of the content.
        expected: String,
        /// The data in place of the checksum.
        found: String,
    },
    /// The checksum matches, but the content is not the expected JSON.
    #[error("invalid snapshot content: {0}")]
    InvalidJson(#[source] serde_json::Error),
    /// The checksum matches, but weights or values of a distribution are out of range.
    #[error("invalid snapshot content: weights or values of {owner} are out of range")]
    InvalidDistribution {
        /// The class or fingerprint of the distribution.
        owner: String,
    },
}

/// Numbers of restored and dropped items.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RestoredCounts {
    /// Number of restored fingerprints.
    pub fingerprints: usize,
    /// Number of restored holds.
    pub holds: usize,
    /// Number of fingerprints and holds that were dropped because their class is no longer in the settings.
    pub dropped: usize,
}

/// A decoded snapshot, with class indexes of the current settings.
pub(crate) struct Snapshot {
    /// Statistics by class index.
    pub(crate) classes: Vec<(usize, ClassStatistics)>,
    /// Statistics of fingerprints, the least recently used first.
    pub(crate) fingerprints: Vec<(FingerprintId, FingerprintStatistics)>,
    pub(crate) holds: Vec<(FingerprintId, FingerprintHold)>,
    pub(crate) counts: RestoredCounts,
}

/// Encodes the statistics and holds.
pub(crate) fn encode(classes: &[Class], statistics: &Statistics, holds: &Holds) -> Vec<u8> {
    let saved = Saved {
        classes: classes
            .iter()
            .zip(statistics.classes())
            .map(|(class, statistics)| SavedClass::new(class, statistics))
            .collect(),
        fingerprints: statistics
            .fingerprints_by_last_use()
            .into_iter()
            .map(|(id, statistics)| SavedFingerprint::new(id, statistics))
            .collect(),
        holds: holds
            .fingerprints()
            .map(|(id, hold)| (*id, hold.clone()))
            .collect(),
    };
    // Cannot fail: the data consists of numbers, texts, lists, and maps whose keys are integers.
    let body = serde_json::to_vec(&saved).unwrap_or_default();
    let mut bytes = format!("{HEADER}\n{}\n", blake3::hash(&body).to_hex()).into_bytes();
    bytes.extend(body);
    bytes
}

/// Decodes a snapshot. Classes are matched by name, because the current settings may contain other classes or another
/// order.
///
/// # Errors
///
/// Returns an error if `bytes` is not a snapshot of this version, is damaged or cannot be decoded.
pub(crate) fn decode(
    now: Micros,
    bytes: &[u8],
    classes: &[Class],
) -> Result<Snapshot, SnapshotError> {
    let saved = decode_saved(bytes)?;
    let index_of = |name: &str| classes.iter().position(|class| class.name == name);
    let class_indexes: Vec<Option<usize>> = saved
        .classes
        .iter()
        .map(|class| index_of(&class.name))
        .collect();
    let mut restored_classes = Vec::new();
    for (class, index) in saved.classes.iter().zip(&class_indexes) {
        if let Some(index) = index {
            let statistics = class.restore().ok_or_else(|| {
                let owner = format!("class {:?}", class.name);
                SnapshotError::InvalidDistribution { owner }
            })?;
            restored_classes.push((*index, statistics));
        }
    }
    let total = saved.fingerprints.len() + saved.holds.len();
    let fingerprints = restore_fingerprints(saved.fingerprints, &class_indexes)?;
    let holds = restore_holds(now, saved.holds, &class_indexes);
    let counts = RestoredCounts {
        fingerprints: fingerprints.len(),
        holds: holds.len(),
        dropped: total - fingerprints.len() - holds.len(),
    };
    Ok(Snapshot {
        classes: restored_classes,
        fingerprints,
        holds,
        counts,
    })
}

/// The values of a distribution with their weights.
type SavedSketch = Vec<(u64, u16)>;
/// The distributions of run time, work, work per 1000 rows and memory.
type SavedDistributions = [SavedSketch; 4];

#[derive(Serialize, Deserialize)]
struct Saved {
    classes: Vec<SavedClass>,
    /// Statistics of fingerprints, the least recently used first.
    #[serde(rename = "kinds")]
    fingerprints: Vec<SavedFingerprint>,
    holds: Vec<(FingerprintId, FingerprintHold)>,
}

#[derive(Serialize, Deserialize)]
struct SavedClass {
    name: String,
    #[serde(rename = "figures")]
    distributions: SavedDistributions,
    #[serde(rename = "honesty")]
    estimate_ratios: SavedSketch,
}

#[derive(Serialize, Deserialize)]
struct SavedFingerprint {
    id: FingerprintId,
    class: usize,
    label: String,
    #[serde(rename = "sizes")]
    by_size: BTreeMap<u8, SavedDistributions>,
    #[serde(rename = "honesty")]
    estimate_ratios: SavedSketch,
    #[serde(rename = "beyond")]
    over_bound: SavedDistributions,
}

impl SavedClass {
    fn new(class: &Class, statistics: &ClassStatistics) -> SavedClass {
        SavedClass {
            name: class.name.clone(),
            distributions: save_distributions(&statistics.distributions),
            estimate_ratios: statistics.estimate_ratios.weighted_values(),
        }
    }

    /// Restores the statistics, or returns `None` if a distribution is out of range.
    fn restore(&self) -> Option<ClassStatistics> {
        Some(ClassStatistics {
            distributions: restore_distributions(&self.distributions)?,
            estimate_ratios: Sketch::from_weighted_values(&self.estimate_ratios)?,
        })
    }
}

impl SavedFingerprint {
    fn new(id: FingerprintId, statistics: &FingerprintStatistics) -> SavedFingerprint {
        SavedFingerprint {
            id,
            class: statistics.class,
            label: statistics.label.to_string(),
            by_size: statistics
                .by_size
                .iter()
                .map(|(size, distributions)| (*size, save_distributions(distributions)))
                .collect(),
            estimate_ratios: statistics.estimate_ratios.weighted_values(),
            over_bound: save_distributions(&statistics.over_bound),
        }
    }

    /// Restores the statistics, with the current index of the class, or returns `None` if a distribution is out of
    /// range. `last_use` is the position in the order of use.
    fn restore(self, class: usize, last_use: Micros) -> Option<FingerprintStatistics> {
        let by_size: Option<BTreeMap<u8, Distributions>> = self
            .by_size
            .iter()
            .map(|(size, saved)| Some((*size, restore_distributions(saved)?)))
            .collect();
        Some(FingerprintStatistics {
            class,
            label: self.label.into(),
            by_size: by_size?,
            estimate_ratios: Sketch::from_weighted_values(&self.estimate_ratios)?,
            over_bound: restore_distributions(&self.over_bound)?,
            last_use,
        })
    }
}

fn save_distributions(distributions: &Distributions) -> SavedDistributions {
    [
        distributions.run_time.weighted_values(),
        distributions.work.weighted_values(),
        distributions.work_per_1000_rows.weighted_values(),
        distributions.memory_mb.weighted_values(),
    ]
}

fn restore_distributions(saved: &SavedDistributions) -> Option<Distributions> {
    let [run_time, work, work_per_1000_rows, memory_mb] = saved;
    Some(Distributions {
        run_time: Sketch::from_weighted_values(run_time)?,
        work: Sketch::from_weighted_values(work)?,
        work_per_1000_rows: Sketch::from_weighted_values(work_per_1000_rows)?,
        memory_mb: Sketch::from_weighted_values(memory_mb)?,
    })
}

/// Checks the header and the checksum, and decodes the remainder.
fn decode_saved(bytes: &[u8]) -> Result<Saved, SnapshotError> {
    let rest = bytes
        .strip_prefix(HEADER.as_bytes())
        .and_then(|rest| rest.strip_prefix(b"\n"))
        .ok_or_else(|| SnapshotError::UnknownFormat {
            found: lossy_text(&bytes[..bytes.len().min(HEADER.len() + 1)]),
        })?;
    // If the data ends within the checksum line, the line is too short to be equal to the expected one.
    let (checksum, body) = rest.split_at(rest.len().min(CHECKSUM_LINE_LEN));
    let expected = blake3::hash(body).to_hex().to_string();
    if checksum != format!("{expected}\n").as_bytes() {
        let found = lossy_text(checksum);
        return Err(SnapshotError::Damaged { expected, found });
    }
    serde_json::from_slice(body).map_err(SnapshotError::InvalidJson)
}

fn lossy_text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Restores the statistics of fingerprints whose class still exists. `class_indexes` maps saved class indexes to
/// current ones.
fn restore_fingerprints(
    saved: Vec<SavedFingerprint>,
    class_indexes: &[Option<usize>],
) -> Result<Vec<(FingerprintId, FingerprintStatistics)>, SnapshotError> {
    let mut restored = Vec::new();
    for (position, saved) in saved.into_iter().enumerate() {
        let Some(class) = class_indexes.get(saved.class).copied().flatten() else {
            continue;
        };
        // Times of an earlier process cannot be compared with current ones, but their order remains valid.
        let last_use = position as Micros;
        let id = saved.id;
        let statistics = saved.restore(class, last_use).ok_or_else(|| {
            let owner = format!("fingerprint {id}");
            SnapshotError::InvalidDistribution { owner }
        })?;
        restored.push((id, statistics));
    }
    Ok(restored)
}

/// Restores the holds of fingerprints whose class still exists. `class_indexes` maps saved class indexes to current
/// ones.
fn restore_holds(
    now: Micros,
    saved: Vec<(FingerprintId, FingerprintHold)>,
    class_indexes: &[Option<usize>],
) -> Vec<(FingerprintId, FingerprintHold)> {
    let restore = |(id, hold): (FingerprintId, FingerprintHold)| {
        let class = class_indexes.get(hold.class).copied().flatten()?;
        let hold = FingerprintHold {
            class,
            since: now,
            last_activity_at: now,
            runaways: 0,
            ..hold
        };
        Some((id, hold))
    };
    saved.into_iter().filter_map(restore).collect()
}
