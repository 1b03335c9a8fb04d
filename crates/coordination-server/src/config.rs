//! The configuration of a replica: its id, the addresses of all replicas and its storage.

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

/// The configuration of a replica, as read from its file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The name of the fleet. A replica rejects a disk of another fleet.
    pub fleet: String,
    /// The id of this replica, a key of `replicas`.
    #[serde(rename = "keeper")]
    pub replica: u64,
    /// The addresses of the three or five replicas by id, for peers and routers. The id of a removed replica must never
    /// be reused.
    #[serde(rename = "keepers")]
    pub replicas: BTreeMap<u64, SocketAddr>,
    /// The address to listen on; by default this replica's address in `replicas`.
    #[serde(default)]
    pub listen: Option<SocketAddr>,
    /// The directory of the storage.
    pub dir: PathBuf,
    /// The file that contains the fleet's secret.
    pub secret: PathBuf,
    /// The lease term, that is the duration of a lease; all replicas and routers of the fleet must agree on it.
    #[serde(rename = "permit", default = "default_lease_term")]
    pub lease_term: ConfigDuration,
    /// The maximum clock drift, that is the difference between the rates of two clocks, in millionths; all replicas and
    /// routers of the fleet must agree on it.
    #[serde(default = "default_drift")]
    pub drift: u64,
    /// The size of the storage file, in bytes, above which writes fail.
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

/// An error that makes a configuration invalid.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The value does not have the structure of a configuration.
    #[error(transparent)]
    Parse(#[from] serde_json::Error),
    /// Some settings have invalid values.
    #[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
    Invalid(Vec<InvalidSetting>),
}

/// A setting with an invalid value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{name}: {requirement}")]
pub struct InvalidSetting {
    /// The setting's key in the file.
    pub name: &'static str,
    /// The requirement that the value violates.
    pub requirement: &'static str,
}

impl Config {
    /// Parses and validates the value of an evaluated configuration file.
    ///
    /// # Errors
    ///
    /// Returns an error if the value has another structure or some settings are invalid.
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
                "must have 1 to 128 bytes",
            ),
            (
                matches!(self.replicas.len(), 3 | 5),
                "keepers",
                "must name three or five replicas",
            ),
            (
                self.replicas.keys().all(|id| REPLICA_IDS.contains(id)),
                "keepers",
                "ids must be from 1 to 99",
            ),
            (
                self.replicas.contains_key(&self.replica),
                "keeper",
                "must be one of the ids in keepers",
            ),
            (
                self.has_distinct_addresses(),
                "keepers",
                "must not contain an address twice",
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

    /// Returns the lease term and the maximum clock drift.
    pub fn lease_timing(&self) -> LeaseTiming {
        LeaseTiming {
            term: self.lease_term.as_micros(),
            drift: self.drift,
        }
    }

    /// Returns the address to listen on.
    pub fn listen_address(&self) -> SocketAddr {
        self.listen
            .or_else(|| self.replicas.get(&self.replica).copied())
            // Not reached: a valid configuration has an address for this replica.
            .unwrap_or(([127, 0, 0, 1], 0).into())
    }

    /// Returns the ids and addresses of the other replicas.
    pub fn peers(&self) -> impl Iterator<Item = (u64, SocketAddr)> + '_ {
        self.replicas
            .iter()
            .filter(|(id, _)| **id != self.replica)
            .map(|(id, address)| (*id, *address))
    }
}

#[cfg(test)]
mod tests;
