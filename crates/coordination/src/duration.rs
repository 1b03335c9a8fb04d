//! Durations in a document: text with a unit, whole microseconds in memory.

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

const MICROS_PER_MILLI: u64 = 1000;

/// A duration in whole microseconds. Written as `1500ms`; all units of settings files can be read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfigDuration(pub u64);

impl ConfigDuration {
    /// No time at all.
    pub(crate) const ZERO: ConfigDuration = ConfigDuration(0);

    /// A duration of so many milliseconds.
    pub const fn from_millis(millis: u64) -> ConfigDuration {
        ConfigDuration(millis * MICROS_PER_MILLI)
    }
}

impl std::fmt::Display for ConfigDuration {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.0 % MICROS_PER_MILLI {
            0 => write!(f, "{}ms", self.0 / MICROS_PER_MILLI),
            _ => write!(f, "{}us", self.0),
        }
    }
}

impl Serialize for ConfigDuration {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for ConfigDuration {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<ConfigDuration, D::Error> {
        let text = String::deserialize(deserializer)?;
        let duration = hoptiller_statement::parse_duration(&text).ok_or_else(|| {
            de::Error::custom(format!(
                "{text:?} is no duration with its unit, such as '250ms' or '2m'"
            ))
        })?;
        // Fractions of a microsecond are rounded, so that what is written is read as the same.
        Ok(ConfigDuration((duration.as_nanos() as u64 + 500) / 1000))
    }
}
