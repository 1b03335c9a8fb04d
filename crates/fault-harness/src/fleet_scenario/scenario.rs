//! Loading and checking of fleet scenario files.

use std::path::Path;
use std::time::Duration;

use hoptiller_coordination::ConfigDuration;
use hoptiller_statement_router::{SettingError, Settings, settings::evaluate_file};
use serde::Deserialize;
use serde_json::{Value, json};

use super::timeline::{FIRST_DOCUMENT, Timeline};
use crate::error::ScenarioError;
use crate::fleet::{EngineSpec, Topology};

const MAX_ROUTERS: usize = 64;

/// A scenario of a whole fleet, in the form of its file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetScenario {
    /// Number of replicas: 3 or 5.
    #[serde(rename = "keepers")]
    pub replicas: usize,
    /// Number of routers.
    pub routers: usize,
    /// Term of leases.
    #[serde(rename = "permit")]
    pub lease_term: ConfigDuration,
    /// Limit on the difference between the rates of two clocks, in millionths; 1000 if absent.
    #[serde(rename = "drift", default)]
    pub drift_millionths: Option<u64>,
    /// Clock skew of each router: the error of its rate, in millionths; positive if the clock runs fast.
    #[serde(default)]
    pub router_skews: Vec<i64>,
    /// Clock skew of each replica: the error of its rate, in millionths; positive if the clock runs fast.
    #[serde(rename = "keeper_skews", default)]
    pub replica_skews: Vec<i64>,
    /// Settings of all routers, without names and addresses.
    #[serde(rename = "settings")]
    pub router_settings: Value,
    /// Engines of the fleet.
    pub engines: Vec<EngineSpec>,
    /// Maximum time between two consecutive operations of lease holders on a task shard; not checked if absent.
    #[serde(rename = "unheld", default)]
    pub max_unheld: Option<ConfigDuration>,
    /// Timeline of the scenario.
    #[serde(rename = "day")]
    pub timeline: Timeline,
}

impl FleetScenario {
    /// Loads a scenario from a Jsonnet file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be evaluated, does not have the structure of a scenario, or has invalid
    /// values. The settings of routers are only checked by [`check`](FleetScenario::check).
    pub fn load(path: &Path) -> Result<FleetScenario, ScenarioError> {
        let value = evaluate_file(path).map_err(|problem| ScenarioError::Invalid(vec![problem]))?;
        let scenario: FleetScenario =
            serde_json::from_value(value).map_err(|source| ScenarioError::Parse {
                path: path.to_owned(),
                source,
            })?;
        let problems = scenario.problems(&path.display().to_string());
        if problems.is_empty() {
            Ok(scenario)
        } else {
            Err(ScenarioError::Invalid(problems))
        }
    }

    /// Loads a scenario, also checks the settings of its routers, and returns a one-line description.
    ///
    /// # Errors
    ///
    /// Returns an error if [`load`](FleetScenario::load) fails or the settings are invalid.
    pub fn check(path: &Path) -> Result<String, ScenarioError> {
        let scenario = FleetScenario::load(path)?;
        let mut settings = scenario.router_settings.clone();
        settings["router"] =
            json!({ "name": "r1", "of": scenario.routers, "listen": "127.0.0.1:0" });
        let name = format!("{}: settings", path.display());
        Settings::from_value(&name, &settings).map_err(ScenarioError::Invalid)?;
        Ok(scenario.description())
    }

    fn description(&self) -> String {
        let seconds = Duration::from_micros(self.timeline.duration.as_micros()).as_secs();
        let documents = self.timeline.documents.len();
        format!(
            "fleet scenario of {seconds} s, {} replicas, {} routers, {documents} documents",
            self.replicas, self.routers
        )
    }

    fn problems(&self, file: &str) -> Vec<SettingError> {
        let problem = |path: &str, reason: String| SettingError {
            place: format!("{file}: {path}"),
            reason,
        };
        let mut problems = Vec::new();
        let has_size = matches!(self.replicas, 3 | 5)
            && (1..=MAX_ROUTERS).contains(&self.routers)
            && !self.engines.is_empty();
        if !has_size {
            let reason = format!(
                "expected 3 or 5 replicas, 1 to {MAX_ROUTERS} routers and at least one engine, found {}, {} and {}",
                self.replicas,
                self.routers,
                self.engines.len()
            );
            problems.push(problem("keepers", reason));
        }
        if !self.timeline.documents.contains_key(FIRST_DOCUMENT) {
            let reason = "expected a document named `first`";
            problems.push(problem("day.documents", reason.into()));
        }
        for (name, document) in &self.timeline.documents {
            for error in document.validation_errors() {
                let path = format!("day.documents.{name}.{}", error.path);
                problems.push(problem(&path, error.message));
            }
        }
        problems
    }

    /// Returns the topology of the fleet.
    pub fn topology(&self) -> Topology {
        let defaults = Topology::new(self.replicas, self.routers);
        Topology {
            engines: self.engines.clone(),
            router_settings: self.router_settings.clone(),
            lease_term: Duration::from_micros(self.lease_term.as_micros()),
            drift_millionths: self.drift_millionths.unwrap_or(defaults.drift_millionths),
            router_skews: self.router_skews.clone(),
            replica_skews: self.replica_skews.clone(),
            ..defaults
        }
    }
}
