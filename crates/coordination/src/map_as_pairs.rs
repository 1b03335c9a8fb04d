//! Serialization of a map whose keys are not strings as a list of pairs, since JSON objects have string keys.

use std::collections::BTreeMap;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// A list of pairs, or the empty object that earlier releases wrote for an empty map.
#[derive(Deserialize)]
#[serde(untagged)]
enum StoredMap<K, V> {
    Pairs(Vec<(K, V)>),
    Empty {},
}

pub(crate) fn serialize<K: Serialize, V: Serialize, S: Serializer>(
    map: &BTreeMap<K, V>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.collect_seq(map)
}

pub(crate) fn deserialize<'de, K, V, D>(deserializer: D) -> Result<BTreeMap<K, V>, D::Error>
where
    K: Deserialize<'de> + Ord,
    V: Deserialize<'de>,
    D: Deserializer<'de>,
{
    match StoredMap::deserialize(deserializer)? {
        StoredMap::Pairs(pairs) => Ok(pairs.into_iter().collect()),
        StoredMap::Empty {} => Ok(BTreeMap::new()),
    }
}
