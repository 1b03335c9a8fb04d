//! The settings in the form of the policy, of the runaway detector and of the auditor.

use std::time::Duration;

use hoptiller_policy::{self as policy, Micros};
use hoptiller_runaway as runaway;
use serde_json::{Map, Value, json};

use super::{BudgetSettings, ClassSettings, MachineKind, RepeatSettings, Settings};

fn micros(duration: Duration) -> Micros {
    duration.as_micros() as Micros
}

impl Settings {
    /// The settings of the policy.
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
            over_quota_weight: 1.0,
            load_reports: engines.reports,
            progress_interval: micros(engines.notes_every),
            max_grant_mb: 0.0,
            memory_overcommit: false,
            reports_in_flight: engines.tells_in_flight,
            reports_work: engines.bills,
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
            max_open_requests: 0,
            hedged_requests: false,
            retry_after: true,
            max_retry_after: micros(self.limits.hold_off),
            priorities: self.engines.priorities,
            health_checks: self.engines.probes,
            cancel: self.engines.cancel,
        }
    }

    fn policy_rules(&self) -> policy::Rules {
        let rules = &self.rules;
        policy::Rules {
            start_capacity: rules.start_capacity,
            slow_start_window: micros(rules.ramp),
            overload_factor: rules.overload,
            overload_window: micros(rules.fall),
            key_pause: micros(rules.order_pause),
            retry_budget: self
                .engines
                .budget
                .as_ref()
                .map(BudgetSettings::policy_budget),
            max_poll_interval: micros(self.discovery.every),
        }
    }

    /// The settings of the runaway detector.
    pub fn runaway_settings(&self) -> runaway::Settings {
        let class =
            |(class, enforcement): (&ClassSettings, &runaway::EnforcementOptions)| runaway::Class {
                name: class.name.clone(),
                latency_objective: micros(class.aim),
                client_timeout: micros(class.patience),
                threads: class.threads,
                idempotency: class.idempotency(),
                holds_tables: class.holds,
                enforcement: *enforcement,
            };
        runaway::Settings {
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
    pub fn audit_rules(&self) -> Value {
        let classes: Map<String, Value> = self
            .classes
            .iter()
            .map(|class| (class.name.clone(), class.audit_rules(&self.kinds)))
            .collect();
        let budget = self.engines.budget;
        json!({
            "classes": classes,
            "drain_grace": micros(self.rules.drain_grace),
            "max_attempts": self.engines.max_attempts,
            "order_pause": micros(self.rules.order_pause),
            "budget": budget.map(|budget| (budget.spare, budget.ratio, micros(budget.within))),
        })
    }
}

impl BudgetSettings {
    fn policy_budget(&self) -> policy::RetryBudget {
        policy::RetryBudget {
            min_retries: self.spare,
            ratio: self.ratio,
            window: micros(self.within),
        }
    }
}

impl ClassSettings {
    fn policy_class(&self) -> policy::Class {
        policy::Class {
            latency_objective: micros(self.aim),
            objective_stretch: self.stretch,
            deadline: micros(self.patience),
            idempotency: self.idempotency(),
            ordered_by_key: self.in_order,
            late_weight_ratio: self.late_worth,
            priority_weight: self.worth,
            zones: self.zones.clone(),
            kinds: self.kinds.clone(),
            threads: self.threads,
            locks_group: self.holds,
        }
    }

    fn idempotency(&self) -> policy::Idempotency {
        match self.repeat {
            RepeatSettings::Safe => policy::Idempotency::Idempotent,
            RepeatSettings::Never => policy::Idempotency::NotIdempotent,
        }
    }

    fn audit_rules(&self, kinds: &[MachineKind]) -> Value {
        let allowed = self.kinds.iter().flatten().map(|index| &kinds[*index].name);
        json!({
            "never_twice": self.repeat == RepeatSettings::Never,
            "in_order": self.in_order,
            "kinds": allowed.collect::<Vec<_>>(),
            "aim": micros(self.aim),
            "stretch": self.stretch,
            "threads": self.threads,
        })
    }
}
