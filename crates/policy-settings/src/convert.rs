//! Conversion of the settings object to the policy's settings.

use hoptiller_policy as policy;

use crate::schema::{
    ClassSettings, DeduplicationScope, ExecutionSettings, Idempotency, Limits, Rules, Settings,
};
use crate::{micros_from_millis as micros, position};

/// Name of the reported value that counts the queries of an engine.
const QUERIES_IN_FLIGHT: &str = "busy_reqs";
/// Names of the reported values that reflect the load, as the settings contain them; see [`crate::set_load_value`].
const LOAD_VALUES: [&str; 3] = [QUERIES_IN_FLIGHT, "x0", "cpu_share"];

impl Settings {
    /// Returns the settings for the policy's controller.
    pub fn to_policy(&self) -> policy::Settings {
        let reported = &self.load_reporting.names;
        let classes = self.classes.iter().enumerate();
        policy::Settings {
            gateways: self.gateways,
            index: self.index,
            tick: micros(self.tick),
            classes: classes
                .map(|(number, class)| self.class(number, class))
                .collect(),
            cores: self.execution.cores_by_kind.clone(),
            tenant_quotas: self.tenants.iter().map(|tenant| tenant.quota).collect(),
            over_quota_weight: self.over_quota_weight,
            load_reports: reported
                .iter()
                .any(|name| LOAD_VALUES.contains(&name.as_str())),
            progress_interval: micros(self.execution.progress_interval),
            max_grant_mb: max_grant_mb(&self.execution),
            memory_overcommit: self.execution.memory_shortage.as_deref() == Some("overcommit"),
            reports_in_flight: reported.iter().any(|name| name == QUERIES_IN_FLIGHT),
            reports_work: self.execution.reports_work,
            health_check_cost: self.costs.health_check,
            clients_mark_retries: self.clients.mark_retries,
            discovery: match self.discovery.as_deref() {
                Some("subscribe") => policy::Discovery::Subscribe,
                _ => policy::Discovery::Push,
            },
            limits: limits(&self.limits, &self.execution),
            rules: rules(&self.rules),
        }
    }

    fn class(&self, number: usize, class: &ClassSettings) -> policy::Class {
        let threads = self.execution.threads_by_class.get(number);
        let locks_group = self.execution.locks_group_by_class.get(number);
        policy::Class {
            latency_objective: micros(class.latency_objective),
            objective_stretch: class.objective_stretch,
            deadline: micros(class.deadline),
            idempotency: idempotency(class),
            ordered_by_key: class.ordered_by_key,
            late_weight_ratio: class.late_weight_ratio,
            priority_weight: class.priority_weight,
            zones: class
                .zones
                .as_ref()
                .map(|allowed| positions(&self.zones, allowed)),
            kinds: class
                .kinds
                .as_ref()
                .map(|allowed| positions(&self.kinds, allowed)),
            threads: threads.copied().unwrap_or(1.0),
            locks_group: locks_group.copied().unwrap_or(false),
        }
    }
}

fn positions(names: &[String], selected: &[String]) -> Vec<usize> {
    selected
        .iter()
        .filter_map(|name| position(names, name))
        .collect()
}

fn idempotency(class: &ClassSettings) -> policy::Idempotency {
    match class.idempotency {
        Idempotency::Idempotent => policy::Idempotency::Idempotent,
        Idempotency::NotIdempotent => policy::Idempotency::NotIdempotent,
        Idempotency::WithKey => policy::Idempotency::WithKey {
            // Without a configured scope, only the narrowest one is certain to drop duplicates.
            scope: match class.deduplication_scope {
                Some(DeduplicationScope::All) => policy::DeduplicationScope::All,
                Some(DeduplicationScope::Zone) => policy::DeduplicationScope::Zone,
                Some(DeduplicationScope::Cell) | None => policy::DeduplicationScope::Cell,
            },
            window: micros(class.deduplication_window),
        },
    }
}

/// Returns the maximum memory grant of a query on the smallest machine kind; 0 if engines ignore grants.
fn max_grant_mb(execution: &ExecutionSettings) -> f64 {
    let smallest = execution
        .memory_mb_by_kind
        .iter()
        .copied()
        .reduce(f64::min)
        .unwrap_or(0.0);
    smallest
        * if execution.respect_memory_grants {
            execution.max_grant_ratio
        } else {
            0.0
        }
}

fn limits(limits: &Limits, execution: &ExecutionSettings) -> policy::Limits {
    policy::Limits {
        max_attempts: limits.max_attempts.unwrap_or(1),
        max_open_requests: limits.max_open_requests,
        hedged_requests: limits.hedged_requests,
        retry_after: limits.retry_after,
        max_retry_after: micros(limits.max_retry_after),
        priorities: execution.respect_priorities,
        health_checks: limits.health_checks,
        cancel: limits.cancel,
    }
}

fn rules(rules: &Rules) -> policy::Rules {
    let has_retry_budget = rules.min_retries.is_some() || rules.retry_ratio.is_some();
    policy::Rules {
        start_capacity: rules.start_capacity,
        slow_start_window: micros(rules.slow_start_window),
        overload_factor: rules.overload_factor,
        overload_window: micros(rules.overload_window),
        key_pause: micros(rules.key_pause),
        retry_budget: has_retry_budget.then(|| policy::RetryBudget {
            min_retries: rules.min_retries.unwrap_or(0.0),
            ratio: rules.retry_ratio.unwrap_or(0.0),
            window: micros(rules.retry_window),
        }),
        max_poll_interval: micros(rules.max_poll_interval),
    }
}
