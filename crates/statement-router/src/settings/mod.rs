//! Owns what an operator sets: the types, how a Jsonnet file becomes them, and every check before anything
//! starts. All problems of a file are told at once, each with its place.

mod check;
mod jsonnet;
mod read;
mod under;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Serialize;

pub use jsonnet::{evaluate, evaluate_file};

/// Something wrong in a file of settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// File and line, or key path: `classes[1].patience`.
    pub place: String,
    /// What is wrong, and what would be right.
    pub what: String,
}

impl std::fmt::Display for Problem {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.place, self.what)
    }
}

/// All settings of one router.
#[derive(Clone, Debug, Serialize)]
pub struct Settings {
    /// This router among its like.
    pub router: RouterSettings,
    /// Classes of statements, in the order that the decisions use.
    pub classes: Vec<ClassSettings>,
    /// The class of a statement that names none.
    pub default_class: usize,
    /// Machine kinds: name and cores.
    pub kinds: Vec<(String, f64)>,
    /// Zones.
    pub zones: Vec<String>,
    /// Tenants: name and share.
    pub tenants: Vec<(String, f64)>,
    /// What engines can do and tell.
    pub engines: EngineSettings,
    /// Figures of the rules.
    pub rules: RuleSettings,
    /// Where the list of engines comes from.
    pub discovery: DiscoverySettings,
    /// What is done about statements that run away.
    pub runaways: RunawaySettings,
    /// Its part in the fleet's agreement; `None`: none, its own file alone holds.
    pub agreement: Option<AgreementSettings>,
    /// Bounds of everything.
    pub limits: LimitSettings,
}

/// A router's part in the fleet's agreement.
#[derive(Clone, Debug, Serialize)]
pub struct AgreementSettings {
    /// Where keepers are.
    pub keepers: Vec<SocketAddr>,
    /// The file with the fleet's secret.
    pub secret: PathBuf,
    /// How long a permit lasts: as keepers have it.
    pub permit: Duration,
    /// How far the rates of two clocks may differ, in millionths: as keepers have it.
    pub drift: u64,
    /// Time between two prolongings of the permit; news is heard meanwhile.
    pub ask_every: Duration,
}

impl AgreementSettings {
    /// The bounds of permits.
    pub fn bounds(&self) -> hoptiller_coordination::LeaseTiming {
        hoptiller_coordination::LeaseTiming {
            term: self.permit.as_micros() as u64,
            drift: self.drift,
        }
    }
}

/// What is done about statements that run away.
#[derive(Clone, Debug, Serialize)]
pub struct RunawaySettings {
    /// By class, in the order of the classes.
    pub acts: Vec<hoptiller_runaway::EnforcementOptions>,
    /// Time between naming a statement and ending it.
    pub end_after: Duration,
    /// How long a paused statement stands still.
    pub pause_for: Duration,
    /// Kinds that are remembered at most.
    pub kinds: usize,
    /// Time between two writings of what was learnt; only where `router.state` is set.
    pub save_every: Duration,
}

/// This router among its like.
#[derive(Clone, Debug, Serialize)]
pub struct RouterSettings {
    /// Its name; part of the key of its tokens.
    pub name: String,
    /// Its number among all, from 0.
    pub index: u32,
    /// Routers that share the engines, this one included.
    pub of: u32,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Where administrators reach it; `None`: nowhere.
    pub admin: Option<SocketAddr>,
    /// Where it keeps the secret of its tokens; `None`: a new one at each start.
    pub state: Option<PathBuf>,
    /// Seed of its draws.
    pub seed: u64,
}

/// What repeating a statement of a class does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RepeatSettings {
    /// Nothing.
    Safe,
    /// A second effect: it must never run twice.
    Never,
}

/// One class.
#[derive(Clone, Debug, Serialize)]
pub struct ClassSettings {
    /// Its name.
    pub name: String,
    /// An answer within this has the full worth.
    pub aim: Duration,
    /// The aim grows by this times the work over the threads.
    pub stretch: f64,
    /// How long a client waits for the answer.
    pub patience: Duration,
    /// What repeating does.
    pub repeat: RepeatSettings,
    /// Same keys in order.
    pub in_order: bool,
    /// Worth of one.
    pub worth: f64,
    /// Part of the worth after the aim.
    pub late_worth: f64,
    /// Threads that one runs on.
    pub threads: f64,
    /// Whether it holds its tables while it runs.
    pub holds: bool,
    /// Machine kinds that it may run on, by number; `None`: all.
    pub kinds: Option<Vec<usize>>,
    /// Zones that it may run in, by number; `None`: all.
    pub zones: Option<Vec<usize>>,
}

/// Further attempts that one router may make.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct BudgetSettings {
    /// However light the traffic.
    pub spare: f64,
    /// Per statement taken.
    pub ratio: f64,
    /// The span of both counts.
    pub within: Duration,
}

/// What engines can do and tell.
#[derive(Clone, Debug, Serialize)]
pub struct EngineSettings {
    /// Attempts at a statement at most.
    pub max_attempts: u32,
    /// Further attempts of all statements; `None`: no bound.
    pub budget: Option<BudgetSettings>,
    /// They may be asked for their status.
    pub probes: bool,
    /// They tell memory or busy cores.
    pub reports: bool,
    /// They tell how many statements they hold.
    pub tells_in_flight: bool,
    /// They tell what a statement needed.
    pub bills: bool,
    /// Ending a statement stops its work.
    pub cancel: bool,
    /// They heed priorities.
    pub priorities: bool,
    /// They end a statement that they are told to end (`PUT /v1/query/ID/killed`).
    pub ends: bool,
    /// They let a statement stand still (`PUT /v1/query/ID/paused`).
    pub pauses: bool,
    /// Time between notes of progress; zero: none come.
    pub notes_every: Duration,
    /// Time to connect.
    pub connect_within: Duration,
    /// Time for the answer to a poll.
    pub poll_within: Duration,
}

/// Figures of the rules.
#[derive(Clone, Debug, Serialize)]
pub struct RuleSettings {
    /// Part of its capacity that a cold engine has at least.
    pub start_capacity: f64,
    /// When it is warm.
    pub ramp: Duration,
    /// Times its present capacity that it bears...
    pub overload: f64,
    /// ...for this long.
    pub fall: Duration,
    /// Rest of a key after an attempt that may still run.
    pub order_pause: Duration,
    /// Nothing new later than this after a drain was told.
    pub drain_grace: Duration,
}

/// Where the list of engines comes from.
#[derive(Clone, Debug, Serialize)]
pub struct DiscoverySettings {
    /// The service.
    pub address: SocketAddr,
    /// The installation; others in the list are passed over.
    pub environment: String,
    /// Time between two looks.
    pub every: Duration,
    /// Time between two looks at an engine's own state.
    pub state_every: Duration,
    /// Time for an answer.
    pub within: Duration,
}

/// Bounds of everything.
#[derive(Clone, Debug, Serialize)]
pub struct LimitSettings {
    /// Statements at once that are not answered yet.
    pub statements: usize,
    /// Answered ones that are kept for clients that ask again.
    pub answered: usize,
    /// How long those are kept.
    pub keep: Duration,
    /// Connections of clients.
    pub connections: usize,
    /// Bytes of statements that are still coming in, all together.
    pub incoming_bytes: u64,
    /// Bytes of a statement.
    pub statement_bytes: u64,
    /// Bytes of one page of rows.
    pub page_bytes: u64,
    /// Bytes of all pages held.
    pub held_bytes: u64,
    /// How long a poll waits for news.
    pub long_poll: Duration,
    /// A client that has not asked for so long has gone.
    pub abandon_after: Duration,
    /// Longest time told to come back after.
    pub hold_off: Duration,
    /// Time to finish when told to end.
    pub drain_within: Duration,
    /// Shortest time between two rounds of decisions.
    pub tick: Duration,
}

impl Settings {
    /// Reads a file. All problems at once, each with its place.
    pub fn load(path: &Path) -> Result<Settings, Vec<Problem>> {
        let value = evaluate_file(path).map_err(|p| vec![p])?;
        Settings::from_value(&path.display().to_string(), &value)
    }

    /// Reads a text, for files and for built-in examples; `name` stands in the places of problems.
    pub fn from_text(name: &str, text: &str) -> Result<Settings, Vec<Problem>> {
        let value = evaluate(name, text).map_err(|p| vec![p])?;
        Settings::from_value(name, &value)
    }

    /// Reads an evaluated value.
    pub fn from_value(name: &str, value: &serde_json::Value) -> Result<Settings, Vec<Problem>> {
        let mut reader = read::Reader::new(name);
        let settings = reader.settings(value);
        let mut problems = reader.problems;
        if let Some(settings) = &settings {
            check::check(name, settings, &mut problems);
        }
        match settings {
            Some(settings) if problems.is_empty() => Ok(settings),
            _ => Err(problems),
        }
    }

    /// The settings of the decision module.
    pub fn decisions(&self) -> hoptiller_policy::Settings {
        let micros = |d: Duration| d.as_micros() as u64;
        let (e, r) = (&self.engines, &self.rules);
        hoptiller_policy::Settings {
            gateways: self.router.of,
            index: self.router.index,
            tick: micros(self.limits.tick),
            classes: self.classes.iter().map(ClassSettings::decisions).collect(),
            cores: self.kinds.iter().map(|k| k.1).collect(),
            tenant_quotas: self.tenants.iter().map(|t| t.1).collect(),
            over_quota_weight: 1.0,
            load_reports: e.reports,
            progress_interval: micros(e.notes_every),
            max_grant_mb: 0.0,
            memory_overcommit: false,
            reports_in_flight: e.tells_in_flight,
            reports_work: e.bills,
            health_check_cost: 0.0,
            clients_mark_retries: true,
            discovery: hoptiller_policy::Discovery::Push,
            limits: hoptiller_policy::Limits {
                max_attempts: e.max_attempts,
                max_open_requests: 0,
                hedged_requests: false,
                retry_after: true,
                max_retry_after: micros(self.limits.hold_off),
                priorities: e.priorities,
                health_checks: e.probes,
                cancel: e.cancel,
            },
            rules: hoptiller_policy::Rules {
                start_capacity: r.start_capacity,
                slow_start_window: micros(r.ramp),
                overload_factor: r.overload,
                overload_window: micros(r.fall),
                key_pause: micros(r.order_pause),
                retry_budget: e.budget.map(|b| hoptiller_policy::RetryBudget {
                    min_retries: b.spare,
                    ratio: b.ratio,
                    window: micros(b.within),
                }),
                max_poll_interval: micros(self.discovery.every),
            },
        }
    }

    /// The settings of the watch for runaways.
    pub fn watch(&self) -> hoptiller_runaway::Settings {
        let micros = |d: Duration| d.as_micros() as u64;
        let class = |(c, acts): (&ClassSettings, &hoptiller_runaway::EnforcementOptions)| {
            hoptiller_runaway::Class {
                name: c.name.clone(),
                latency_objective: micros(c.aim),
                client_timeout: micros(c.patience),
                threads: c.threads,
                idempotency: c.decisions().idempotency,
                holds_tables: c.holds,
                enforcement: *acts,
            }
        };
        hoptiller_runaway::Settings {
            classes: self
                .classes
                .iter()
                .zip(&self.runaways.acts)
                .map(class)
                .collect(),
            max_fingerprints: self.runaways.kinds,
            pause_for: micros(self.runaways.pause_for),
            end_after: micros(self.runaways.end_after),
        }
    }

    /// The rules in the form that `hoptiller audit` reads (`rules.json`).
    pub fn audit_rules(&self) -> serde_json::Value {
        let micros = |d: Duration| d.as_micros() as u64;
        let classes: serde_json::Map<String, serde_json::Value> = self
            .classes
            .iter()
            .map(|c| {
                let kinds = c.kinds.iter().flatten().map(|k| self.kinds[*k].0.clone());
                let rules = serde_json::json!({
                    "never_twice": c.repeat == RepeatSettings::Never,
                    "in_order": c.in_order,
                    "kinds": kinds.collect::<Vec<_>>(),
                    "aim": micros(c.aim),
                    "stretch": c.stretch,
                    "threads": c.threads,
                });
                (c.name.clone(), rules)
            })
            .collect();
        serde_json::json!({
            "classes": classes,
            "drain_grace": micros(self.rules.drain_grace),
            "max_attempts": self.engines.max_attempts,
            "order_pause": micros(self.rules.order_pause),
            "budget": self.engines.budget.map(|b| (b.spare, b.ratio, micros(b.within))),
        })
    }

    /// The class of that name.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|c| c.name == name)
    }
}

impl ClassSettings {
    fn decisions(&self) -> hoptiller_policy::Class {
        hoptiller_policy::Class {
            latency_objective: self.aim.as_micros() as u64,
            objective_stretch: self.stretch,
            deadline: self.patience.as_micros() as u64,
            idempotency: match self.repeat {
                RepeatSettings::Safe => hoptiller_policy::Idempotency::Idempotent,
                RepeatSettings::Never => hoptiller_policy::Idempotency::NotIdempotent,
            },
            ordered_by_key: self.in_order,
            late_weight_ratio: self.late_worth,
            priority_weight: self.worth,
            zones: self.zones.clone(),
            kinds: self.kinds.clone(),
            threads: self.threads,
            locks_group: self.holds,
        }
    }
}
