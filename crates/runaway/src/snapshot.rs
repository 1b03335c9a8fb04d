//! The form in which statistics and holds survive a restart: a line that names the format and its version, a line with
//! the BLAKE3 checksum of the rest, and the rest as JSON. The writer replaces the file atomically; the reader restores
//! all of it or nothing.

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

/// Bytes of the line with the checksum: 64 hexadecimal digits and a line feed.
const CHECKSUM_LINE_LEN: usize = 65;

/// Why a snapshot can't be restored.
#[derive(Debug, thiserror::Error)]
pub enum SnapshotError {
    /// It is no snapshot, or one of another version.
    #[error("it does not begin with {HEADER:?}")]
    UnknownFormat,
    /// Its checksum does not match: it was cut or changed.
    #[error("its checksum is wrong: it was cut or changed")]
    Damaged,
    /// Its checksum matches, but its content is not the expected JSON.
    #[error("it can't be understood: {0}")]
    InvalidJson(#[source] serde_json::Error),
    /// Its checksum matches, but one of its distributions has weights or figures out of bounds.
    #[error("it can't be understood: a distribution out of bounds")]
    InvalidDistribution,
}

/// How much was restored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RestoredCounts {
    /// Fingerprints.
    pub fingerprints: usize,
    /// Holds.
    pub holds: usize,
    /// Fingerprints and holds of classes that are not in the settings any more.
    pub dropped: usize,
}

/// A decoded snapshot, with the numbers that classes have in the present settings.
pub(crate) struct Snapshot {
    /// Statistics by class number.
    pub(crate) classes: Vec<(usize, ClassStatistics)>,
    /// The least recently used first.
    pub(crate) fingerprints: Vec<(FingerprintId, FingerprintStatistics)>,
    pub(crate) holds: Vec<(FingerprintId, FingerprintHold)>,
    pub(crate) counts: RestoredCounts,
}

/// Encodes what survives a restart.
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
    let body = serde_json::to_vec(&saved).unwrap_or_default();
    let mut bytes = format!("{HEADER}\n{}\n", blake3::hash(&body).to_hex()).into_bytes();
    bytes.extend(body);
    bytes
}

/// Decodes a snapshot. Classes are matched by name: the settings may have others now, or in another order.
///
/// # Errors
///
/// If `bytes` is no snapshot of this version, or is damaged or can't be decoded.
pub(crate) fn decode(
    now: Micros,
    bytes: &[u8],
    classes: &[Class],
) -> Result<Snapshot, SnapshotError> {
    let saved = decode_saved(bytes)?;
    let number_of = |name: &str| classes.iter().position(|class| class.name == name);
    let numbers: Vec<Option<usize>> = saved
        .classes
        .iter()
        .map(|class| number_of(&class.name))
        .collect();
    let mut restored_classes = Vec::new();
    for (class, number) in saved.classes.iter().zip(&numbers) {
        if let Some(number) = number {
            restored_classes.push((*number, class.restore()?));
        }
    }
    let total = saved.fingerprints.len() + saved.holds.len();
    let fingerprints = restore_fingerprints(saved.fingerprints, &numbers)?;
    let holds = restore_holds(now, saved.holds, &numbers);
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

/// The figures of a distribution with their weights.
type SavedSketch = Vec<(u64, u16)>;
/// Run time, work, work by rows, memory.
type SavedDistributions = [SavedSketch; 4];

#[derive(Serialize, Deserialize)]
struct Saved {
    classes: Vec<SavedClass>,
    /// The least recently used first.
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
    estimate_accuracy: SavedSketch,
}

#[derive(Serialize, Deserialize)]
struct SavedFingerprint {
    id: FingerprintId,
    class: usize,
    label: String,
    #[serde(rename = "sizes")]
    by_size: BTreeMap<u8, SavedDistributions>,
    #[serde(rename = "honesty")]
    estimate_accuracy: SavedSketch,
    #[serde(rename = "beyond")]
    beyond_bound: SavedDistributions,
}

impl SavedClass {
    fn new(class: &Class, statistics: &ClassStatistics) -> SavedClass {
        SavedClass {
            name: class.name.clone(),
            distributions: save_distributions(&statistics.distributions),
            estimate_accuracy: statistics.estimate_accuracy.pairs(),
        }
    }

    fn restore(&self) -> Result<ClassStatistics, SnapshotError> {
        Ok(ClassStatistics {
            distributions: restore_distributions(&self.distributions)?,
            estimate_accuracy: restore_sketch(&self.estimate_accuracy)?,
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
            estimate_accuracy: statistics.estimate_accuracy.pairs(),
            beyond_bound: save_distributions(&statistics.beyond_bound),
        }
    }

    /// `class` is its number in the present settings, `last_use` its place in the order of use.
    fn restore(
        self,
        class: usize,
        last_use: Micros,
    ) -> Result<FingerprintStatistics, SnapshotError> {
        let by_size: Result<BTreeMap<u8, Distributions>, SnapshotError> = self
            .by_size
            .iter()
            .map(|(size, saved)| Ok((*size, restore_distributions(saved)?)))
            .collect();
        Ok(FingerprintStatistics {
            class,
            label: self.label.into(),
            by_size: by_size?,
            estimate_accuracy: restore_sketch(&self.estimate_accuracy)?,
            beyond_bound: restore_distributions(&self.beyond_bound)?,
            last_use,
        })
    }
}

fn save_distributions(distributions: &Distributions) -> SavedDistributions {
    [
        distributions.run_time.pairs(),
        distributions.work.pairs(),
        distributions.work_by_rows.pairs(),
        distributions.memory_mb.pairs(),
    ]
}

fn restore_distributions(saved: &SavedDistributions) -> Result<Distributions, SnapshotError> {
    let [run_time, work, work_by_rows, memory_mb] = saved;
    Ok(Distributions {
        run_time: restore_sketch(run_time)?,
        work: restore_sketch(work)?,
        work_by_rows: restore_sketch(work_by_rows)?,
        memory_mb: restore_sketch(memory_mb)?,
    })
}

fn restore_sketch(saved: &SavedSketch) -> Result<Sketch, SnapshotError> {
    Sketch::from_pairs(saved).ok_or(SnapshotError::InvalidDistribution)
}

/// Checks the header and the checksum, and decodes the rest.
fn decode_saved(bytes: &[u8]) -> Result<Saved, SnapshotError> {
    let rest = bytes
        .strip_prefix(HEADER.as_bytes())
        .and_then(|rest| rest.strip_prefix(b"\n"))
        .ok_or(SnapshotError::UnknownFormat)?;
    let (checksum, body) = rest
        .split_at_checked(CHECKSUM_LINE_LEN)
        .ok_or(SnapshotError::Damaged)?;
    let expected = format!("{}\n", blake3::hash(body).to_hex());
    if checksum != expected.as_bytes() {
        return Err(SnapshotError::Damaged);
    }
    serde_json::from_slice(body).map_err(SnapshotError::InvalidJson)
}

/// The statistics of fingerprints whose class still exists. `numbers` are the present numbers of saved classes.
fn restore_fingerprints(
    saved: Vec<SavedFingerprint>,
    numbers: &[Option<usize>],
) -> Result<Vec<(FingerprintId, FingerprintStatistics)>, SnapshotError> {
    let mut restored = Vec::new();
    for (position, saved) in saved.into_iter().enumerate() {
        let Some(class) = numbers.get(saved.class).copied().flatten() else {
            continue;
        };
        // The clock of an earlier process means nothing now; the order does.
        let last_use = position as Micros;
        restored.push((saved.id, saved.restore(class, last_use)?));
    }
    Ok(restored)
}

/// The holds of fingerprints whose class still exists. `numbers` are the present numbers of saved classes.
fn restore_holds(
    now: Micros,
    saved: Vec<(FingerprintId, FingerprintHold)>,
    numbers: &[Option<usize>],
) -> Vec<(FingerprintId, FingerprintHold)> {
    let restore = |(id, hold): (FingerprintId, FingerprintHold)| {
        let class = numbers.get(hold.class).copied().flatten()?;
        let hold = FingerprintHold {
            class,
            since: now,
            last_end: now,
            runaways: 0,
            ..hold
        };
        Some((id, hold))
    };
    saved.into_iter().filter_map(restore).collect()
}
