//! The merge of two values: their greatest lower bound, which permits only what both permit.
//!
//! Merges form a semilattice: they are commutative, associative and idempotent. Values that restrict nothing (such as
//! weights) still merge to one value for both orders.

use serde::{Deserialize, Serialize};

/// How a change relates to the value before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// It permits and forbids the same.
    Neutral,
    /// It forbids more, and permits nothing new.
    Tighter,
    /// It permits more, and forbids nothing new.
    Looser,
    /// It forbids some and permits other.
    #[serde(rename = "both")]
    Mixed,
}

impl Change {
    /// Combines two changes.
    pub fn combine(self, other: Change) -> Change {
        match (self, other) {
            (a, b) if a == b => a,
            (Change::Neutral, change) | (change, Change::Neutral) => change,
            _ => Change::Mixed,
        }
    }

    /// The description that users see.
    pub fn description(self) -> &'static str {
        match self {
            Change::Neutral => "neutral",
            Change::Tighter => "tighter",
            Change::Looser => "looser",
            Change::Mixed => "tighter in part, looser in part",
        }
    }
}

/// A setting that differs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// The path of the setting, such as `classes.report.kinds`.
    pub path: String,
    /// How the new value relates to the old one.
    pub change: Change,
}

impl Difference {
    pub(crate) fn new(path: &str, change: Change) -> Difference {
        Difference {
            path: path.to_owned(),
            change,
        }
    }
}

/// A value that can be merged with another.
pub trait Merge: Sized {
    /// The greatest lower bound of both values.
    fn merge(&self, other: &Self) -> Self;
    /// Appends each setting in which `new` differs. `path` is the path of the value itself.
    fn differences(&self, new: &Self, path: &str, into: &mut Vec<Difference>);
}

/// A rule by which values of a type are merged.
pub(crate) trait MergeRule<T> {
    /// Whether values that differ restrict different things.
    const RESTRICTS: bool = true;

    /// The greatest lower bound of both values.
    fn merge(a: &T, b: &T) -> T;

    /// Appends how `new` differs from `old`.
    fn differences(old: &T, new: &T, path: &str, into: &mut Vec<Difference>)
    where
        T: PartialEq,
    {
        if old == new {
            return;
        }
        let merged = Self::merge(old, new);
        let change = match Self::RESTRICTS {
            false => Change::Neutral,
            true if merged == *new => Change::Tighter,
            true if merged == *old => Change::Looser,
            true => Change::Mixed,
        };
        into.push(Difference::new(path, change));
    }
}
