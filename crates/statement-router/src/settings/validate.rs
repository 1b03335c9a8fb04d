//! Validation of settings: limits of values, and values that contradict each other.

use std::time::Duration;

use hoptiller_runaway::EnforcementOptions;

use super::{ClassSettings, Idempotency, SettingError, Settings};

/// Minimum client timeout. A shorter one leaves no time for a decision and the delivery of a response.
const MIN_CLIENT_TIMEOUT: Duration = Duration::from_millis(500);
const MIN_FINGERPRINTS: usize = 100;
const MAX_FINGERPRINTS: usize = 100_000;
const MIN_SAVE_INTERVAL: Duration = Duration::from_secs(1);
const MIN_LEASE_TERM: Duration = Duration::from_millis(500);
const MAX_DRIFT_MILLIONTHS: u64 = 100_000;
/// Minimum number of renewal intervals in the term of a lease.
const MIN_RENEWALS_PER_TERM: u32 = 4;
const MIN_DISCOVERY_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum long poll. Clients and proxies commonly time out after about a minute.
const MAX_LONG_POLL: Duration = Duration::from_secs(60);
const MAX_TICK: Duration = Duration::from_millis(100);

/// Returns all errors. `file_name` is part of their locations.
pub(super) fn validate(file_name: &str, settings: &Settings) -> Vec<SettingError> {
    let mut validator = Validator {
        file_name,
        settings,
        errors: Vec::new(),
    };
    validator.check_fleet_size();
    validator.check_classes();
    validator.check_engines();
    validator.check_enforcement();
    validator.check_runaways();
    validator.check_admin_address();
    validator.check_coordination();
    validator.check_rules();
    validator.check_discovery();
    validator.check_size_limits();
    validator.check_time_limits();
    validator.errors
}

struct Validator<'a> {
    file_name: &'a str,
    settings: &'a Settings,
    errors: Vec<SettingError>,
}

impl Validator<'_> {
    fn reject_if(&mut self, is_invalid: bool, path: &str, reason: impl Into<String>) {
        if is_invalid {
            self.errors.push(SettingError {
                place: format!("{}: {path}", self.file_name),
                reason: reason.into(),
            });
        }
    }

    fn check_fleet_size(&mut self) {
        let router = &self.settings.router;
        self.reject_if(
            router.index >= router.fleet_size,
            "router.index",
            format!("must be under router.of, {}", router.fleet_size),
        );
    }

    fn check_classes(&mut self) {
        let classes = &self.settings.classes;
        for (index, class) in classes.iter().enumerate() {
            let is_duplicate = classes[..index].iter().any(|c| c.name == class.name);
            self.reject_if(
                is_duplicate,
                &format!("classes[{index}].name"),
                format!("duplicate class name {:?}", class.name),
            );
            self.check_class(index, class);
        }
    }

    fn check_class(&mut self, index: usize, class: &ClassSettings) {
        let path = |key: &str| format!("classes[{index}].{key}");
        let is_name_byte = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
        self.reject_if(
            !class.name.bytes().all(is_name_byte),
            &path("name"),
            "a client tag can contain only letters, digits, '-', '_' and '.'",
        );
        self.reject_if(
            class.latency_objective.is_zero() || class.threads == 0.0,
            &path("aim"),
            "aim and threads must be over 0",
        );
        self.reject_if(
            class.client_timeout < class.latency_objective,
            &path("patience"),
            "is shorter than the aim: clients would time out before the latency objective",
        );
        self.reject_if(
            class.client_timeout < MIN_CLIENT_TIMEOUT,
            &path("patience"),
            format!("is under {MIN_CLIENT_TIMEOUT:?}: no final response could arrive in time"),
        );
        self.reject_if(
            class.late_weight_ratio > 1.0,
            &path("late_worth"),
            "must be a fraction of the worth, 0 to 1",
        );
        self.reject_if(
            class.holds_tables && class.idempotency == Idempotency::Idempotent,
            &path("holds"),
            "a class whose statements lock tables loads data into them, so its repeat must be 'never'",
        );
    }

    fn check_engines(&mut self) {
        let engines = &self.settings.engines;
        self.reject_if(
            engines.max_attempts == 0,
            "engines.max_attempts",
            "must be 1 or more",
        );
        self.reject_if(
            engines
                .retry_budget
                .is_some_and(|budget| budget.window.is_zero()),
            "engines.budget.within",
            "must be over 0",
        );
        self.reject_if(
            !engines.progress_interval.is_zero() && !engines.supports_cancel,
            "engines.notes_every",
            "requires engines.cancel: the policy uses progress reports only to cancel attempts",
        );
        self.reject_if(
            engines.reports_in_flight && !engines.load_reports,
            "engines.tells_in_flight",
            "requires engines.reports",
        );
    }

    fn check_enforcement(&mut self) {
        let settings = self.settings;
        for (class, enforcement) in settings.classes.iter().zip(&settings.runaways.enforcement) {
            self.check_enforcement_of(class, enforcement);
        }
    }

    fn check_enforcement_of(&mut self, class: &ClassSettings, enforcement: &EnforcementOptions) {
        let engines = &self.settings.engines;
        let path = format!("runaways: class {:?}", class.name);
        self.reject_if(
            enforcement.kill && !engines.supports_kill,
            &path,
            "'end' only works where engines.ends is true",
        );
        self.reject_if(
            enforcement.pause && !engines.supports_pause,
            &path,
            "'pause' only works where engines.pauses is true",
        );
        self.reject_if(
            enforcement.low_priority && !(enforcement.hold && engines.supports_priorities),
            &path,
            "'lower' only works with 'hold' and where engines.priorities is true",
        );
        let is_enforced = enforcement.hold || enforcement.kill || enforcement.pause;
        self.reject_if(
            is_enforced && !enforcement.report,
            &path,
            "'hold', 'pause' and 'end' require 'name', which reports the finding: add 'name'",
        );
    }

    fn check_runaways(&mut self) {
        let runaways = &self.settings.runaways;
        self.reject_if(
            !(MIN_FINGERPRINTS..=MAX_FINGERPRINTS).contains(&runaways.max_fingerprints),
            "runaways.kinds",
            format!("must be {MIN_FINGERPRINTS} to {MAX_FINGERPRINTS}"),
        );
        self.reject_if(
            runaways.pause_for.is_zero() || runaways.save_interval < MIN_SAVE_INTERVAL,
            "runaways",
            format!("pause_for must be over 0, save_every {MIN_SAVE_INTERVAL:?} or more"),
        );
    }

    fn check_admin_address(&mut self) {
        let router = &self.settings.router;
        self.reject_if(
            router
                .admin
                .is_some_and(|admin| admin == router.listen && admin.port() != 0),
            "router.admin",
            "must differ from router.listen: the administration API needs an address of its own",
        );
    }

    fn check_coordination(&mut self) {
        let Some(coordination) = &self.settings.coordination else {
            return;
        };
        self.reject_if(
            coordination.lease_term < MIN_LEASE_TERM || coordination.drift > MAX_DRIFT_MILLIONTHS,
            "agreement.permit",
            format!(
                "agreement.permit must be {MIN_LEASE_TERM:?} or more, \
                 agreement.drift {MAX_DRIFT_MILLIONTHS} millionths or less"
            ),
        );
        self.reject_if(
            coordination.renewal_interval.is_zero()
                || coordination.renewal_interval > coordination.lease_term / MIN_RENEWALS_PER_TERM,
            "agreement.ask_every",
            format!("must be over 0 and at most 1/{MIN_RENEWALS_PER_TERM} of agreement.permit"),
        );
    }

    fn check_rules(&mut self) {
        let rules = &self.settings.rules;
        self.reject_if(
            rules.start_capacity > 1.0 || rules.start_capacity == 0.0,
            "rules.start_capacity",
            "must be a fraction of the capacity, over 0 and up to 1",
        );
        self.reject_if(
            rules.overload_factor < 1.0 || rules.overload_window.is_zero(),
            "rules.overload",
            "must be 1 or more, and rules.fall must be over 0",
        );
    }

    fn check_discovery(&mut self) {
        let discovery = &self.settings.discovery;
        self.reject_if(
            discovery.list_interval.min(discovery.state_interval) < MIN_DISCOVERY_INTERVAL,
            "discovery.every",
            format!("every and state_every must be {MIN_DISCOVERY_INTERVAL:?} or more"),
        );
    }

    fn check_size_limits(&mut self) {
        let limits = &self.settings.limits;
        self.reject_if(
            limits.max_open_statements == 0
                || limits.max_connections == 0
                || limits.max_statement_bytes == 0
                || limits.max_page_bytes == 0,
            "limits",
            "statements, connections, statement_bytes and page_bytes must be over 0",
        );
        self.reject_if(
            limits.max_incoming_bytes < limits.max_statement_bytes,
            "limits.incoming_bytes",
            "is under limits.statement_bytes: a statement of that size could not be received",
        );
        self.reject_if(
            limits.max_buffered_bytes < limits.max_page_bytes,
            "limits.held_bytes",
            "is under limits.page_bytes: a page of that size could not be buffered",
        );
    }

    fn check_time_limits(&mut self) {
        let limits = &self.settings.limits;
        self.reject_if(
            limits.abandon_after < limits.long_poll_timeout * 2,
            "limits.abandon_after",
            "must be at least twice limits.long_poll: otherwise clients that poll regularly would be abandoned",
        );
        self.reject_if(
            limits.long_poll_timeout > MAX_LONG_POLL,
            "limits.long_poll",
            format!("is over {MAX_LONG_POLL:?}: clients and proxies may time out"),
        );
        self.reject_if(
            limits.tick.is_zero() || limits.tick > MAX_TICK,
            "limits.tick",
            format!("must be over 0 and up to {MAX_TICK:?}"),
        );
    }
}
