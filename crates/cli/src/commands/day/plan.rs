//! Owns the script of a day: who plays, and what goes wrong when.

use std::fmt;
use std::path::Path;
use std::time::Duration;

use hoptiller_mock_servers::fault::Faults;
use hoptiller_statement::parse_duration;
use hoptiller_statement_router::settings::evaluate_file;
use hoptiller_statement_router::{SettingError, Settings};
use serde::{Deserialize, Deserializer};
use serde_json::Value;

use crate::run::Failure;

/// A script, as it stands in the file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Written {
    #[serde(deserialize_with = "time")]
    lasts: Duration,
    routers: u32,
    settings: Value,
    engines: Vec<EnginePlan>,
    clients: ClientPlan,
    acts: Vec<Timed>,
}

/// A script that is ready to play.
pub struct Plan {
    pub lasts: Duration,
    pub routers: u32,
    /// Settings of a router, still to be given its name, number and addresses.
    pub settings: Value,
    /// The same, checked.
    pub checked: Settings,
    pub engines: Vec<EnginePlan>,
    pub clients: ClientPlan,
    /// In the order of time.
    pub acts: Vec<Timed>,
}

#[derive(Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EnginePlan {
    pub kind: String,
    pub zone: String,
    /// Speed of a core; 1 is the yardstick.
    #[serde(default = "one")]
    pub speed: f64,
    #[serde(default)]
    pub cold: bool,
}

#[derive(Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientPlan {
    pub count: u32,
    /// Mean pause of a client between two statements.
    #[serde(deserialize_with = "time")]
    pub pause: Duration,
    /// Parts of the statements by class, with their text.
    pub mix: Vec<MixPlan>,
    /// Part of the clients that submit again what was refused.
    #[serde(default)]
    pub again: f64,
    /// Part of the statements that clients leave after a few answers.
    #[serde(default)]
    pub leave: f64,
}

#[derive(Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MixPlan {
    pub class: String,
    pub part: f64,
    pub text: String,
    /// Keys that its statements are drawn from; 0: none.
    #[serde(default)]
    pub keys: u32,
    /// How long clients wait.
    #[serde(deserialize_with = "time")]
    pub patience: Duration,
}

/// Something that happens at a time.
#[derive(Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Timed {
    #[serde(deserialize_with = "time")]
    pub at: Duration,
    #[serde(rename = "do")]
    pub act: Act,
}

/// What can happen. Routers and engines are counted from 0.
#[derive(Clone, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Act {
    /// Clients pause so many times less.
    Rush(f64),
    /// An engine fails so from now on; `{}`: as it should be.
    Fault { engine: usize, faults: Faults },
    /// An engine is told to drain.
    Drain(usize),
    /// An engine's process ends at once.
    Crash(usize),
    /// An engine's process starts, cold.
    Start(usize),
    /// A router's process is killed.
    Kill(usize),
    /// A router is told to end.
    End(usize),
    /// A router's process starts, at its address.
    Route(usize),
    /// Discovery's list stays as it is, or no longer.
    Stale(bool),
    /// Discovery answers nobody, or again.
    Down(bool),
}

impl fmt::Display for Act {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Act::Rush(n) => write!(f, "clients pause {n} times less"),
            Act::Fault { engine, faults } if *faults == Faults::default() => {
                write!(f, "engine {engine} works as it should")
            }
            Act::Fault { engine, .. } => write!(f, "engine {engine} fails"),
            Act::Drain(n) => write!(f, "engine {n} drains"),
            Act::Crash(n) => write!(f, "engine {n} crashes"),
            Act::Start(n) => write!(f, "engine {n} starts, cold"),
            Act::Kill(n) => write!(f, "router {n} is killed"),
            Act::End(n) => write!(f, "router {n} is told to end"),
            Act::Route(n) => write!(f, "router {n} starts"),
            Act::Stale(true) => write!(f, "discovery's list goes stale"),
            Act::Stale(false) => write!(f, "discovery's list is fresh again"),
            Act::Down(true) => write!(f, "discovery is down"),
            Act::Down(false) => write!(f, "discovery is up again"),
        }
    }
}

fn one() -> f64 {
    1.0
}

fn time<'de, D: Deserializer<'de>>(d: D) -> Result<Duration, D::Error> {
    let text = String::deserialize(d)?;
    parse_duration(&text).ok_or_else(|| {
        serde::de::Error::custom(format!(
            "{text:?} is no duration; one with its unit is wanted, such as '1.5s'"
        ))
    })
}

impl Plan {
    /// Reads a script and checks it whole.
    pub fn load(path: &Path) -> Result<Plan, Failure> {
        let place = path.display().to_string();
        let value = evaluate_file(path).map_err(|p| Failure::Settings(vec![p]))?;
        let written: Written = serde_json::from_value(value).map_err(|e| {
            Failure::Settings(vec![SettingError {
                place: place.clone(),
                reason: e.to_string(),
            }])
        })?;
        let checked = Settings::from_value(&format!("{place}: settings"), &written.settings)
            .map_err(Failure::Settings)?;
        let Written {
            lasts,
            routers,
            settings,
            engines,
            clients,
            mut acts,
        } = written;
        acts.sort_by_key(|a| a.at);
        let plan = Plan {
            lasts,
            routers,
            settings,
            checked,
            engines,
            clients,
            acts,
        };
        let problems = plan.problems(&place);
        if problems.is_empty() {
            Ok(plan)
        } else {
            Err(Failure::Settings(problems))
        }
    }

    fn problems(&self, place: &str) -> Vec<SettingError> {
        let mut all = Vec::new();
        let mut note = |what: String| {
            all.push(SettingError {
                place: place.to_owned(),
                reason: what,
            })
        };
        if !(1..=16).contains(&self.routers) || self.engines.is_empty() || self.engines.len() > 64 {
            note("1 to 16 routers and 1 to 64 engines are wanted".into());
        }
        if !(1..=5_000).contains(&self.clients.count) || self.clients.mix.is_empty() {
            note("1 to 5,000 clients with a mix of at least one class are wanted".into());
        }
        if self.lasts > Duration::from_secs(3600) || self.lasts.is_zero() {
            note("a day lasts over 0 and up to an hour".into());
        }
        for mix in &self.clients.mix {
            if self.checked.class_index(&mix.class).is_none() {
                note(format!(
                    "clients.mix: {:?} is no class of the settings",
                    mix.class
                ));
            }
        }
        for (at, engine) in self.engines.iter().enumerate() {
            if !self
                .checked
                .kinds
                .iter()
                .any(|kind| kind.name == engine.kind)
            {
                note(format!(
                    "engines[{at}].kind: {:?} is no kind of the settings",
                    engine.kind
                ));
            }
        }
        for act in &self.acts {
            let (engines, routers) = (self.engines.len(), self.routers as usize);
            let fine = match act.act {
                Act::Fault { engine: n, .. } | Act::Drain(n) | Act::Crash(n) | Act::Start(n) => {
                    n < engines
                }
                Act::Kill(n) | Act::End(n) | Act::Route(n) => n < routers,
                Act::Rush(n) => n.is_finite() && n > 0.0,
                Act::Stale(_) | Act::Down(_) => true,
            };
            if !fine {
                note(format!(
                    "acts: at {:?}, {}: there is none such",
                    act.at, act.act
                ));
            }
        }
        all
    }
}
