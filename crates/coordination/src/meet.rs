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
    Both,
}

impl Change {
    /// Of two changes together.
    pub fn and(self, other: Change) -> Change {
        match (self, other) {
            (a, b) if a == b => a,
            (Change::Neutral, x) | (x, Change::Neutral) => x,
            _ => Change::Both,
        }
    }

    /// The word for people.
    pub fn word(self) -> &'static str {
        match self {
            Change::Neutral => "neutral",
            Change::Tighter => "tighter",
            Change::Looser => "looser",
            Change::Both => "tighter in part, looser in part",
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
pub trait Meet: Sized {
    /// What contradicts neither side.
    fn meet(&self, other: &Self) -> Self;
    /// Notes each setting in which `new` differs.
    fn differences(&self, new: &Self, path: &str, into: &mut Vec<Difference>);
}

/// A rule for values of a type.
pub trait Rule<T> {
    /// Whether values that differ contradict each other.
    const BINDS: bool = true;
    /// What contradicts neither.
    fn meet(a: &T, b: &T) -> T;
    /// Notes how `new` differs.
    fn differences(old: &T, new: &T, path: &str, into: &mut Vec<Difference>)
    where
        T: PartialEq,
    {
        if old == new {
            return;
        }
        let meet = Self::meet(old, new);
        let change = match Self::BINDS {
            false => Change::Neutral,
            true if meet == *new => Change::Tighter,
            true if meet == *old => Change::Looser,
            true => Change::Both,
        };
        into.push(Difference {
            path: path.to_owned(),
            change,
        });
    }
}

/// Binds nobody: how what is permitted is weighed. The smaller value stands until the change is in force.
pub struct Tuning;
/// The smaller limit.
pub struct Smaller;
/// The larger limit.
pub struct Larger;
/// True if either says so.
pub struct Either;
/// True only if both say so.
pub struct Both;
/// The stricter word; words are declared from lax to strict.
pub struct Stricter;
/// Places that both permit; none given permits all.
pub struct Places;
/// Names that both know.
pub struct Known;
/// A name on which both agree, or none.
pub struct Agreed;
/// Of the names that both know, the smaller number.
pub struct EachSmaller;
/// Of the names that both know; the number binds nobody.
pub struct EachTuning;
/// Of the names that both know, the meet of what they stand for.
pub struct Each;
/// No bound where neither has one; else the meet of the bounds.
pub struct Bounded;
/// A group of settings, each with its own rule.
pub struct Group;

fn least<T: PartialOrd + Copy>(a: &T, b: &T) -> T {
    if b < a { *b } else { *a }
}

impl<T: PartialOrd + Copy> Rule<T> for Tuning {
    const BINDS: bool = false;
    fn meet(a: &T, b: &T) -> T {
        least(a, b)
    }
}

impl<T: PartialOrd + Copy> Rule<T> for Smaller {
    fn meet(a: &T, b: &T) -> T {
        least(a, b)
    }
}

impl<T: PartialOrd + Copy> Rule<T> for Larger {
    fn meet(a: &T, b: &T) -> T {
        if b > a { *b } else { *a }
    }
}

impl Rule<bool> for Either {
    fn meet(a: &bool, b: &bool) -> bool {
        *a || *b
    }
}

impl Rule<bool> for Both {
    fn meet(a: &bool, b: &bool) -> bool {
        *a && *b
    }
}

impl<T: Ord + Copy> Rule<T> for Stricter {
    fn meet(a: &T, b: &T) -> T {
        *a.max(b)
    }
}

impl Rule<Option<BTreeSet<String>>> for Places {
    fn meet(
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

impl Rule<BTreeSet<String>> for Known {
    fn meet(a: &BTreeSet<String>, b: &BTreeSet<String>) -> BTreeSet<String> {
        a & b
    }
}

impl Rule<Option<String>> for Agreed {
    fn meet(a: &Option<String>, b: &Option<String>) -> Option<String> {
        a.clone().filter(|_| a == b)
    }
}

type Numbers = BTreeMap<String, f64>;

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

impl Rule<Numbers> for EachSmaller {
    fn meet(a: &Numbers, b: &Numbers) -> Numbers {
        each(a, b, least)
    }
    fn differences(old: &Numbers, new: &Numbers, path: &str, into: &mut Vec<Difference>) {
        each_difference(old, new, path, into, <Smaller as Rule<f64>>::differences);
    }
}

impl Rule<Numbers> for EachTuning {
    fn meet(a: &Numbers, b: &Numbers) -> Numbers {
        each(a, b, least)
    }
    fn differences(old: &Numbers, new: &Numbers, path: &str, into: &mut Vec<Difference>) {
        each_difference(old, new, path, into, <Tuning as Rule<f64>>::differences);
    }
}

impl<V: Meet + Clone + PartialEq> Rule<BTreeMap<String, V>> for Each {
    fn meet(a: &BTreeMap<String, V>, b: &BTreeMap<String, V>) -> BTreeMap<String, V> {
        each(a, b, V::meet)
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

impl<V: Meet + Clone + PartialEq> Rule<Option<V>> for Bounded {
    fn meet(a: &Option<V>, b: &Option<V>) -> Option<V> {
        match (a, b) {
            (Some(a), Some(b)) => Some(a.meet(b)),
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

impl<T: Meet + PartialEq> Rule<T> for Group {
    fn meet(a: &T, b: &T) -> T {
        a.meet(b)
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

        impl $crate::meet::Meet for $name {
            fn meet(&self, other: &Self) -> Self {
                use $crate::meet::*;
                $name { $($field: <$rule as Rule<$type>>::meet(&self.$field, &other.$field),)* }
            }

            fn differences(&self, new: &Self, path: &str, into: &mut Vec<$crate::meet::Difference>) {
                use $crate::meet::*;
                let at = |field: &str| if path.is_empty() { field.to_owned() } else { format!("{path}.{field}") };
                $(<$rule as Rule<$type>>::differences(&self.$field, &new.$field, &at(stringify!($field)), into);)*
            }
        }
    };
}
pub(crate) use settings;
