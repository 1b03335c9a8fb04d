//! Parses the sections of the settings from a JSON value, with the defaults of keys that are missing.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use hoptiller_runaway::EnforcementOptions;
use serde_json::Value;

use super::reader::{Object, Reader};
use super::{
    AgreementSettings, BudgetSettings, ClassSettings, DiscoverySettings, EngineSettings,
    LimitSettings, MachineKind, RepeatSettings, RouterSettings, RuleSettings, RunawaySettings,
    SettingError, Settings, Tenant,
};

const ENFORCEMENT_NAMES: &str = "'name', 'hold', 'lower', 'pause', 'end'";
const DEFAULT_LEASE_TERM: Duration = Duration::from_secs(10);
const DEFAULT_RENEWAL_INTERVAL: Duration = Duration::from_secs(1);
/// Renewals of a lease in its term, where the interval is not set.
const RENEWALS_PER_TERM: u64 = 5;

/// Parses settings. `None` comes with at least one error.
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
            self.reject("(whole file)", "an object is wanted");
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
        let agreement = self.agreement(&mut file);
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
            agreement: agreement?,
            limits: limits?,
        })
    }

    fn default_class(&mut self, name: &str, classes: &[ClassSettings]) -> Option<usize> {
        let index = classes.iter().position(|class| class.name == name);
        if index.is_none() {
            self.reject(
                "default_class",
                format!("{name:?} is no class of this file"),
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
            self.reject("zones", "a list of names is wanted");
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
        let state = match self.optional(&mut object, "state") {
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
            state,
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
            self.reject("classes", "a list of at least one class is wanted");
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
        let aim = self.duration(&mut object, "aim");
        let stretch = self.number(&mut object, "stretch", Some(0.0));
        let patience = self.duration(&mut object, "patience");
        let repeat = self.repeat(&mut object);
        let in_order = self.flag(&mut object, "in_order", false);
        let worth = self.number(&mut object, "worth", Some(1.0));
        let late_worth = self.number(&mut object, "late_worth", Some(0.0));
        let threads = self.number(&mut object, "threads", Some(1.0));
        let holds = self.flag(&mut object, "holds", false);
        let kinds = self.indices(&mut object, "kinds", kinds);
        let zones = self.indices(&mut object, "zones", zones);
        self.finish(object);
        Some(ClassSettings {
            name: name?,
            aim: aim?,
            stretch: stretch?,
            patience: patience?,
            repeat: repeat?,
            in_order: in_order?,
            worth: worth?,
            late_worth: late_worth?,
            threads: threads?,
            holds: holds?,
            kinds,
            zones,
        })
    }

    fn repeat(&mut self, class: &mut Object<'_>) -> Option<RepeatSettings> {
        match self.required(class, "repeat")?.as_str() {
            Some("safe") => Some(RepeatSettings::Safe),
            Some("never") => Some(RepeatSettings::Never),
            _ => {
                self.reject(class.path_of("repeat"), "'safe' or 'never' is wanted");
                None
            }
        }
    }

    fn engines(&mut self, mut object: Object<'_>) -> Option<EngineSettings> {
        let max_attempts = self.count(&mut object, "max_attempts", 3);
        let budget = self.budget(&mut object);
        let probes = self.flag(&mut object, "probes", true);
        let reports = self.flag(&mut object, "reports", true);
        let tells_in_flight = self.flag(&mut object, "tells_in_flight", false);
        let bills = self.flag(&mut object, "bills", false);
        let cancel = self.flag(&mut object, "cancel", false);
        let priorities = self.flag(&mut object, "priorities", false);
        let ends = self.flag(&mut object, "ends", false);
        let pauses = self.flag(&mut object, "pauses", false);
        let notes_every = self.duration_or(&mut object, "notes_every", Duration::ZERO);
        let connect_within = self.duration_or(&mut object, "connect_within", millis(250));
        let poll_within = self.duration_or(&mut object, "poll_within", seconds(5));
        self.finish(object);
        Some(EngineSettings {
            max_attempts: u32::try_from(max_attempts?).ok()?,
            budget: budget?,
            probes: probes?,
            reports: reports?,
            tells_in_flight: tells_in_flight?,
            bills: bills?,
            cancel: cancel?,
            priorities: priorities?,
            ends: ends?,
            pauses: pauses?,
            notes_every: notes_every?,
            connect_within: connect_within?,
            poll_within: poll_within?,
        })
    }

    /// `Some(None)`: there is no budget.
    fn budget(&mut self, engines: &mut Object<'_>) -> Option<Option<BudgetSettings>> {
        let Some(value) = self.optional(engines, "budget") else {
            return Some(None);
        };
        let mut object = self.object(value, "engines.budget");
        let spare = self.number(&mut object, "spare", None);
        let ratio = self.number(&mut object, "ratio", None);
        let within = self.duration(&mut object, "within");
        self.finish(object);
        Some(Some(BudgetSettings {
            spare: spare?,
            ratio: ratio?,
            within: within?,
        }))
    }

    fn rules(&mut self, mut object: Object<'_>) -> Option<RuleSettings> {
        let start_capacity = self.number(&mut object, "start_capacity", None);
        let ramp = self.duration(&mut object, "ramp");
        let overload = self.number(&mut object, "overload", None);
        let fall = self.duration(&mut object, "fall");
        let order_pause = self.duration_or(&mut object, "order_pause", Duration::ZERO);
        let drain_grace = self.duration_or(&mut object, "drain_grace", seconds(1));
        self.finish(object);
        Some(RuleSettings {
            start_capacity: start_capacity?,
            ramp: ramp?,
            overload: overload?,
            fall: fall?,
            order_pause: order_pause?,
            drain_grace: drain_grace?,
        })
    }

    fn discovery(&mut self, mut object: Object<'_>) -> Option<DiscoverySettings> {
        let address = self.address(&mut object, "address");
        let environment = self.text(&mut object, "environment");
        let every = self.duration_or(&mut object, "every", millis(500));
        let state_every = self.duration_or(&mut object, "state_every", millis(500));
        let within = self.duration_or(&mut object, "within", seconds(1));
        self.finish(object);
        Some(DiscoverySettings {
            address: address?,
            environment: environment?,
            every: every?,
            state_every: state_every?,
            within: within?,
        })
    }

    fn runaways(
        &mut self,
        file: &mut Object<'_>,
        classes: Option<&[ClassSettings]>,
    ) -> Option<RunawaySettings> {
        let mut object = self.optional_child(file, "runaways");
        let acts = self.enforcement_by_class(&mut object, classes);
        let end_after = self.duration_or(&mut object, "end_after", seconds(10));
        let pause_for = self.duration_or(&mut object, "pause_for", seconds(10));
        let kinds = self.count(&mut object, "kinds", 4096);
        let save_every = self.duration_or(&mut object, "save_every", seconds(30));
        self.finish(object);
        Some(RunawaySettings {
            acts: acts?,
            end_after: end_after?,
            pause_for: pause_for?,
            kinds: kinds? as usize,
            save_every: save_every?,
        })
    }

    fn enforcement_by_class(
        &mut self,
        runaways: &mut Object<'_>,
        classes: Option<&[ClassSettings]>,
    ) -> Option<Vec<EnforcementOptions>> {
        let default = match self.optional(runaways, "acts") {
            None => Some(EnforcementOptions {
                name: true,
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
                None => self.reject(path, "is no class of this file"),
            }
        }
        by_class.into_iter().collect()
    }

    fn enforcement(&mut self, value: &Value, path: &str) -> Option<EnforcementOptions> {
        let mut options = EnforcementOptions::default();
        let Some(names) = value.as_array() else {
            self.reject(path, format!("a list of {ENFORCEMENT_NAMES} is wanted"));
            return None;
        };
        for (position, name) in names.iter().enumerate() {
            let option = match name.as_str() {
                Some("name") => &mut options.name,
                Some("hold") => &mut options.hold,
                Some("lower") => &mut options.lower,
                Some("pause") => &mut options.pause,
                Some("end") => &mut options.end,
                _ => {
                    self.reject(
                        format!("{path}[{position}]"),
                        format!("{name} is none of {ENFORCEMENT_NAMES}"),
                    );
                    return None;
                }
            };
            *option = true;
        }
        Some(options)
    }

    /// `Some(None)`: this router takes no part in coordination.
    fn agreement(&mut self, file: &mut Object<'_>) -> Option<Option<AgreementSettings>> {
        if self.optional(file, "agreement").is_none() {
            return Some(None);
        }
        let mut object = self.child(file, "agreement")?;
        let keepers = self.replica_addresses(&mut object);
        let secret = self.text(&mut object, "secret");
        let permit = self.duration_or(&mut object, "permit", DEFAULT_LEASE_TERM);
        let drift = self.count(&mut object, "drift", 1000);
        let default_interval = permit.map_or(DEFAULT_RENEWAL_INTERVAL, |term| {
            millis(term.as_millis() as u64 / RENEWALS_PER_TERM)
        });
        let ask_every = self.duration_or(&mut object, "ask_every", default_interval);
        self.finish(object);
        Some(Some(AgreementSettings {
            keepers: keepers?,
            secret: PathBuf::from(secret?),
            permit: permit?,
            drift: drift?,
            ask_every: ask_every?,
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
                "a list of at least one address, such as '127.0.0.1:7401', is wanted",
            );
        }
        addresses
    }

    fn limits(&mut self, mut object: Object<'_>) -> Option<LimitSettings> {
        let statements = self.count(&mut object, "statements", 50_000);
        let answered = self.count(&mut object, "answered", 50_000);
        let keep = self.duration_or(&mut object, "keep", seconds(60));
        let connections = self.count(&mut object, "connections", 32_768);
        let statement_bytes = self.count(&mut object, "statement_bytes", 1 << 20);
        let incoming_bytes = self.count(&mut object, "incoming_bytes", 256 << 20);
        let page_bytes = self.count(&mut object, "page_bytes", 16 << 20);
        let held_bytes = self.count(&mut object, "held_bytes", 512 << 20);
        let long_poll = self.duration_or(&mut object, "long_poll", seconds(1));
        let abandon_after = self.duration_or(&mut object, "abandon_after", seconds(30));
        let hold_off = self.duration_or(&mut object, "hold_off", seconds(2));
        let drain_within = self.duration_or(&mut object, "drain_within", seconds(30));
        let tick = self.duration_or(&mut object, "tick", millis(1));
        self.finish(object);
        Some(LimitSettings {
            statements: statements? as usize,
            answered: answered? as usize,
            keep: keep?,
            connections: connections? as usize,
            statement_bytes: statement_bytes?,
            incoming_bytes: incoming_bytes?,
            page_bytes: page_bytes?,
            held_bytes: held_bytes?,
            long_poll: long_poll?,
            abandon_after: abandon_after?,
            hold_off: hold_off?,
            drain_within: drain_within?,
            tick: tick?,
        })
    }
}
