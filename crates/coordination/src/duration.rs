//! Durations in a document, written as text with a unit and held as whole microseconds.

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

const NANOS_PER_MICRO: u64 = 1000;
const MICROS_PER_MILLI: u64 = 1000;

/// A duration in whole microseconds. It is written in the form `1500ms` and read with any of the units ns, us, ms, s,
/// m, h and d.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfigDuration {
    micros: u64,
}

impl ConfigDuration {
    /// The duration of length zero.
    pub(crate) const ZERO: ConfigDuration = ConfigDuration::from_micros(0);

    /// Creates a duration from a number of milliseconds.
    pub const fn from_millis(millis: u64) -> ConfigDuration {
        ConfigDuration::from_micros(millis * MICROS_PER_MILLI)
    }

    /// Creates a duration from a number of microseconds.
    pub const fn from_micros(micros: u64) -> ConfigDuration {
        ConfigDuration { micros }
    }

    /// Returns the duration in microseconds.
    pub const fn as_micros(self) -> u64 {
        self.micros
    }
}

impl std::fmt::Display for ConfigDuration {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.micros % MICROS_PER_MILLI {
            0 => write!(f, "{}ms", self.micros / MICROS_PER_MILLI),
            _ => write!(f, "{}us", self.micros),
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
                "{text:?} is not a duration with a unit, such as '250ms' or '2m'"
            ))
        })?;
        // Fractions of a microsecond are rounded, so that a duration is read back as it was written.
        let micros = (duration.as_nanos() as u64 + NANOS_PER_MICRO / 2) / NANOS_PER_MICRO;
        Ok(ConfigDuration::from_micros(micros))
    }
}
