//! The configuration file of a router: name and address, resource limits, coordinator, and policy settings.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::endpoint_list::EndpointListUpdate;
use crate::initial_events::{InitialEvents, InitialEventsError};

/// The smallest memory limit, in MB, with which a router can work.
const MIN_MEMORY_MB: f64 = 16.0;
/// The smallest limit on file descriptors with which a router can work.
const MIN_SOCKETS: usize = 64;
/// Prime of the 64-bit FNV hash.
const FNV_PRIME: u64 = 1_099_511_628_211;

/// A router's configuration.
#[derive(Deserialize)]
pub struct Config {
    /// The router's name.
    pub name: String,
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// The seed for random numbers, usually in hex digits. It differs at each start, so it also identifies the router's
    /// incarnation.
    pub seed: String,
    /// The resource limits.
    pub limits: Limits,
    /// The address of the coordinator, which reports changes of the endpoint list.
    pub coordinator: SocketAddr,
    #[serde(rename = "known", default)]
    initial_events: InitialEvents,
    /// The settings of the policy.
    pub settings: hoptiller_policy_settings::Settings,
}

/// The resources that all processes of a router may use together.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Limits {
    /// CPU, in cores. The router does not enforce it.
    #[serde(default = "default_cores")]
    pub cores: f64,
    /// Memory, in MB.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: f64,
    /// File descriptors.
    #[serde(default = "default_sockets")]
    pub sockets: usize,
}

fn default_cores() -> f64 {
    1.0
}

fn default_memory_mb() -> f64 {
    192.0
}

fn default_sockets() -> usize {
    1024
}

/// The reason why a configuration is invalid.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file is not a JSON configuration.
    #[error("invalid configuration: {0}")]
    Json(#[source] serde_json::Error),
    /// `limits.memory_mb` is below its minimum.
    #[error("limits.memory_mb: {0} is less than {MIN_MEMORY_MB}")]
    Memory(f64),
    /// `limits.sockets` is below its minimum.
    #[error("limits.sockets: {0} is less than {MIN_SOCKETS}")]
    Sockets(usize),
    /// The events up to the start are invalid.
    #[error("known: {0}")]
    InitialEvents(#[source] InitialEventsError),
}

impl Config {
    /// Parses the contents of the configuration file.
    ///
    /// # Errors
    /// Returns an error if it is not JSON of the expected form or a limit is too low.
    pub fn parse(bytes: &[u8]) -> Result<Config, ConfigError> {
        let config: Config = serde_json::from_slice(bytes).map_err(ConfigError::Json)?;
        let Limits {
            memory_mb, sockets, ..
        } = config.limits;
        if !(memory_mb.is_finite() && memory_mb >= MIN_MEMORY_MB) {
            return Err(ConfigError::Memory(memory_mb));
        }
        if sockets < MIN_SOCKETS {
            return Err(ConfigError::Sockets(sockets));
        }
        Ok(config)
    }

    /// Returns the endpoint list at the router's start, with the number of its last event.
    ///
    /// # Errors
    /// Returns an error if an event has an endpoint with an invalid id or phase.
    pub fn initial_endpoints(&self) -> Result<EndpointListUpdate, ConfigError> {
        self.initial_events
            .to_update(&self.settings.zones, &self.settings.kinds)
            .map_err(ConfigError::InitialEvents)
    }

    /// Returns the seed as a number. Text that is not a hexadecimal number of at most 64 bits is hashed.
    pub fn seed(&self) -> u64 {
        u64::from_str_radix(&self.seed, 16).unwrap_or_else(|_| {
            self.seed.bytes().fold(0, |hash: u64, byte| {
                hash.wrapping_mul(FNV_PRIME) ^ u64::from(byte)
            })
        })
    }
}

#[cfg(test)]
mod tests;
