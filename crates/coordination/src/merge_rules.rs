//! The rules by which settings are merged. [`settings!`] declares each setting together with its rule, so a setting
//! without a rule does not compile.

use std::collections::{BTreeMap, BTreeSet};
use std::marker::PhantomData;

use crate::merge::{Change, Difference, Merge, MergeRule};

/// Merges to the smaller value, which applies until the change is in force. Such values are objectives or weights, and
/// restrict nothing.
pub(crate) struct Advisory;
/// Merges to the smaller limit.
pub(crate) struct Minimum;
/// Merges to the larger limit.
pub(crate) struct Maximum;
/// Merges to `true` if either value is `true`.
pub(crate) struct LogicalOr;
/// Merges to `true` only if both values are `true`.
pub(crate) struct LogicalAnd;
/// Merges to the stricter variant of an enum whose variants are declared from lax to strict.
pub(crate) struct Strictest;
/// Merges to the names that are in both sets.
pub(crate) struct Intersection;
/// Merges to the names that are in both sets; `None` stands for the set of all names.
pub(crate) struct OptionalIntersection;
/// Merges to the value if both are equal, and to `None` otherwise.
pub(crate) struct EqualOrNone;
/// Merges the numbers of the names on both sides by rule `R`, and removes all other names.
pub(crate) struct NumberPerKey<R>(PhantomData<R>);
/// Merges to the smaller number for each name on both sides.
pub(crate) type MinimumPerKey = NumberPerKey<Minimum>;
/// Merges to the smaller number for each name on both sides. The numbers restrict nothing, but the set of names does.
pub(crate) type AdvisoryPerKey = NumberPerKey<Advisory>;
/// Merges the values of the names on both sides, and removes all other names.
pub(crate) struct MergePerKey;
/// Merges two bounds; `None` stands for no bound.
pub(crate) struct MergeOptional;
/// Merges a group of settings, each by its own rule.
pub(crate) struct Nested;

fn minimum<T: PartialOrd + Copy>(a: &T, b: &T) -> T {
    if b < a { *b } else { *a }
}

impl<T: PartialOrd + Copy> MergeRule<T> for Advisory {
    const RESTRICTS: bool = false;

    fn merge(a: &T, b: &T) -> T {
        minimum(a, b)
    }
}

impl<T: PartialOrd + Copy> MergeRule<T> for Minimum {
    fn merge(a: &T, b: &T) -> T {
        minimum(a, b)
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

impl MergeRule<BTreeSet<String>> for Intersection {
    fn merge(a: &BTreeSet<String>, b: &BTreeSet<String>) -> BTreeSet<String> {
        a & b
    }
}

impl MergeRule<Option<BTreeSet<String>>> for OptionalIntersection {
    fn merge(
        a: &Option<BTreeSet<String>>,
        b: &Option<BTreeSet<String>>,
    ) -> Option<BTreeSet<String>> {
        merge_options(a, b, |a, b| a & b)
    }
}

impl MergeRule<Option<String>> for EqualOrNone {
    fn merge(a: &Option<String>, b: &Option<String>) -> Option<String> {
        a.clone().filter(|_| a == b)
    }
}

type NumbersByName = BTreeMap<String, f64>;

impl<R: MergeRule<f64>> MergeRule<NumbersByName> for NumberPerKey<R> {
    fn merge(a: &NumbersByName, b: &NumbersByName) -> NumbersByName {
        merge_per_key(a, b, R::merge)
    }

    fn differences(
        old: &NumbersByName,
        new: &NumbersByName,
        path: &str,
        into: &mut Vec<Difference>,
    ) {
        differences_per_key(old, new, path, into, R::differences);
    }
}

impl<V: Merge + Clone + PartialEq> MergeRule<BTreeMap<String, V>> for MergePerKey {
    fn merge(a: &BTreeMap<String, V>, b: &BTreeMap<String, V>) -> BTreeMap<String, V> {
        merge_per_key(a, b, V::merge)
    }

    fn differences(
        old: &BTreeMap<String, V>,
        new: &BTreeMap<String, V>,
        path: &str,
        into: &mut Vec<Difference>,
    ) {
        differences_per_key(old, new, path, into, V::differences);
    }
}

impl<V: Merge + Clone + PartialEq> MergeRule<Option<V>> for MergeOptional {
    fn merge(a: &Option<V>, b: &Option<V>) -> Option<V> {
        merge_options(a, b, V::merge)
    }

    fn differences(old: &Option<V>, new: &Option<V>, path: &str, into: &mut Vec<Difference>) {
        match (old, new) {
            (Some(old), Some(new)) => old.differences(new, path, into),
            (None, Some(_)) => into.push(Difference::new(path, Change::Tighter)),
            (Some(_), None) => into.push(Difference::new(path, Change::Looser)),
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

/// Merges two bounds; `None` stands for no bound.
fn merge_options<V: Clone>(a: &Option<V>, b: &Option<V>, merge: impl Fn(&V, &V) -> V) -> Option<V> {
    match (a, b) {
        (Some(a), Some(b)) => Some(merge(a, b)),
        (Some(bound), None) | (None, Some(bound)) => Some(bound.clone()),
        (None, None) => None,
    }
}

/// Merges the values of the names on both sides, and removes all other names.
fn merge_per_key<V>(
    a: &BTreeMap<String, V>,
    b: &BTreeMap<String, V>,
    merge: impl Fn(&V, &V) -> V,
) -> BTreeMap<String, V> {
    a.iter()
        .filter_map(|(name, value)| Some((name.clone(), merge(value, b.get(name)?))))
        .collect()
}

/// Appends the names that are removed or added, and the differences between the values of the names on both sides.
fn differences_per_key<V>(
    old: &BTreeMap<String, V>,
    new: &BTreeMap<String, V>,
    path: &str,
    into: &mut Vec<Difference>,
    differences: impl Fn(&V, &V, &str, &mut Vec<Difference>),
) {
    let added = new.keys().filter(|name| !old.contains_key(*name));
    for name in old.keys().chain(added) {
        let path = format!("{path}.{name}");
        match (old.get(name), new.get(name)) {
            (Some(old), Some(new)) => differences(old, new, &path, into),
            (Some(_), None) => into.push(Difference::new(&path, Change::Tighter)),
            _ => into.push(Difference::new(&path, Change::Looser)),
        }
    }
}

/// Declares a struct of settings, each with its rule in brackets. The names of the fields are JSON keys, and parts of
/// the paths of differences.
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
                use $crate::merge::MergeRule;
                $name { $($field: <$rule as MergeRule<$type>>::merge(&self.$field, &other.$field),)* }
            }

            fn differences(&self, new: &Self, path: &str, into: &mut Vec<$crate::merge::Difference>) {
                use $crate::merge::MergeRule;
                let path_of = |field: &str| if path.is_empty() { field.to_owned() } else { format!("{path}.{field}") };
                $(<$rule as MergeRule<$type>>::differences(
                    &self.$field, &new.$field, &path_of(stringify!($field)), into,
                );)*
            }
        }
    };
}
pub(crate) use settings;
