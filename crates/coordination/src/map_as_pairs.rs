//! Owns how maps are written whose keys are more than a text: as a list of pairs, since JSON's own maps have texts for keys.

use std::collections::BTreeMap;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// What stands there: pairs, or the empty map that older programs wrote where there were none.
#[derive(Deserialize)]
#[serde(untagged)]
enum Written<K, V> {
    Pairs(Vec<(K, V)>),
    Empty {},
}

pub fn serialize<K: Serialize, V: Serialize, S: Serializer>(
    map: &BTreeMap<K, V>,
    to: S,
) -> Result<S::Ok, S::Error> {
    to.collect_seq(map)
}

pub fn deserialize<'de, K, V, D>(from: D) -> Result<BTreeMap<K, V>, D::Error>
where
    K: Deserialize<'de> + Ord,
    V: Deserialize<'de>,
    D: Deserializer<'de>,
{
    match Written::deserialize(from)? {
        Written::Pairs(pairs) => Ok(pairs.into_iter().collect()),
        Written::Empty {} => Ok(BTreeMap::new()),
    }
}
