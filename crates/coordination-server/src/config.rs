//! Owns what a keeper is told: who it is, who the others are, where its disk lies.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use hoptiller_coordination::{ConfigDuration, LeaseTiming};
use serde::Deserialize;

/// A keeper's configuration, as its file gives it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The name of the fleet: a disk of another fleet is refused.
    pub fleet: String,
    /// This keeper's number, among those of `keepers`.
    pub keeper: u64,
    /// All keepers by number, three or five, at the addresses where they reach each other and routers reach them.
    pub keepers: BTreeMap<u64, SocketAddr>,
    /// Where it listens; none given: at its own address of `keepers`.
    #[serde(default)]
    pub listen: Option<SocketAddr>,
    /// The folder of its disk.
    pub dir: PathBuf,
    /// The file with the fleet's secret.
    pub secret: PathBuf,
    /// How long a router's permit lasts: the same for all keepers and routers.
    #[serde(default = "permit")]
    pub permit: ConfigDuration,
    /// How far the rates of two clocks may differ, in millionths: the same for all.
    #[serde(default = "drift")]
    pub drift: u64,
    /// Bytes that its file may take at most.
    #[serde(default = "most_bytes")]
    pub most_bytes: u64,
}

fn permit() -> ConfigDuration {
    ConfigDuration::from_millis(10_000)
}

fn drift() -> u64 {
    1000
}

fn most_bytes() -> u64 {
    1 << 30
}

/// A configuration that can't work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError(pub Vec<String>);

impl std::fmt::Display for ConfigError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0.join("; "))
    }
}

impl std::error::Error for ConfigError {}

impl Config {
    /// Reads an evaluated file, and checks it.
    pub fn read(value: serde_json::Value) -> Result<Config, ConfigError> {
        let config: Config =
            serde_json::from_value(value).map_err(|e| ConfigError(vec![e.to_string()]))?;
        let wrong = config.wrong();
        if wrong.is_empty() {
            Ok(config)
        } else {
            Err(ConfigError(wrong))
        }
    }

    fn wrong(&self) -> Vec<String> {
        let mut wrong = Vec::new();
        let mut note = |bad: bool, what: &str| {
            if bad {
                wrong.push(what.to_owned());
            }
        };
        note(
            self.fleet.is_empty() || self.fleet.len() > 128,
            "fleet: a name of 1 to 128 bytes is wanted",
        );
        note(
            !matches!(self.keepers.len(), 3 | 5),
            "keepers: three or five are wanted",
        );
        note(
            self.keepers.keys().any(|n| !(1..=99).contains(n)),
            "keepers: numbers from 1 to 99 are wanted, and none is ever used again",
        );
        note(
            !self.keepers.contains_key(&self.keeper),
            "keeper: is none of keepers",
        );
        let mut addresses: Vec<&SocketAddr> = self.keepers.values().collect();
        addresses.sort();
        addresses.dedup();
        note(
            addresses.len() != self.keepers.len(),
            "keepers: an address is given twice",
        );
        note(
            self.permit < ConfigDuration::from_millis(500),
            "permit: must be 500ms or more",
        );
        note(
            self.permit > ConfigDuration::from_millis(600_000),
            "permit: must be 10m or less",
        );
        note(
            self.drift > 100_000,
            "drift: must be 100000 millionths or less",
        );
        note(
            self.most_bytes < 16 << 20,
            "most_bytes: must be 16 MiB or more",
        );
        wrong
    }

    /// The bounds of permits.
    pub fn bounds(&self) -> LeaseTiming {
        LeaseTiming {
            term: self.permit.0,
            drift: self.drift,
        }
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listen
            .or_else(|| self.keepers.get(&self.keeper).copied())
            .unwrap_or(([127, 0, 0, 1], 0).into())
    }

    /// The others.
    pub fn others(&self) -> impl Iterator<Item = (u64, SocketAddr)> + '_ {
        self.keepers
            .iter()
            .filter(|(n, _)| **n != self.keeper)
            .map(|(n, at)| (*n, *at))
    }
}

#[cfg(test)]
mod tests;
