//! Parsing of the settings' sections from a JSON value, with defaults for missing keys.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use hoptiller_runaway::EnforcementOptions;
use serde_json::Value;

use super::reader::{Object, Reader};
use super::{
    ClassSettings, CoordinationSettings, DiscoverySettings, EngineSettings, Idempotency,
    LimitSettings, MachineKind, RetryBudgetSettings, RouterSettings, RuleSettings, RunawaySettings,
    SettingError, Settings, Tenant,
};

const ENFORCEMENT_NAMES: &str = "'name', 'hold', 'lower', 'pause', 'end'";
const DEFAULT_LEASE_TERM: Duration = Duration::from_secs(10);
const DEFAULT_RENEWAL_INTERVAL: Duration = Duration::from_secs(1);
/// Renewals in a lease term if the interval is not set.
const RENEWALS_PER_TERM: u64 = 5;

/// Parses settings. The result is `None` after an error. A number that does not fit its field gives `None` without an
/// error.
pub(super) fn parse(file_name: &str, value: &Value) -> (Option<Settings>, Vec<SettingError>) {
    let mut reader = Reader::new(file_name);
    let settings = reader.settings(value);
    (settings, reader.into_errors())
}

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

impl Reader<'_> {
    fn settings(&mut self, value: &Value) -> Option<Settings> {
        let mut file = self.object(value, "");
        if !file.is_present() {
            self.reject("(whole file)", "expected an object");
            return None;
        }
        let router = self.child(&mut file, "router").and_then(|o| self.router(o));
        let kinds = self.kinds(&mut file);
        let zones = self.zones(&mut file);
        let tenants = self.tenants(&mut file);
        let kind_names: Vec<String> = kinds.iter().flatten().map(|k| k.name.clone()).collect();
        let classes = self.classes(&mut file, &kind_names, &zones);
        let default_class = self.text(&mut file, "default_class");
        let engines = self
            .child(&mut file, "engines")
            .and_then(|o| self.engines(o));
        let rules = self.child(&mut file, "rules").and_then(|o| self.rules(o));
        let discovery = self
            .child(&mut file, "discovery")
            .and_then(|o| self.discovery(o));
        let runaways = self.runaways(&mut file, classes.as_deref());
        let coordination = self.coordination(&mut file);
        let limits = self.optional_child(&mut file, "limits");
        let limits = self.limits(limits);
        self.finish(file);
        let classes = classes?;
        let default_class = self.default_class(&default_class?, &classes);
        Some(Settings {
            router: router?,
            default_class: default_class?,
            classes,
            kinds: kinds?,
            zones,
            tenants,
            engines: engines?,
            rules: rules?,
            discovery: discovery?,
            runaways: runaways?,
            coordination: coordination?,
            limits: limits?,
        })
    }

    fn default_class(&mut self, name: &str, classes: &[ClassSettings]) -> Option<usize> {
        let index = classes.iter().position(|class| class.name == name);
        if index.is_none() {
            self.reject(
                "default_class",
                format!("{name:?} is not a class of this file"),
            );
        }
        index
    }

    fn kinds(&mut self, file: &mut Object<'_>) -> Option<Vec<MachineKind>> {
        let value = self.required(file, "kinds")?;
        let cores = self.positive_numbers(value, "kinds")?;
        let kind = |(name, cores)| MachineKind { name, cores };
        Some(cores.into_iter().map(kind).collect())
    }

    fn tenants(&mut self, file: &mut Object<'_>) -> Vec<Tenant> {
        let shares = self
            .optional(file, "tenants")
            .and_then(|value| self.positive_numbers(value, "tenants"));
        let tenant = |(name, share)| Tenant { name, share };
        shares.into_iter().flatten().map(tenant).collect()
    }

    fn zones(&mut self, file: &mut Object<'_>) -> Vec<String> {
        let Some(value) = self.optional(file, "zones") else {
            return Vec::new();
        };
        let names = value.as_array().and_then(|names| {
            let names = names.iter().map(|name| name.as_str().map(str::to_owned));
            names.collect()
        });
        if names.is_none() {
            self.reject("zones", "expected a list of names");
        }
        names.unwrap_or_default()
    }

    fn router(&mut self, mut object: Object<'_>) -> Option<RouterSettings> {
        let name = self.text(&mut object, "name");
        let index = self.count(&mut object, "index", 0);
        let fleet_size = self.count(&mut object, "of", 1);
        let listen = self.address(&mut object, "listen");
        let admin = match self.optional(&mut object, "admin") {
            None => Some(None),
            Some(_) => self.address(&mut object, "admin").map(Some),
        };
        let state_dir = match self.optional(&mut object, "state") {
            None => None,
            Some(_) => Some(PathBuf::from(self.text(&mut object, "state")?)),
        };
        let seed = self.count(&mut object, "seed", 1);
        self.finish(object);
        Some(RouterSettings {
            index: u32::try_from(index?).ok()?,
            fleet_size: u32::try_from(fleet_size?).ok()?,
            name: name?,
            listen: listen?,
            admin: admin?,
            state_dir,
            seed: seed?,
        })
    }

    fn classes(
        &mut self,
        file: &mut Object<'_>,
        kinds: &[String],
        zones: &[String],
    ) -> Option<Vec<ClassSettings>> {
        let value = self.required(file, "classes")?;
        let Some(classes) = value.as_array().filter(|classes| !classes.is_empty()) else {
            self.reject("classes", "expected a list of at least one class");
            return None;
        };
        let parsed: Vec<Option<ClassSettings>> = classes
            .iter()
            .enumerate()
            .map(|(index, value)| {
                let object = self.object(value, &format!("classes[{index}]"));
                self.class(object, kinds, zones)
            })
            .collect();
        parsed.into_iter().collect()
    }

    fn class(
        &mut self,
        mut object: Object<'_>,
        kinds: &[String],
        zones: &[String],
    ) -> Option<ClassSettings> {
        let name = self.text(&mut object, "name");
        let latency_objective = self.duration(&mut object, "aim");
        let objective_stretch = self.number(&mut object, "stretch", Some(0.0));
        let client_timeout = self.duration(&mut object, "patience");
        let idempotency = self.idempotency(&mut object);
        let ordered_by_key = self.flag(&mut object, "in_order", false);
        let priority_weight = self.number(&mut object, "worth", Some(1.0));
        let late_weight_ratio = self.number(&mut object, "late_worth", Some(0.0));
        let threads = self.number(&mut object, "threads", Some(1.0));
        let holds_tables = self.flag(&mut object, "holds", false);
        let kinds = self.indices(&mut object, "kinds", kinds);
        let zones = self.indices(&mut object, "zones", zones);
        self.finish(object);
        Some(ClassSettings {
            name: name?,
            latency_objective: latency_objective?,
            objective_stretch: objective_stretch?,
            client_timeout: client_timeout?,
            idempotency: idempotency?,
            ordered_by_key: ordered_by_key?,
            priority_weight: priority_weight?,
            late_weight_ratio: late_weight_ratio?,
            threads: threads?,
            holds_tables: holds_tables?,
            kinds,
            zones,
        })
    }

    fn idempotency(&mut self, class: &mut Object<'_>) -> Option<Idempotency> {
        match self.required(class, "repeat")?.as_str() {
            Some("safe") => Some(Idempotency::Idempotent),
            Some("never") => Some(Idempotency::NotIdempotent),
            _ => {
                self.reject(class.path_of("repeat"), "expected 'safe' or 'never'");
                None
            }
        }
    }

    fn engines(&mut self, mut object: Object<'_>) -> Option<EngineSettings> {
        let max_attempts = self.count(&mut object, "max_attempts", 3);
        let retry_budget = self.budget(&mut object);
        let health_checks = self.flag(&mut object, "probes", true);
        let load_reports = self.flag(&mut object, "reports", true);
        let reports_in_flight = self.flag(&mut object, "tells_in_flight", false);
        let reports_work = self.flag(&mut object, "bills", false);
        let supports_cancel = self.flag(&mut object, "cancel", false);
        let supports_priorities = self.flag(&mut object, "priorities", false);
        let supports_kill = self.flag(&mut object, "ends", false);
        let supports_pause = self.flag(&mut object, "pauses", false);
        let progress_interval = self.duration_or(&mut object, "notes_every", Duration::ZERO);
        let connect_timeout = self.duration_or(&mut object, "connect_within", millis(250));
        let poll_timeout = self.duration_or(&mut object, "poll_within", seconds(5));
        self.finish(object);
        Some(EngineSettings {
            max_attempts: u32::try_from(max_attempts?).ok()?,
            retry_budget: retry_budget?,
            health_checks: health_checks?,
            load_reports: load_reports?,
            reports_in_flight: reports_in_flight?,
            reports_work: reports_work?,
            supports_cancel: supports_cancel?,
            supports_priorities: supports_priorities?,
            supports_kill: supports_kill?,
            supports_pause: supports_pause?,
            progress_interval: progress_interval?,
            connect_timeout: connect_timeout?,
            poll_timeout: poll_timeout?,
        })
    }

    /// Parses the retry budget. `Some(None)` means that there is no budget.
    fn budget(&mut self, engines: &mut Object<'_>) -> Option<Option<RetryBudgetSettings>> {
        let Some(value) = self.optional(engines, "budget") else {
            return Some(None);
        };
        let mut object = self.object(value, "engines.budget");
        let min_retries = self.number(&mut object, "spare", None);
        let ratio = self.number(&mut object, "ratio", None);
        let window = self.duration(&mut object, "within");
        self.finish(object);
        Some(Some(RetryBudgetSettings {
            min_retries: min_retries?,
            ratio: ratio?,
            window: window?,
        }))
    }

    fn rules(&mut self, mut object: Object<'_>) -> Option<RuleSettings> {
        let start_capacity = self.number(&mut object, "start_capacity", None);
        let slow_start_window = self.duration(&mut object, "ramp");
        let overload_factor = self.number(&mut object, "overload", None);
        let overload_window = self.duration(&mut object, "fall");
        let key_pause = self.duration_or(&mut object, "order_pause", Duration::ZERO);
        let drain_grace = self.duration_or(&mut object, "drain_grace", seconds(1));
        self.finish(object);
        Some(RuleSettings {
            start_capacity: start_capacity?,
            slow_start_window: slow_start_window?,
            overload_factor: overload_factor?,
            overload_window: overload_window?,
            key_pause: key_pause?,
            drain_grace: drain_grace?,
        })
    }

    fn discovery(&mut self, mut object: Object<'_>) -> Option<DiscoverySettings> {
        let address = self.address(&mut object, "address");
        let environment = self.text(&mut object, "environment");
        let list_interval = self.duration_or(&mut object, "every", millis(500));
        let state_interval = self.duration_or(&mut object, "state_every", millis(500));
        let timeout = self.duration_or(&mut object, "within", seconds(1));
        self.finish(object);
        Some(DiscoverySettings {
            address: address?,
            environment: environment?,
            list_interval: list_interval?,
            state_interval: state_interval?,
            timeout: timeout?,
        })
    }

    fn runaways(
        &mut self,
        file: &mut Object<'_>,
        classes: Option<&[ClassSettings]>,
    ) -> Option<RunawaySettings> {
        let mut object = self.optional_child(file, "runaways");
        let enforcement = self.enforcement_by_class(&mut object, classes);
        let kill_after = self.duration_or(&mut object, "end_after", seconds(10));
        let pause_for = self.duration_or(&mut object, "pause_for", seconds(10));
        let max_fingerprints = self.count(&mut object, "kinds", 4096);
        let save_interval = self.duration_or(&mut object, "save_every", seconds(30));
        self.finish(object);
        Some(RunawaySettings {
            enforcement: enforcement?,
            kill_after: kill_after?,
            pause_for: pause_for?,
            max_fingerprints: max_fingerprints? as usize,
            save_interval: save_interval?,
        })
    }

    fn enforcement_by_class(
        &mut self,
        runaways: &mut Object<'_>,
        classes: Option<&[ClassSettings]>,
    ) -> Option<Vec<EnforcementOptions>> {
        let default = match self.optional(runaways, "acts") {
            None => Some(EnforcementOptions {
                report: true,
                hold: true,
                ..EnforcementOptions::default()
            }),
            Some(value) => self.enforcement(value, "runaways.acts"),
        };
        let mut by_class = vec![default; classes.map_or(0, <[_]>::len)];
        let overrides = self.optional_child(runaways, "classes");
        for (name, value) in overrides.entries() {
            let path = overrides.path_of(name);
            let Some(classes) = classes else { continue };
            match classes.iter().position(|class| class.name == *name) {
                Some(index) => by_class[index] = self.enforcement(value, &path),
                None => self.reject(path, "is not a class of this file"),
            }
        }
        by_class.into_iter().collect()
    }

    fn enforcement(&mut self, value: &Value, path: &str) -> Option<EnforcementOptions> {
        let mut options = EnforcementOptions::default();
        let Some(names) = value.as_array() else {
            self.reject(path, format!("expected a list of {ENFORCEMENT_NAMES}"));
            return None;
        };
        for (position, name) in names.iter().enumerate() {
            let option = match name.as_str() {
                Some("name") => &mut options.report,
                Some("hold") => &mut options.hold,
                Some("lower") => &mut options.low_priority,
                Some("pause") => &mut options.pause,
                Some("end") => &mut options.kill,
                _ => {
                    self.reject(
                        format!("{path}[{position}]"),
                        format!("unknown action {name}; expected one of {ENFORCEMENT_NAMES}"),
                    );
                    return None;
                }
            };
            *option = true;
        }
        Some(options)
    }

    /// Parses the coordination settings. `Some(None)` means that this router takes no part in coordination.
    fn coordination(&mut self, file: &mut Object<'_>) -> Option<Option<CoordinationSettings>> {
        if self.optional(file, "agreement").is_none() {
            return Some(None);
        }
        let mut object = self.child(file, "agreement")?;
        let replicas = self.replica_addresses(&mut object);
        let secret_file = self.text(&mut object, "secret");
        let lease_term = self.duration_or(&mut object, "permit", DEFAULT_LEASE_TERM);
        let drift = self.count(&mut object, "drift", 1000);
        let default_interval = lease_term.map_or(DEFAULT_RENEWAL_INTERVAL, |term| {
            millis(term.as_millis() as u64 / RENEWALS_PER_TERM)
        });
        let renewal_interval = self.duration_or(&mut object, "ask_every", default_interval);
        self.finish(object);
        Some(Some(CoordinationSettings {
            replicas: replicas?,
            secret_file: PathBuf::from(secret_file?),
            lease_term: lease_term?,
            drift: drift?,
            renewal_interval: renewal_interval?,
        }))
    }

    fn replica_addresses(&mut self, agreement: &mut Object<'_>) -> Option<Vec<SocketAddr>> {
        let addresses = self
            .required(agreement, "keepers")
            .and_then(Value::as_array)
            .filter(|list| !list.is_empty())
            .and_then(|list| {
                let addresses = list.iter().map(|a| a.as_str().and_then(|t| t.parse().ok()));
                addresses.collect()
            });
        if addresses.is_none() {
            self.reject(
                agreement.path_of("keepers"),
                "expected a list of at least one address, such as '127.0.0.1:7401'",
            );
        }
        addresses
    }

    fn limits(&mut self, mut object: Object<'_>) -> Option<LimitSettings> {
        let max_open_statements = self.count(&mut object, "statements", 50_000);
        let max_retained_responses = self.count(&mut object, "answered", 50_000);
        let retention = self.duration_or(&mut object, "keep", seconds(60));
        let max_connections = self.count(&mut object, "connections", 32_768);
        let max_statement_bytes = self.count(&mut object, "statement_bytes", 1 << 20);
        let max_incoming_bytes = self.count(&mut object, "incoming_bytes", 256 << 20);
        let max_page_bytes = self.count(&mut object, "page_bytes", 16 << 20);
        let max_buffered_bytes = self.count(&mut object, "held_bytes", 512 << 20);
        let long_poll_timeout = self.duration_or(&mut object, "long_poll", seconds(1));
        let abandon_after = self.duration_or(&mut object, "abandon_after", seconds(30));
        let max_retry_after = self.duration_or(&mut object, "hold_off", seconds(2));
        let shutdown_timeout = self.duration_or(&mut object, "drain_within", seconds(30));
        let tick = self.duration_or(&mut object, "tick", millis(1));
        self.finish(object);
        Some(LimitSettings {
            max_open_statements: max_open_statements? as usize,
            max_retained_responses: max_retained_responses? as usize,
            retention: retention?,
            max_connections: max_connections? as usize,
            max_statement_bytes: max_statement_bytes?,
            max_incoming_bytes: max_incoming_bytes?,
            max_page_bytes: max_page_bytes?,
            max_buffered_bytes: max_buffered_bytes?,
            long_poll_timeout: long_poll_timeout?,
            abandon_after: abandon_after?,
            max_retry_after: max_retry_after?,
            shutdown_timeout: shutdown_timeout?,
            tick: tick?,
        })
    }
}
