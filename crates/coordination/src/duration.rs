//! Owns how a time span stands in a document: text with its unit, whole microseconds inside.

use std::time::Duration;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// A span in whole microseconds. Written as `1500ms`; any unit that settings know is read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfigDuration(pub u64);

impl ConfigDuration {
    /// So many milliseconds.
    pub const fn from_millis(ms: u64) -> ConfigDuration {
        ConfigDuration(ms * 1000)
    }
}

impl std::fmt::Display for ConfigDuration {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.0 % 1000 {
            0 => write!(f, "{}ms", self.0 / 1000),
            _ => write!(f, "{}us", self.0),
        }
    }
}

impl Serialize for ConfigDuration {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for ConfigDuration {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<ConfigDuration, D::Error> {
        let text = String::deserialize(d)?;
        // Fractions of a microsecond in the text are rounded, so that what is written is read as the same.
        hoptiller_statement::client::duration(&text)
            .map(|d: Duration| ConfigDuration((d.as_nanos() as u64 + 500) / 1000))
            .ok_or_else(|| {
                de::Error::custom(format!(
                    "{text:?} is no duration with its unit, such as '250ms' or '2m'"
                ))
            })
    }
}
