//! Owns the meet of two values: what contradicts neither. Each kind of setting has one rule, and a setting is declared
//! together with its rule, so that one without a rule does not compile.
//!
//! A rule is a semilattice: commutative, associative, idempotent, and what it gives permits nothing that either side
//! forbids. Rules that bind nobody (what an answer is worth) still have one value for both orders.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// How a change relates to what was there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// No act is permitted or forbidden by it: it contradicts nothing.
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
    /// Of two changes together.
    pub fn combine(self, other: Change) -> Change {
        match (self, other) {
            (a, b) if a == b => a,
            (Change::Neutral, x) | (x, Change::Neutral) => x,
            _ => Change::Mixed,
        }
    }

    /// The word for people.
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
    /// Where: `classes.report.kinds`.
    pub path: String,
    /// Which way.
    pub change: Change,
}

/// What has a meet, field by field.
pub trait Merge: Sized {
    /// What contradicts neither side.
    fn merge(&self, other: &Self) -> Self;
    /// Notes each setting in which `new` differs.
    fn differences(&self, new: &Self, path: &str, into: &mut Vec<Difference>);
}

/// A rule for values of a type.
pub trait MergeRule<T> {
    /// Whether values that differ contradict each other.
    const BINDS: bool = true;
    /// What contradicts neither.
    fn merge(a: &T, b: &T) -> T;
    /// Notes how `new` differs.
    fn differences(old: &T, new: &T, path: &str, into: &mut Vec<Difference>)
    where
        T: PartialEq,
    {
        if old == new {
            return;
        }
        let meet = Self::merge(old, new);
        let change = match Self::BINDS {
            false => Change::Neutral,
            true if meet == *new => Change::Tighter,
            true if meet == *old => Change::Looser,
            true => Change::Mixed,
        };
        into.push(Difference {
            path: path.to_owned(),
            change,
        });
    }
}

/// Binds nobody: how what is permitted is weighed. The smaller value stands until the change is in force.
pub struct Advisory;
/// The smaller limit.
pub struct Minimum;
/// The larger limit.
pub struct Maximum;
/// True if either says so.
pub struct LogicalOr;
/// True only if both say so.
pub struct LogicalAnd;
/// The stricter word; words are declared from lax to strict.
pub struct Strictest;
/// Places that both permit; none given permits all.
pub struct OptionalIntersection;
/// Names that both know.
pub struct Intersection;
/// A name on which both agree, or none.
pub struct EqualOrNone;
/// Of the names that both know, the smaller number.
pub struct MinimumPerKey;
/// Of the names that both know; the number binds nobody.
pub struct AdvisoryPerKey;
/// Of the names that both know, the meet of what they stand for.
pub struct MergePerKey;
/// No bound where neither has one; else the meet of the bounds.
pub struct MergeOptional;
/// A group of settings, each with its own rule.
pub struct Nested;

fn least<T: PartialOrd + Copy>(a: &T, b: &T) -> T {
    if b < a { *b } else { *a }
}

impl<T: PartialOrd + Copy> MergeRule<T> for Advisory {
    const BINDS: bool = false;
    fn merge(a: &T, b: &T) -> T {
        least(a, b)
    }
}

impl<T: PartialOrd + Copy> MergeRule<T> for Minimum {
    fn merge(a: &T, b: &T) -> T {
        least(a, b)
    }
}

impl<T: PartialOrd + Copy> MergeRule<T> for Maximum {
    fn merge(a: &T, b: &T) -> T {
        if b > a { *b } else { *a }
    }
}

impl MergeRule<bool> for LogicalOr {
    fn merge(a: &bool, b: &bool) -> bool {
        *a || *b
    }
}

impl MergeRule<bool> for LogicalAnd {
    fn merge(a: &bool, b: &bool) -> bool {
        *a && *b
    }
}

impl<T: Ord + Copy> MergeRule<T> for Strictest {
    fn merge(a: &T, b: &T) -> T {
        *a.max(b)
    }
}

impl MergeRule<Option<BTreeSet<String>>> for OptionalIntersection {
    fn merge(
        a: &Option<BTreeSet<String>>,
        b: &Option<BTreeSet<String>>,
    ) -> Option<BTreeSet<String>> {
        match (a, b) {
            (Some(a), Some(b)) => Some(a & b),
            (Some(one), None) | (None, Some(one)) => Some(one.clone()),
            (None, None) => None,
        }
    }
}

impl MergeRule<BTreeSet<String>> for Intersection {
    fn merge(a: &BTreeSet<String>, b: &BTreeSet<String>) -> BTreeSet<String> {
        a & b
    }
}

impl MergeRule<Option<String>> for EqualOrNone {
    fn merge(a: &Option<String>, b: &Option<String>) -> Option<String> {
        a.clone().filter(|_| a == b)
    }
}

type NumbersByName = BTreeMap<String, f64>;

fn each<V: Clone>(
    a: &BTreeMap<String, V>,
    b: &BTreeMap<String, V>,
    meet: impl Fn(&V, &V) -> V,
) -> BTreeMap<String, V> {
    a.iter()
        .filter_map(|(k, x)| b.get(k).map(|y| (k.clone(), meet(x, y))))
        .collect()
}

/// Names that came or went, and `inside` for those on both sides.
fn each_difference<V>(
    old: &BTreeMap<String, V>,
    new: &BTreeMap<String, V>,
    path: &str,
    into: &mut Vec<Difference>,
    inside: impl Fn(&V, &V, &str, &mut Vec<Difference>),
) {
    for name in old
        .keys()
        .chain(new.keys().filter(|k| !old.contains_key(*k)))
    {
        let path = format!("{path}.{name}");
        match (old.get(name), new.get(name)) {
            (Some(a), Some(b)) => inside(a, b, &path, into),
            (Some(_), None) => into.push(Difference {
                path,
                change: Change::Tighter,
            }),
            _ => into.push(Difference {
                path,
                change: Change::Looser,
            }),
        }
    }
}

impl MergeRule<NumbersByName> for MinimumPerKey {
    fn merge(a: &NumbersByName, b: &NumbersByName) -> NumbersByName {
        each(a, b, least)
    }
    fn differences(
        old: &NumbersByName,
        new: &NumbersByName,
        path: &str,
        into: &mut Vec<Difference>,
    ) {
        each_difference(
            old,
            new,
            path,
            into,
            <Minimum as MergeRule<f64>>::differences,
        );
    }
}

impl MergeRule<NumbersByName> for AdvisoryPerKey {
    fn merge(a: &NumbersByName, b: &NumbersByName) -> NumbersByName {
        each(a, b, least)
    }
    fn differences(
        old: &NumbersByName,
        new: &NumbersByName,
        path: &str,
        into: &mut Vec<Difference>,
    ) {
        each_difference(
            old,
            new,
            path,
            into,
            <Advisory as MergeRule<f64>>::differences,
        );
    }
}

impl<V: Merge + Clone + PartialEq> MergeRule<BTreeMap<String, V>> for MergePerKey {
    fn merge(a: &BTreeMap<String, V>, b: &BTreeMap<String, V>) -> BTreeMap<String, V> {
        each(a, b, V::merge)
    }
    fn differences(
        old: &BTreeMap<String, V>,
        new: &BTreeMap<String, V>,
        path: &str,
        into: &mut Vec<Difference>,
    ) {
        each_difference(old, new, path, into, V::differences);
    }
}

impl<V: Merge + Clone + PartialEq> MergeRule<Option<V>> for MergeOptional {
    fn merge(a: &Option<V>, b: &Option<V>) -> Option<V> {
        match (a, b) {
            (Some(a), Some(b)) => Some(a.merge(b)),
            (Some(one), None) | (None, Some(one)) => Some(one.clone()),
            (None, None) => None,
        }
    }
    fn differences(old: &Option<V>, new: &Option<V>, path: &str, into: &mut Vec<Difference>) {
        match (old, new) {
            (Some(a), Some(b)) => a.differences(b, path, into),
            (None, Some(_)) => into.push(Difference {
                path: path.to_owned(),
                change: Change::Tighter,
            }),
            (Some(_), None) => into.push(Difference {
                path: path.to_owned(),
                change: Change::Looser,
            }),
            (None, None) => {}
        }
    }
}

impl<T: Merge + PartialEq> MergeRule<T> for Nested {
    fn merge(a: &T, b: &T) -> T {
        a.merge(b)
    }
    fn differences(old: &T, new: &T, path: &str, into: &mut Vec<Difference>) {
        old.differences(new, path, into);
    }
}

/// Declares a struct of settings, each with its rule in front.
macro_rules! settings {
    ($(#[$outer:meta])* pub struct $name:ident {
        $($(#[$inner:meta])* [$rule:ident] $field:ident: $type:ty,)*
    }) => {
        $(#[$outer])*
        #[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
        #[serde(deny_unknown_fields)]
        pub struct $name {
            $($(#[$inner])* pub $field: $type,)*
        }

        impl $crate::merge::Merge for $name {
            fn merge(&self, other: &Self) -> Self {
                use $crate::merge::*;
                $name { $($field: <$rule as MergeRule<$type>>::merge(&self.$field, &other.$field),)* }
            }

            fn differences(&self, new: &Self, path: &str, into: &mut Vec<$crate::merge::Difference>) {
                use $crate::merge::*;
                let at = |field: &str| if path.is_empty() { field.to_owned() } else { format!("{path}.{field}") };
                $(<$rule as MergeRule<$type>>::differences(&self.$field, &new.$field, &at(stringify!($field)), into);)*
            }
        }
    };
}
pub(crate) use settings;
