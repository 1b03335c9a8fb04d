//! Owns the settings object that an instance is given, and what it means to the decision module. Unknown fields are
//! ignored.

use serde::Deserialize;

use crate::{indices, micros};

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Settings {
    pub balancers: u32,
    pub index: u32,
    pub tick: f64,
    pub lanes: Vec<Lane>,
    pub kinds: Vec<String>,
    pub zones: Vec<String>,
    pub tenants: Vec<Tenant>,
    pub over_share_worth: f64,
    pub discovery: Option<String>,
    pub limits: Limits,
    pub rules: Rules,
    pub extra: Extra,
    pub clients: Clients,
    pub telemetry: Telemetry,
    pub prices: Prices,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            balancers: 1,
            index: 0,
            tick: 1.0,
            lanes: Vec::new(),
            kinds: Vec::new(),
            zones: Vec::new(),
            tenants: Vec::new(),
            over_share_worth: 1.0,
            discovery: None,
            limits: Limits::default(),
            rules: Rules::default(),
            extra: Extra::default(),
            clients: Clients::default(),
            telemetry: Telemetry::default(),
            prices: Prices::default(),
        }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Lane {
    pub name: String,
    pub aim: f64,
    #[serde(default)]
    pub aim_stretch: f64,
    pub deadline: f64,
    pub semantics: Semantics,
    pub group: Option<Group>,
    #[serde(default)]
    pub window: f64,
    #[serde(default)]
    pub in_turn: bool,
    #[serde(default)]
    pub late_worth: f64,
    pub importance: f64,
    pub kinds_allowed: Option<Vec<String>>,
    pub zones_open: Option<Vec<String>>,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
pub enum Semantics {
    Pure,
    Token,
    SideEffect,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "camelCase")]
pub enum Group {
    All,
    Zone,
    Cell,
}

#[derive(Deserialize)]
pub struct Tenant {
    pub name: String,
    #[serde(default)]
    pub fraction: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub struct Limits {
    pub max_attempts: Option<u32>,
    pub second_copies: bool,
    pub retry_after: bool,
    pub max_retry_after: f64,
    pub may_probe: bool,
    pub conn_idle: f64,
    pub connect_timeout: f64,
    pub max_open: usize,
    pub cancel: bool,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub struct Rules {
    pub start_capacity: f64,
    pub ramp_time: f64,
    pub overload_factor: f64,
    pub fall: f64,
    pub order_pause: f64,
    pub spare_attempts: Option<f64>,
    pub extra_ratio: Option<f64>,
    pub look_back: f64,
    pub ask_within: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub struct Extra {
    pub parallelism: Vec<f64>,
    pub loads: Vec<bool>,
    pub cpu_of_kind: Vec<f64>,
    pub kind_memory_mb: Vec<f64>,
    pub max_grant_share: f64,
    pub memory_short: Option<String>,
    pub takes_grants: bool,
    pub progress_pace: f64,
    pub ranks_heeded: bool,
    pub bills: bool,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub struct Clients {
    pub marks_retry: bool,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub struct Telemetry {
    pub names: Vec<String>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub struct Prices {
    pub probe: f64,
}

/// The same as the decision module has it.
pub fn settings(s: &Settings) -> hoptiller_policy::Settings {
    let classes = s
        .lanes
        .iter()
        .enumerate()
        .map(|(at, l)| hoptiller_policy::Class {
            latency_objective: micros(l.aim),
            objective_stretch: l.aim_stretch,
            deadline: micros(l.deadline),
            idempotency: match l.semantics {
                Semantics::Pure => hoptiller_policy::Idempotency::Idempotent,
                Semantics::SideEffect => hoptiller_policy::Idempotency::NotIdempotent,
                Semantics::Token => hoptiller_policy::Idempotency::WithKey {
                    // Without a group only the narrowest is sure to drop repeats.
                    scope: match l.group {
                        Some(Group::All) => hoptiller_policy::DeduplicationScope::All,
                        Some(Group::Zone) => hoptiller_policy::DeduplicationScope::Zone,
                        Some(Group::Cell) | None => hoptiller_policy::DeduplicationScope::Cell,
                    },
                    window: micros(l.window),
                },
            },
            ordered_by_key: l.in_turn,
            late_weight_ratio: l.late_worth,
            priority_weight: l.importance,
            zones: l.zones_open.as_ref().map(|only| indices(&s.zones, only)),
            kinds: l.kinds_allowed.as_ref().map(|only| indices(&s.kinds, only)),
            threads: s.extra.parallelism.get(at).copied().unwrap_or(1.0),
            locks_group: s.extra.loads.get(at).copied().unwrap_or(false),
        });
    let r = &s.rules;
    hoptiller_policy::Settings {
        gateways: s.balancers,
        index: s.index,
        tick: micros(s.tick),
        classes: classes.collect(),
        cores: s.extra.cpu_of_kind.clone(),
        tenant_quotas: s.tenants.iter().map(|t| t.fraction).collect(),
        over_quota_weight: s.over_share_worth,
        load_reports: s
            .telemetry
            .names
            .iter()
            .any(|n| ["busy_reqs", "x0", "cpu_share"].contains(&n.as_str())),
        progress_interval: micros(s.extra.progress_pace),
        max_grant_mb: s
            .extra
            .kind_memory_mb
            .iter()
            .copied()
            .reduce(f64::min)
            .unwrap_or(0.0)
            * if s.extra.takes_grants {
                s.extra.max_grant_share
            } else {
                0.0
            },
        memory_overcommit: s.extra.memory_short.as_deref() == Some("overcommit"),
        reports_in_flight: s.telemetry.names.iter().any(|n| n == "busy_reqs"),
        reports_work: s.extra.bills,
        health_check_cost: s.prices.probe,
        clients_mark_retries: s.clients.marks_retry,
        discovery: match s.discovery.as_deref() {
            Some("subscribe") => hoptiller_policy::Discovery::Subscribe,
            _ => hoptiller_policy::Discovery::Push,
        },
        limits: hoptiller_policy::Limits {
            max_attempts: s.limits.max_attempts.unwrap_or(1),
            max_open_requests: s.limits.max_open,
            hedged_requests: s.limits.second_copies,
            retry_after: s.limits.retry_after,
            max_retry_after: micros(s.limits.max_retry_after),
            priorities: s.extra.ranks_heeded,
            health_checks: s.limits.may_probe,
            cancel: s.limits.cancel,
        },
        rules: hoptiller_policy::Rules {
            start_capacity: r.start_capacity,
            slow_start_window: micros(r.ramp_time),
            overload_factor: r.overload_factor,
            overload_window: micros(r.fall),
            key_pause: micros(r.order_pause),
            retry_budget: (r.spare_attempts.is_some() || r.extra_ratio.is_some()).then(|| {
                hoptiller_policy::RetryBudget {
                    min_retries: r.spare_attempts.unwrap_or(0.0),
                    ratio: r.extra_ratio.unwrap_or(0.0),
                    window: micros(r.look_back),
                }
            }),
            max_poll_interval: micros(r.ask_within),
        },
    }
}
