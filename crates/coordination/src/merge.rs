//! The merge of two values: their greatest lower bound, which permits only what both permit.
//!
//! Values form a semilattice: the merge is commutative, associative and idempotent. Values that restrict nothing, such
//! as weights, also merge to the same value in either order.

use serde::{Deserialize, Serialize};

/// The relation of a new value to the one before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// The new value permits and forbids the same.
    Neutral,
    /// The new value forbids more, and permits nothing new.
    Tighter,
    /// The new value permits more, and forbids nothing new.
    Looser,
    /// The new value forbids some of what was permitted, and permits some of what was forbidden.
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

    /// Returns the description that users see.
    pub fn description(self) -> &'static str {
        match self {
            Change::Neutral => "neutral",
            Change::Tighter => "tighter",
            Change::Looser => "looser",
            Change::Mixed => "tighter in part, looser in part",
        }
    }
}

/// A setting that differs between two documents.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// The path of the setting, such as `classes.report.kinds`.
    pub path: String,
    /// The relation of the new value to the old one.
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
    /// Returns the greatest lower bound of both values.
    fn merge(&self, other: &Self) -> Self;
    /// Appends each setting in which `new` differs from this value. `path` is the path of the value itself.
    fn differences(&self, new: &Self, path: &str, into: &mut Vec<Difference>);
}

/// A rule by which values of a type are merged.
pub(crate) trait MergeRule<T> {
    /// Whether values restrict anything; if not, every change is neutral.
    const RESTRICTS: bool = true;

    /// Returns the greatest lower bound of both values.
    fn merge(a: &T, b: &T) -> T;

    /// Appends the differences of `new` from `old`.
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
