//! What the settings object means to the policy.

use hoptiller_policy as policy;

use crate::schema::{Extra, Group, Lane, Limits, Rules, Semantics, Settings};
use crate::{micros_from_millis as micros, position};

/// Name of the reported value that counts the queries of an engine.
const QUERIES_IN_FLIGHT: &str = "busy_reqs";
/// Names of the reported values that tell of load.
const LOAD_VALUES: [&str; 3] = [QUERIES_IN_FLIGHT, "x0", "cpu_share"];

impl Settings {
    /// The settings of the policy's controller.
    pub fn to_policy(&self) -> policy::Settings {
        let reported = &self.telemetry.names;
        let lanes = self.classes.iter().enumerate();
        policy::Settings {
            gateways: self.balancers,
            index: self.index,
            tick: micros(self.tick),
            classes: lanes.map(|(at, lane)| self.class(at, lane)).collect(),
            cores: self.extra.cpu_of_kind.clone(),
            tenant_quotas: self.tenants.iter().map(|t| t.fraction).collect(),
            over_quota_weight: self.over_share_worth,
            load_reports: reported.iter().any(|n| LOAD_VALUES.contains(&n.as_str())),
            progress_interval: micros(self.extra.progress_pace),
            max_grant_mb: max_grant_mb(&self.extra),
            memory_overcommit: self.extra.memory_short.as_deref() == Some("overcommit"),
            reports_in_flight: reported.iter().any(|n| n == QUERIES_IN_FLIGHT),
            reports_work: self.extra.bills,
            health_check_cost: self.prices.probe,
            clients_mark_retries: self.clients.marks_retry,
            discovery: match self.discovery.as_deref() {
                Some("subscribe") => policy::Discovery::Subscribe,
                _ => policy::Discovery::Push,
            },
            limits: limits(&self.limits, &self.extra),
            rules: rules(&self.rules),
        }
    }

    fn class(&self, at: usize, lane: &Lane) -> policy::Class {
        policy::Class {
            latency_objective: micros(lane.aim),
            objective_stretch: lane.aim_stretch,
            deadline: micros(lane.deadline),
            idempotency: idempotency(lane),
            ordered_by_key: lane.in_turn,
            late_weight_ratio: lane.late_worth,
            priority_weight: lane.importance,
            zones: lane
                .zones_open
                .as_ref()
                .map(|only| positions(&self.zones, only)),
            kinds: lane
                .kinds_allowed
                .as_ref()
                .map(|only| positions(&self.kinds, only)),
            threads: self.extra.parallelism.get(at).copied().unwrap_or(1.0),
            locks_group: self.extra.loads.get(at).copied().unwrap_or(false),
        }
    }
}

fn positions(names: &[String], only: &[String]) -> Vec<usize> {
    only.iter()
        .filter_map(|name| position(names, name))
        .collect()
}

fn idempotency(lane: &Lane) -> policy::Idempotency {
    match lane.semantics {
        Semantics::Pure => policy::Idempotency::Idempotent,
        Semantics::SideEffect => policy::Idempotency::NotIdempotent,
        Semantics::Token => policy::Idempotency::WithKey {
            // Without a group only the narrowest scope is sure to drop repeats.
            scope: match lane.group {
                Some(Group::All) => policy::DeduplicationScope::All,
                Some(Group::Zone) => policy::DeduplicationScope::Zone,
                Some(Group::Cell) | None => policy::DeduplicationScope::Cell,
            },
            window: micros(lane.window),
        },
    }
}

/// The most memory that a query may be granted on the smallest kind.
fn max_grant_mb(extra: &Extra) -> f64 {
    let smallest = extra
        .kind_memory_mb
        .iter()
        .copied()
        .reduce(f64::min)
        .unwrap_or(0.0);
    smallest
        * if extra.takes_grants {
            extra.max_grant_share
        } else {
            0.0
        }
}

fn limits(limits: &Limits, extra: &Extra) -> policy::Limits {
    policy::Limits {
        max_attempts: limits.max_attempts.unwrap_or(1),
        max_open_requests: limits.max_open,
        hedged_requests: limits.second_copies,
        retry_after: limits.retry_after,
        max_retry_after: micros(limits.max_retry_after),
        priorities: extra.ranks_heeded,
        health_checks: limits.may_probe,
        cancel: limits.cancel,
    }
}

fn rules(rules: &Rules) -> policy::Rules {
    let limited = rules.spare_attempts.is_some() || rules.extra_ratio.is_some();
    policy::Rules {
        start_capacity: rules.start_capacity,
        slow_start_window: micros(rules.ramp_time),
        overload_factor: rules.overload_factor,
        overload_window: micros(rules.fall),
        key_pause: micros(rules.order_pause),
        retry_budget: limited.then(|| policy::RetryBudget {
            min_retries: rules.spare_attempts.unwrap_or(0.0),
            ratio: rules.extra_ratio.unwrap_or(0.0),
            window: micros(rules.look_back),
        }),
        max_poll_interval: micros(rules.ask_within),
    }
}
