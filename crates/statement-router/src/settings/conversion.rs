//! Conversion of the settings for the policy, the runaway detector and the auditor.

use std::time::Duration;

use hoptiller_policy::{self as policy, Micros};
use hoptiller_runaway as runaway;
use serde_json::{Map, Value, json};

use super::{ClassSettings, Idempotency, MachineKind, RetryBudgetSettings, Settings};

fn micros(duration: Duration) -> Micros {
    duration.as_micros() as Micros
}

impl Settings {
    /// Returns the settings of the policy.
    pub fn policy_settings(&self) -> policy::Settings {
        let engines = &self.engines;
        policy::Settings {
            gateways: self.router.fleet_size,
            index: self.router.index,
            tick: micros(self.limits.tick),
            classes: self
                .classes
                .iter()
                .map(ClassSettings::policy_class)
                .collect(),
            cores: self.kinds.iter().map(|kind| kind.cores).collect(),
            tenant_quotas: self.tenants.iter().map(|tenant| tenant.share).collect(),
            // Parameters without a setting: memory grants are ignored, health checks are free.
            over_quota_weight: 1.0,
            load_reports: engines.load_reports,
            progress_interval: micros(engines.progress_interval),
            max_grant_mb: 0.0,
            memory_overcommit: false,
            reports_in_flight: engines.reports_in_flight,
            reports_work: engines.reports_work,
            health_check_cost: 0.0,
            clients_mark_retries: true,
            discovery: policy::Discovery::Push,
            limits: self.policy_limits(),
            rules: self.policy_rules(),
        }
    }

    fn policy_limits(&self) -> policy::Limits {
        policy::Limits {
            max_attempts: self.engines.max_attempts,
            // 0 stands for any number: the core limits open statements.
            max_open_requests: 0,
            hedged_requests: false,
            retry_after: true,
            max_retry_after: micros(self.limits.max_retry_after),
            priorities: self.engines.supports_priorities,
            health_checks: self.engines.health_checks,
            cancel: self.engines.supports_cancel,
        }
    }

    fn policy_rules(&self) -> policy::Rules {
        let rules = &self.rules;
        policy::Rules {
            start_capacity: rules.start_capacity,
            slow_start_window: micros(rules.slow_start_window),
            overload_factor: rules.overload_factor,
            overload_window: micros(rules.overload_window),
            key_pause: micros(rules.key_pause),
            retry_budget: self
                .engines
                .retry_budget
                .as_ref()
                .map(RetryBudgetSettings::policy_budget),
            max_poll_interval: micros(self.discovery.list_interval),
        }
    }

    /// Returns the settings of the runaway detector.
    pub fn runaway_settings(&self) -> runaway::Settings {
        let class =
            |(class, enforcement): (&ClassSettings, &runaway::EnforcementOptions)| runaway::Class {
                name: class.name.clone(),
                latency_objective: micros(class.latency_objective),
                client_timeout: micros(class.client_timeout),
                threads: class.threads,
                idempotency: class.policy_idempotency(),
                locks_group: class.holds_tables,
                enforcement: *enforcement,
            };
        runaway::Settings {
            classes: self
                .classes
                .iter()
                .zip(&self.runaways.enforcement)
                .map(class)
                .collect(),
            max_fingerprints: self.runaways.max_fingerprints,
            pause_for: micros(self.runaways.pause_for),
            kill_after: micros(self.runaways.kill_after),
        }
    }

    /// Returns the rules in the format that `hoptiller audit` reads (`rules.json`).
    pub fn audit_rules(&self) -> Value {
        let classes: Map<String, Value> = self
            .classes
            .iter()
            .map(|class| (class.name.clone(), class.audit_rules(&self.kinds)))
            .collect();
        let budget = self.engines.retry_budget;
        json!({
            "classes": classes,
            "drain_grace": micros(self.rules.drain_grace),
            "max_attempts": self.engines.max_attempts,
            "order_pause": micros(self.rules.key_pause),
            "budget": budget.map(|budget| (budget.min_retries, budget.ratio, micros(budget.window))),
        })
    }
}

impl RetryBudgetSettings {
    fn policy_budget(&self) -> policy::RetryBudget {
        policy::RetryBudget {
            min_retries: self.min_retries,
            ratio: self.ratio,
            window: micros(self.window),
        }
    }
}

impl ClassSettings {
    fn policy_class(&self) -> policy::Class {
        policy::Class {
            latency_objective: micros(self.latency_objective),
            objective_stretch: self.objective_stretch,
            deadline: micros(self.client_timeout),
            idempotency: self.policy_idempotency(),
            ordered_by_key: self.ordered_by_key,
            late_weight_ratio: self.late_weight_ratio,
            priority_weight: self.priority_weight,
            zones: self.zones.clone(),
            kinds: self.kinds.clone(),
            threads: self.threads,
            locks_group: self.holds_tables,
        }
    }

    fn policy_idempotency(&self) -> policy::Idempotency {
        match self.idempotency {
            Idempotency::Idempotent => policy::Idempotency::Idempotent,
            Idempotency::NotIdempotent => policy::Idempotency::NotIdempotent,
        }
    }

    fn audit_rules(&self, kinds: &[MachineKind]) -> Value {
        let allowed = self.kinds.iter().flatten().map(|index| &kinds[*index].name);
        json!({
            "never_twice": self.idempotency == Idempotency::NotIdempotent,
            "in_order": self.ordered_by_key,
            "kinds": allowed.collect::<Vec<_>>(),
            "aim": micros(self.latency_objective),
            "stretch": self.objective_stretch,
            "threads": self.threads,
        })
    }
}
