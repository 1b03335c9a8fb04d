//! Owns the file that tells a router who it is, what it may use, and what it deals with.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::coordinator::{Known, Update};

/// What a router is told when it starts.
#[derive(Deserialize)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// For random numbers, in hex digits; new with each start.
    pub seed: String,
    /// What it may use.
    pub limits: Limits,
    /// Who tells of changes of the engine list.
    pub coordinator: SocketAddr,
    /// What was told so far.
    #[serde(default)]
    known: Known,
    /// What the decision module is told.
    pub settings: hoptiller_policy_settings::Settings,
}

/// What a router's processes may use together.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Limits {
    /// Part of a core.
    #[serde(default = "one")]
    pub cores: f64,
    /// Memory, in MB.
    #[serde(default = "usual_memory")]
    pub memory_mb: f64,
    /// Descriptors.
    #[serde(default = "usual_sockets")]
    pub sockets: usize,
}

fn one() -> f64 {
    1.0
}

fn usual_memory() -> f64 {
    192.0
}

fn usual_sockets() -> usize {
    1024
}

/// A file that tells nothing usable.
#[derive(Debug)]
pub enum ConfigError {
    /// No JSON, or not of this form.
    Json(serde_json::Error),
    /// A figure that nothing can be done with.
    Figure(&'static str),
    /// The engine list as of the start.
    Known(&'static str),
}

impl std::fmt::Display for ConfigError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ConfigError::Json(e) => write!(f, "not a configuration: {e}"),
            ConfigError::Figure(what) => write!(f, "unusable figure: {what}"),
            ConfigError::Known(what) => write!(f, "known: {what}"),
        }
    }
}

impl std::error::Error for ConfigError {}

impl Config {
    /// From the text of the file.
    pub fn read(bytes: &[u8]) -> Result<Config, ConfigError> {
        let config: Config = serde_json::from_slice(bytes).map_err(ConfigError::Json)?;
        let l = &config.limits;
        if !(l.memory_mb.is_finite() && l.memory_mb >= 16.0) {
            return Err(ConfigError::Figure("limits.memory_mb: 16 at least"));
        }
        if l.sockets < 64 {
            return Err(ConfigError::Figure("limits.sockets: 64 at least"));
        }
        Ok(config)
    }

    /// The number of the last event known at the start, and the events as one list.
    pub fn known(&self) -> Result<Update, ConfigError> {
        self.known
            .fold(&self.settings.zones, &self.settings.kinds)
            .map_err(ConfigError::Known)
    }

    /// The seed as a number; other text than 16 hex digits gives one too.
    pub fn seed(&self) -> u64 {
        u64::from_str_radix(&self.seed, 16).unwrap_or_else(|_| {
            self.seed.bytes().fold(0, |h: u64, b| {
                h.wrapping_mul(1_099_511_628_211) ^ u64::from(b)
            })
        })
    }
}

#[cfg(test)]
mod tests;
