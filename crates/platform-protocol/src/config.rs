//! A router's configuration file: its name and address, its resource limits, the coordinator, and the policy settings.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::endpoint_list::EndpointListUpdate;
use crate::initial_events::{InitialEvents, InitialEventsError};

/// The smallest usable memory limit, in MB.
const MIN_MEMORY_MB: f64 = 16.0;
/// The smallest usable limit of descriptors.
const MIN_SOCKETS: usize = 64;

/// A router's configuration.
#[derive(Deserialize)]
pub struct Config {
    /// The router's name.
    pub name: String,
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// The seed for random numbers, in hex digits; another one at each start.
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

/// The resources that a router's processes may use together.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Limits {
    /// CPU, in cores.
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

/// A configuration that can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file is not JSON of the configuration's form.
    #[error("not a configuration: {0}")]
    Json(#[source] serde_json::Error),
    /// `limits.memory_mb` is below its minimum.
    #[error("limits.memory_mb: {0} is less than {MIN_MEMORY_MB}")]
    Memory(f64),
    /// `limits.sockets` is below its minimum.
    #[error("limits.sockets: {0} is less than {MIN_SOCKETS}")]
    Sockets(usize),
    /// The endpoint list as of the start is invalid.
    #[error("known: {0}")]
    InitialEvents(#[source] InitialEventsError),
}

impl Config {
    /// Parses the contents of the configuration file.
    ///
    /// # Errors
    /// If it is not JSON of the expected form, or a limit is too low.
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

    /// The endpoint list as of the start, with the number of its last event.
    ///
    /// # Errors
    /// If an event has an endpoint with an invalid id or phase.
    pub fn initial_endpoints(&self) -> Result<EndpointListUpdate, ConfigError> {
        self.initial_events
            .to_update(&self.settings.zones, &self.settings.kinds)
            .map_err(ConfigError::InitialEvents)
    }

    /// The seed as a number; text other than 16 hex digits is hashed.
    pub fn seed(&self) -> u64 {
        u64::from_str_radix(&self.seed, 16).unwrap_or_else(|_| {
            self.seed.bytes().fold(0, |hash: u64, byte| {
                hash.wrapping_mul(1_099_511_628_211) ^ u64::from(byte)
            })
        })
    }
}

#[cfg(test)]
mod tests;
