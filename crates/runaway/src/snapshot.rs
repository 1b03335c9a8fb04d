//! The form in which statistics and holds survive a restart: a line that names the format and its version, a line with
//! the BLAKE3 checksum of the rest, and the rest as JSON. The writer replaces the file atomically; the reader restores
//! all of it or nothing.

use std::collections::BTreeMap;

use hoptiller_policy::Micros;
use serde::{Deserialize, Serialize};

use crate::detector::RunawayDetector;
use crate::holds::FingerprintHold;
use crate::interface::{Class, FingerprintId};
use crate::sketch::Sketch;
use crate::statistics::{ClassStatistics, Distributions, FingerprintStatistics};

/// The first line; the number is the version of the format.
const FIRST: &str = "hoptiller runaways 1";

/// The length of the line with the checksum: 64 hexadecimal digits and a line feed.
const CHECKSUM_LINE: usize = 65;

/// Why a snapshot can't be restored.
#[derive(Debug, thiserror::Error)]
pub enum SnapshotError {
    /// It is no snapshot, or one of another version.
    #[error("it does not begin with {FIRST:?}")]
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

/// Pairs of a sketch.
type Pairs = Vec<(u64, u16)>;

#[derive(Serialize, Deserialize)]
struct Saved {
    classes: Vec<SavedClass>,
    /// The least recently used first.
    kinds: Vec<SavedFingerprint>,
    holds: Vec<(FingerprintId, FingerprintHold)>,
}

#[derive(Serialize, Deserialize)]
struct SavedClass {
    name: String,
    figures: [Pairs; 4],
    honesty: Pairs,
}

#[derive(Serialize, Deserialize)]
struct SavedFingerprint {
    id: FingerprintId,
    class: usize,
    label: String,
    sizes: BTreeMap<u8, [Pairs; 4]>,
    honesty: Pairs,
    beyond: [Pairs; 4],
}

fn pairs(f: &Distributions) -> [Pairs; 4] {
    [
        f.run.pairs(),
        f.work.pairs(),
        f.per_rows.pairs(),
        f.memory.pairs(),
    ]
}

fn sketch(pairs: &Pairs) -> Result<Sketch, SnapshotError> {
    Sketch::from_pairs(pairs).ok_or(SnapshotError::InvalidDistribution)
}

fn distributions(p: &[Pairs; 4]) -> Result<Distributions, SnapshotError> {
    Ok(Distributions {
        run: sketch(&p[0])?,
        work: sketch(&p[1])?,
        per_rows: sketch(&p[2])?,
        memory: sketch(&p[3])?,
    })
}

fn saved_fingerprint((id, s): (&FingerprintId, &FingerprintStatistics)) -> SavedFingerprint {
    SavedFingerprint {
        id: *id,
        class: s.class,
        label: s.label.to_string(),
        sizes: s.sizes.iter().map(|(size, f)| (*size, pairs(f))).collect(),
        honesty: s.estimate_accuracy.pairs(),
        beyond: pairs(&s.beyond_bound),
    }
}

/// How much was restored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Restored {
    /// Fingerprints.
    pub fingerprints: usize,
    /// Holds.
    pub holds: usize,
    /// Fingerprints and holds of classes that are not in the settings any more.
    pub dropped: usize,
}

impl RunawayDetector {
    /// Encodes what survives a restart.
    pub fn save(&self) -> Vec<u8> {
        let class = |(class, statistics): (&Class, &ClassStatistics)| SavedClass {
            name: class.name.clone(),
            figures: pairs(&statistics.distributions),
            honesty: statistics.estimate_accuracy.pairs(),
        };
        let mut fingerprints: Vec<(&FingerprintId, &FingerprintStatistics)> =
            self.statistics.fingerprints.iter().collect();
        fingerprints.sort_by_key(|(id, statistics)| (statistics.last_use, **id));
        let classes = self.settings.classes.iter().zip(&self.statistics.classes);
        let holds = self.holds.fingerprints.iter();
        let saved = Saved {
            classes: classes.map(class).collect(),
            kinds: fingerprints.into_iter().map(saved_fingerprint).collect(),
            holds: holds.map(|(id, hold)| (*id, hold.clone())).collect(),
        };
        let body = serde_json::to_vec(&saved).unwrap_or_default();
        let mut all = format!("{FIRST}\n{}\n", blake3::hash(&body).to_hex()).into_bytes();
        all.extend(body);
        all
    }

    /// Restores what was saved, all or nothing: on an error, nothing has changed.
    ///
    /// # Errors
    ///
    /// If `bytes` is no snapshot of this version, or is damaged or can't be decoded.
    pub fn restore(&mut self, now: Micros, bytes: &[u8]) -> Result<Restored, SnapshotError> {
        let saved = decode(bytes)?;
        // Classes are matched by name: the settings may have others now, or in another order.
        let by_name = |name: &str| self.settings.classes.iter().position(|c| c.name == name);
        let numbers: Vec<Option<usize>> = saved.classes.iter().map(|c| by_name(&c.name)).collect();
        let mut classes = Vec::new();
        for (c, number) in saved.classes.iter().zip(&numbers) {
            if let Some(number) = number {
                classes.push((*number, restored_class(c)?));
            }
        }
        let total = saved.kinds.len() + saved.holds.len();
        let fingerprints = restored_fingerprints(saved.kinds, &numbers)?;
        let holds = restored_holds(now, saved.holds, &numbers);
        let restored = Restored {
            fingerprints: fingerprints.len(),
            holds: holds.len(),
            dropped: total - fingerprints.len() - holds.len(),
        };
        for (number, class) in classes {
            self.statistics.classes[number] = class;
        }
        for (id, statistics) in fingerprints {
            self.statistics.restore(id, statistics);
        }
        self.holds.fingerprints.extend(holds);
        self.publish_holds();
        Ok(restored)
    }
}

/// Checks the header and the checksum, and decodes the rest.
fn decode(bytes: &[u8]) -> Result<Saved, SnapshotError> {
    let rest = bytes
        .strip_prefix(FIRST.as_bytes())
        .and_then(|rest| rest.strip_prefix(b"\n"))
        .ok_or(SnapshotError::UnknownFormat)?;
    let (checksum, body) = rest
        .split_at_checked(CHECKSUM_LINE)
        .ok_or(SnapshotError::Damaged)?;
    let expected = format!("{}\n", blake3::hash(body).to_hex());
    if checksum != expected.as_bytes() {
        return Err(SnapshotError::Damaged);
    }
    serde_json::from_slice(body).map_err(SnapshotError::InvalidJson)
}

fn restored_class(saved: &SavedClass) -> Result<ClassStatistics, SnapshotError> {
    Ok(ClassStatistics {
        distributions: distributions(&saved.figures)?,
        estimate_accuracy: sketch(&saved.honesty)?,
    })
}

/// The statistics of fingerprints whose class still exists.
fn restored_fingerprints(
    saved: Vec<SavedFingerprint>,
    numbers: &[Option<usize>],
) -> Result<Vec<(FingerprintId, FingerprintStatistics)>, SnapshotError> {
    let mut restored = Vec::new();
    for (age, saved) in saved.into_iter().enumerate() {
        let Some(class) = numbers.get(saved.class).copied().flatten() else {
            continue;
        };
        let sizes: Result<BTreeMap<u8, Distributions>, SnapshotError> = saved
            .sizes
            .iter()
            .map(|(size, pairs)| Ok((*size, distributions(pairs)?)))
            .collect();
        let statistics = FingerprintStatistics {
            class,
            label: saved.label.into(),
            sizes: sizes?,
            estimate_accuracy: sketch(&saved.honesty)?,
            beyond_bound: distributions(&saved.beyond)?,
            // The clock of an earlier process means nothing now; the order does.
            last_use: age as Micros,
        };
        restored.push((saved.id, statistics));
    }
    Ok(restored)
}

/// The holds of fingerprints whose class still exists.
fn restored_holds(
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
