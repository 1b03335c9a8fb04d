//! Durations in scenario files.

use std::time::Duration;

use hoptiller_statement::parse_duration;
use serde::{Deserialize, Deserializer};

/// Deserializes a duration with a unit, such as `1.5s`.
pub(super) fn deserialize_duration<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Duration, D::Error> {
    let text = String::deserialize(deserializer)?;
    parse_duration(&text).ok_or_else(|| {
        serde::de::Error::custom(format!(
            "{text:?} is not a duration with a unit, such as '1.5s'"
        ))
    })
}
