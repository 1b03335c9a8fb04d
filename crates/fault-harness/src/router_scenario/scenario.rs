//! Loading and checking of router scenario files.

use std::path::Path;
use std::time::Duration;

use hoptiller_statement_router::settings::evaluate_file;
use hoptiller_statement_router::{SettingError, Settings};
use serde::Deserialize;
use serde_json::Value;

use super::clients::RouterLoadConfig;
use super::duration::deserialize_duration;
use super::event::ScheduledRouterEvent;
use crate::error::ScenarioError;

const MAX_ROUTERS: u32 = 16;
const MAX_ENGINES: usize = 64;
const MAX_CLIENTS: u32 = 5_000;
const MAX_DURATION: Duration = Duration::from_secs(3600);

/// A scenario in the form of its file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ScenarioFile {
    #[serde(rename = "lasts", deserialize_with = "deserialize_duration")]
    duration: Duration,
    routers: u32,
    settings: Value,
    engines: Vec<RouterEngineSpec>,
    clients: RouterLoadConfig,
    #[serde(rename = "acts")]
    events: Vec<ScheduledRouterEvent>,
}

/// A checked router scenario.
#[derive(Clone, Debug)]
pub struct RouterScenario {
    pub(super) duration: Duration,
    pub(super) routers: u32,
    /// Settings of all routers, without names and addresses.
    pub(super) router_settings: Value,
    /// Parsed form of `router_settings`.
    pub(super) settings: Settings,
    pub(super) engines: Vec<RouterEngineSpec>,
    pub(super) clients: RouterLoadConfig,
    /// Events, sorted by time.
    pub(super) events: Vec<ScheduledRouterEvent>,
}

/// Specification of a mock engine in a scenario file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouterEngineSpec {
    /// Machine kind of the engine.
    pub kind: String,
    /// Zone of the engine.
    pub zone: String,
    /// Speed of a core, as a factor of the reference speed.
    #[serde(default = "reference_speed")]
    pub speed: f64,
    /// Whether the engine is cold at the start of the scenario and has to warm up.
    #[serde(default)]
    pub cold: bool,
}

fn reference_speed() -> f64 {
    1.0
}

impl RouterScenario {
    /// Loads a scenario from a Jsonnet file and checks it.
    ///
    /// # Errors
    ///
    /// Returns [`ScenarioError::Invalid`] with all problems if the file can't be evaluated, does not have the structure
    /// of a scenario, or has invalid values.
    pub fn load(path: &Path) -> Result<RouterScenario, ScenarioError> {
        let place = path.display().to_string();
        let value = evaluate_file(path).map_err(|problem| ScenarioError::Invalid(vec![problem]))?;
        let file: ScenarioFile = serde_json::from_value(value).map_err(|error| {
            ScenarioError::Invalid(vec![SettingError {
                place: place.clone(),
                reason: error.to_string(),
            }])
        })?;
        let settings = Settings::from_value(&format!("{place}: settings"), &file.settings)
            .map_err(ScenarioError::Invalid)?;
        let mut scenario = RouterScenario {
            duration: file.duration,
            routers: file.routers,
            router_settings: file.settings,
            settings,
            engines: file.engines,
            clients: file.clients,
            events: file.events,
        };
        scenario.events.sort_by_key(|event| event.at);
        let problems = scenario.problems();
        if problems.is_empty() {
            return Ok(scenario);
        }
        let problems = problems.into_iter().map(|reason| SettingError {
            place: place.clone(),
            reason,
        });
        Err(ScenarioError::Invalid(problems.collect()))
    }

    /// Returns a one-line description of the scenario.
    pub fn description(&self) -> String {
        format!(
            "router scenario of {} s, {} routers, {} engines, {} clients",
            self.duration.as_secs_f64(),
            self.routers,
            self.engines.len(),
            self.clients.count
        )
    }

    fn problems(&self) -> Vec<String> {
        let mut problems = self.size_problems();
        for mix in &self.clients.mix {
            if self.settings.class_index(&mix.class).is_none() {
                problems.push(format!(
                    "clients.mix: {:?} is not a class of the settings",
                    mix.class
                ));
            }
        }
        for (index, engine) in self.engines.iter().enumerate() {
            if self.cores(&engine.kind).is_none() {
                problems.push(format!(
                    "engines[{index}].kind: {:?} is not a machine kind of the settings",
                    engine.kind
                ));
            }
        }
        for scheduled in &self.events {
            let event = &scheduled.event;
            if let Some(problem) = event.problem(self.routers as usize, self.engines.len()) {
                problems.push(format!("acts: at {:?}, {event}: {problem}", scheduled.at));
            }
        }
        problems
    }

    fn size_problems(&self) -> Vec<String> {
        let engines = self.engines.len();
        let mut problems = Vec::new();
        if !(1..=MAX_ROUTERS).contains(&self.routers) || !(1..=MAX_ENGINES).contains(&engines) {
            problems.push(format!(
                "expected 1 to {MAX_ROUTERS} routers and 1 to {MAX_ENGINES} engines, found {} and {engines}",
                self.routers
            ));
        }
        if !(1..=MAX_CLIENTS).contains(&self.clients.count) || self.clients.mix.is_empty() {
            problems.push(format!(
                "expected 1 to {MAX_CLIENTS} clients with a mix of at least one class, found {} and {}",
                self.clients.count,
                self.clients.mix.len()
            ));
        }
        if self.duration > MAX_DURATION || self.duration.is_zero() {
            problems.push("lasts: expected a duration over 0 and up to 1 hour".into());
        }
        problems
    }

    /// Returns the number of cores that the settings give for a machine kind.
    pub(super) fn cores(&self, kind: &str) -> Option<f64> {
        let mut kinds = self.settings.kinds.iter();
        kinds
            .find(|candidate| candidate.name == kind)
            .map(|candidate| candidate.cores)
    }
}
