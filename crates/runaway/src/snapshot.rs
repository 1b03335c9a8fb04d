//! Owns the form in which kinds, classes and holds survive a restart: a line that says what the file is, a line
//! with the BLAKE3 checksum of the rest, and the rest as JSON. Who writes it sees to it that it is whole or old;
//! who reads it takes all of it or nothing, and then starts from the priors.

use std::collections::BTreeMap;

use hoptiller_policy::Micros;
use serde::{Deserialize, Serialize};

use crate::expect::{Figures, KindBook};
use crate::hold::KindHold;
use crate::interface::{Class, FingerprintId};
use crate::sketch::Sketch;
use crate::watch::RunawayDetector;

/// The first line; the number is the version of the form.
const FIRST: &str = "hoptiller runaways 1";

/// Why a snapshot can't be taken in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SnapshotError {
    /// It is no file of this kind, or of another version.
    Foreign,
    /// Its checksum is of other bytes: it was cut or changed.
    Damaged,
    /// It is whole, and can't be understood.
    Unreadable(String),
}

impl std::fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            SnapshotError::Foreign => write!(f, "it does not begin with {FIRST:?}"),
            SnapshotError::Damaged => write!(f, "its checksum is wrong: it was cut or changed"),
            SnapshotError::Unreadable(why) => write!(f, "it can't be understood: {why}"),
        }
    }
}

impl std::error::Error for SnapshotError {}

/// Pairs of a sketch.
type Pairs = Vec<(u64, u16)>;

#[derive(Serialize, Deserialize)]
struct Saved {
    classes: Vec<SavedClass>,
    /// The least lately used first.
    kinds: Vec<SavedKind>,
    holds: Vec<(FingerprintId, KindHold)>,
}

#[derive(Serialize, Deserialize)]
struct SavedClass {
    name: String,
    figures: [Pairs; 4],
    honesty: Pairs,
}

#[derive(Serialize, Deserialize)]
struct SavedKind {
    id: FingerprintId,
    class: usize,
    label: String,
    sizes: BTreeMap<u8, [Pairs; 4]>,
    honesty: Pairs,
    beyond: [Pairs; 4],
}

fn pairs(f: &Figures) -> [Pairs; 4] {
    [
        f.run.pairs(),
        f.work.pairs(),
        f.per_rows.pairs(),
        f.memory.pairs(),
    ]
}

fn sketch(pairs: &Pairs) -> Result<Sketch, SnapshotError> {
    Sketch::from_pairs(pairs)
        .ok_or_else(|| SnapshotError::Unreadable("a distribution out of bounds".into()))
}

fn figures(p: &[Pairs; 4]) -> Result<Figures, SnapshotError> {
    Ok(Figures {
        run: sketch(&p[0])?,
        work: sketch(&p[1])?,
        per_rows: sketch(&p[2])?,
        memory: sketch(&p[3])?,
    })
}

/// What was taken in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Restored {
    /// Kinds.
    pub kinds: usize,
    /// Holds.
    pub holds: usize,
    /// Kinds and holds of classes that the settings have no more.
    pub dropped: usize,
}

impl RunawayDetector {
    /// What survives a restart.
    pub fn save(&self) -> Vec<u8> {
        let class = |(spec, (f, honesty)): (&Class, &(Figures, Sketch))| SavedClass {
            name: spec.name.clone(),
            figures: pairs(f),
            honesty: honesty.pairs(),
        };
        let mut kinds: Vec<(&FingerprintId, &KindBook)> = self.book.kinds.iter().collect();
        kinds.sort_by_key(|(id, k)| (k.last, **id));
        let kind = |(id, k): (&FingerprintId, &KindBook)| SavedKind {
            id: *id,
            class: k.class,
            label: k.label.to_string(),
            sizes: k.sizes.iter().map(|(size, f)| (*size, pairs(f))).collect(),
            honesty: k.honesty.pairs(),
            beyond: pairs(&k.beyond),
        };
        let saved = Saved {
            classes: self
                .cfg
                .classes
                .iter()
                .zip(&self.book.classes)
                .map(class)
                .collect(),
            kinds: kinds.into_iter().map(kind).collect(),
            holds: self
                .holds
                .kinds
                .iter()
                .map(|(id, h)| (*id, h.clone()))
                .collect(),
        };
        let body = serde_json::to_vec(&saved).unwrap_or_default();
        let mut all = format!("{FIRST}\n{}\n", blake3::hash(&body).to_hex()).into_bytes();
        all.extend(body);
        all
    }

    /// Takes in what was saved. All or nothing: on an error, nothing has changed.
    pub fn restore(&mut self, now: Micros, bytes: &[u8]) -> Result<Restored, SnapshotError> {
        let rest = bytes
            .strip_prefix(FIRST.as_bytes())
            .and_then(|r| r.strip_prefix(b"\n"));
        let rest = rest.ok_or(SnapshotError::Foreign)?;
        let (sum, body) = rest.split_at_checked(65).ok_or(SnapshotError::Damaged)?;
        let expected = format!("{}\n", blake3::hash(body).to_hex());
        if sum != expected.as_bytes() {
            return Err(SnapshotError::Damaged);
        }
        let saved: Saved =
            serde_json::from_slice(body).map_err(|e| SnapshotError::Unreadable(e.to_string()))?;
        // Classes go by name: the settings may have others now, or in another order.
        let by_name = |name: &str| self.cfg.classes.iter().position(|c| c.name == name);
        let numbers: Vec<Option<usize>> = saved.classes.iter().map(|c| by_name(&c.name)).collect();
        let number = |class: usize| numbers.get(class).copied().flatten();
        let mut done = Restored::default();
        let mut classes = Vec::new();
        for (c, at) in saved.classes.iter().zip(&numbers) {
            if let Some(at) = at {
                classes.push((*at, figures(&c.figures)?, sketch(&c.honesty)?));
            }
        }
        let mut kinds = Vec::new();
        for (age, k) in saved.kinds.into_iter().enumerate() {
            let Some(class) = number(k.class) else {
                done.dropped += 1;
                continue;
            };
            let sizes: Result<BTreeMap<u8, Figures>, SnapshotError> = k
                .sizes
                .iter()
                .map(|(size, p)| Ok((*size, figures(p)?)))
                .collect();
            let (sizes, honesty, beyond) = (sizes?, sketch(&k.honesty)?, figures(&k.beyond)?);
            // The clock of an earlier life says nothing now; the order does.
            let last = age as Micros;
            kinds.push((
                k.id,
                KindBook {
                    class,
                    label: k.label.into(),
                    sizes,
                    honesty,
                    beyond,
                    last,
                },
            ));
        }
        let mut holds = Vec::new();
        for (id, hold) in saved.holds {
            match number(hold.class) {
                Some(class) => holds.push((
                    id,
                    KindHold {
                        class,
                        since: now,
                        last: now,
                        out: 0,
                        ..hold
                    },
                )),
                None => done.dropped += 1,
            }
        }
        (done.kinds, done.holds) = (kinds.len(), holds.len());
        classes
            .into_iter()
            .for_each(|(at, figures, honesty)| self.book.classes[at] = (figures, honesty));
        kinds
            .into_iter()
            .for_each(|(id, book)| self.book.restore(id, book));
        self.holds.kinds.extend(holds);
        self.tell_holds();
        Ok(done)
    }
}
