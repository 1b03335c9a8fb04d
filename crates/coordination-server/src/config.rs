//! The configuration of a replica: its id, the addresses of all replicas, its disk.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use hoptiller_coordination::{ConfigDuration, LeaseTiming};
use serde::Deserialize;

use crate::membership::REPLICA_IDS;

const MAX_FLEET_NAME_BYTES: usize = 128;
const MIN_LEASE_TERM_MS: u64 = 500;
const MAX_LEASE_TERM_MS: u64 = 600_000;
const MAX_DRIFT_MILLIONTHS: u64 = 100_000;
const MIN_FILE_LIMIT_BYTES: u64 = 16 << 20;

/// The configuration of a replica, as its file gives it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The name of the fleet: a disk of another fleet is rejected.
    pub fleet: String,
    /// The id of this replica, among those of `replicas`.
    #[serde(rename = "keeper")]
    pub replica: u64,
    /// The addresses of all replicas by id, three or five, for each other and for routers.
    #[serde(rename = "keepers")]
    pub replicas: BTreeMap<u64, SocketAddr>,
    /// The address to listen on; by default this replica's among `replicas`.
    #[serde(default)]
    pub listen: Option<SocketAddr>,
    /// The folder of the storage.
    pub dir: PathBuf,
    /// The file with the fleet's secret.
    pub secret: PathBuf,
    /// How long a router's lease lasts: the same for all replicas and routers.
    #[serde(rename = "permit", default = "default_lease_term")]
    pub lease_term: ConfigDuration,
    /// Limit of the difference of two clocks' rates, in millionths: the same for all.
    #[serde(default = "default_drift")]
    pub drift: u64,
    /// Limit of the size of the storage's file, in bytes.
    #[serde(rename = "most_bytes", default = "default_max_bytes")]
    pub max_bytes: u64,
}

fn default_lease_term() -> ConfigDuration {
    ConfigDuration::from_millis(10_000)
}

fn default_drift() -> u64 {
    1000
}

fn default_max_bytes() -> u64 {
    1 << 30
}

/// Why a configuration is rejected.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// It has another form than a configuration.
    #[error(transparent)]
    Parse(#[from] serde_json::Error),
    /// Some settings have values that can't work.
    #[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
    Invalid(Vec<InvalidSetting>),
}

/// A setting with a value that can't work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{name}: {requirement}")]
pub struct InvalidSetting {
    /// The key in the file.
    pub name: &'static str,
    /// What the value must be.
    pub requirement: &'static str,
}

impl Config {
    /// Reads and checks an evaluated file.
    ///
    /// # Errors
    ///
    /// When it has another form, or settings can't work.
    pub fn read(value: serde_json::Value) -> Result<Config, ConfigError> {
        let config: Config = serde_json::from_value(value)?;
        let invalid = config.invalid_settings();
        if invalid.is_empty() {
            Ok(config)
        } else {
            Err(ConfigError::Invalid(invalid))
        }
    }

    fn invalid_settings(&self) -> Vec<InvalidSetting> {
        let rules = [
            (
                !self.fleet.is_empty() && self.fleet.len() <= MAX_FLEET_NAME_BYTES,
                "fleet",
                "a name of 1 to 128 bytes is wanted",
            ),
            (
                matches!(self.replicas.len(), 3 | 5),
                "keepers",
                "three or five are wanted",
            ),
            (
                self.replicas.keys().all(|id| REPLICA_IDS.contains(id)),
                "keepers",
                "numbers from 1 to 99 are wanted, and none is ever used again",
            ),
            (
                self.replicas.contains_key(&self.replica),
                "keeper",
                "is none of keepers",
            ),
            (
                self.has_distinct_addresses(),
                "keepers",
                "an address is given twice",
            ),
            (
                self.lease_term >= ConfigDuration::from_millis(MIN_LEASE_TERM_MS),
                "permit",
                "must be 500ms or more",
            ),
            (
                self.lease_term <= ConfigDuration::from_millis(MAX_LEASE_TERM_MS),
                "permit",
                "must be 10m or less",
            ),
            (
                self.drift <= MAX_DRIFT_MILLIONTHS,
                "drift",
                "must be 100000 millionths or less",
            ),
            (
                self.max_bytes >= MIN_FILE_LIMIT_BYTES,
                "most_bytes",
                "must be 16 MiB or more",
            ),
        ];
        rules
            .into_iter()
            .filter(|(is_valid, ..)| !is_valid)
            .map(|(_, name, requirement)| InvalidSetting { name, requirement })
            .collect()
    }

    fn has_distinct_addresses(&self) -> bool {
        let mut addresses: Vec<&SocketAddr> = self.replicas.values().collect();
        addresses.sort();
        addresses.dedup();
        addresses.len() == self.replicas.len()
    }

    /// The bounds of leases.
    pub fn bounds(&self) -> LeaseTiming {
        LeaseTiming {
            term: self.lease_term.as_micros(),
            drift: self.drift,
        }
    }

    /// The address to listen on.
    pub fn listen_address(&self) -> SocketAddr {
        self.listen
            .or_else(|| self.replicas.get(&self.replica).copied())
            .unwrap_or(([127, 0, 0, 1], 0).into())
    }

    /// The ids and addresses of the other replicas.
    pub fn peers(&self) -> impl Iterator<Item = (u64, SocketAddr)> + '_ {
        self.replicas
            .iter()
            .filter(|(id, _)| **id != self.replica)
            .map(|(id, address)| (*id, *address))
    }
}

#[cfg(test)]
mod tests;
