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
    pub settings: hoptiller_host::Settings,
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
mod tests {
    use super::*;
    use crate::coordinator::Phase;

    const TEXT: &str = r#"{"name":"n3","listen":"127.0.0.4:8080","seed":"8c1f30d27a5be964",
        "limits":{"cores":0.4,"memory_mb":64,"sockets":256},"peer_listen":"127.0.0.4:7946","peers":[],
        "coordinator":"127.2.0.1:9092",
        "known":{"index":4,"updates":[
          {"index":3,"endpoints":{"revision":1,"complete":true,"members":[
            {"id":"s-00c41f7a","host_port":"127.1.0.9:8080","locality":"hall-b","flavor":"std-8a","cell":2,
             "phase":"in_service","size":4,"up_since_ms":0},
            {"id":"s-00000002","host_port":"127.1.0.2:8080","locality":"hall-a","flavor":"std-8b","cell":0,
             "phase":"in_service","size":4,"up_since_ms":0}]}},
          {"index":4,"endpoints":{"revision":2,"complete":false,"members":[
            {"id":"s-00000002","host_port":"127.1.0.2:8080","locality":"hall-a","flavor":"std-8b","cell":0,
             "phase":"terminated","size":4,"up_since_ms":0}]}}]},
        "settings":{"balancers":3,"zones":["hall-a","hall-b"],"kinds":["std-8a","std-8b"]}}"#;

    #[test]
    fn a_file_tells_the_list_as_of_the_start() {
        let config = Config::read(TEXT.as_bytes()).expect("good");
        assert_eq!(
            (config.seed(), config.limits.sockets),
            (0x8c1f_30d2_7a5b_e964, 256)
        );
        let known = config.known().expect("good");
        assert_eq!(
            (known.number, known.whole, known.members.len()),
            (4, true, 1)
        );
        let m = &known.members[0];
        assert_eq!(
            (m.id, m.zone, m.kind, m.phase),
            (0x00c4_1f7a, Some(1), Some(0), Phase::Ready)
        );
    }

    #[test]
    fn half_a_file_and_mad_figures_are_errors() {
        assert!(matches!(
            Config::read(&TEXT.as_bytes()[..TEXT.len() / 2]),
            Err(ConfigError::Json(_))
        ));
        let few = TEXT.replace("\"sockets\":256", "\"sockets\":3");
        assert!(matches!(
            Config::read(few.as_bytes()),
            Err(ConfigError::Figure(_))
        ));
        let odd = TEXT.replace("s-00000002", "s-02");
        assert!(Config::read(odd.as_bytes()).expect("JSON").known().is_err());
    }
}
