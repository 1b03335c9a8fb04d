//! Owns the way from a JSON value to the types: every key is asked for once, what nobody asked for is unknown,
//! and each problem is noted with its key path instead of ending the reading.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use serde_json::Value;

use super::*;

/// Walks a value and gathers problems.
pub(super) struct Reader<'a> {
    name: &'a str,
    pub(super) problems: Vec<Problem>,
}

/// An object at a path, with the keys asked for so far.
struct Object<'v> {
    path: String,
    fields: Option<&'v serde_json::Map<String, Value>>,
    asked: BTreeSet<&'static str>,
}

impl Object<'_> {
    fn at(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }
}

const ACTS: &str = "'name', 'hold', 'lower', 'pause', 'end'";
const DURATION: &str = "a duration with its unit is wanted, such as '250ms', '1.5s' or '2m'";

impl<'a> Reader<'a> {
    pub(super) fn new(name: &'a str) -> Reader<'a> {
        Reader {
            name,
            problems: Vec::new(),
        }
    }

    fn note(&mut self, path: String, what: impl Into<String>) {
        self.problems.push(Problem {
            place: format!("{}: {path}", self.name),
            what: what.into(),
        });
    }

    fn object<'v>(&mut self, value: &'v Value, path: &str) -> Object<'v> {
        let fields = value.as_object();
        if fields.is_none() && !value.is_null() {
            self.note(path.to_owned(), "an object is wanted");
        }
        Object {
            path: path.to_owned(),
            fields,
            asked: BTreeSet::new(),
        }
    }

    /// The object under a key; required ones that are missing are noted once, not for each of their keys.
    fn child<'v>(&mut self, of: &mut Object<'v>, key: &'static str) -> Option<Object<'v>> {
        let value = self.require(of, key)?;
        let path = of.at(key);
        let child = self.object(value, &path);
        child.fields.is_some().then_some(child)
    }

    fn optional<'v>(&mut self, of: &mut Object<'v>, key: &'static str) -> Option<&'v Value> {
        of.asked.insert(key);
        of.fields.and_then(|f| f.get(key)).filter(|v| !v.is_null())
    }

    fn require<'v>(&mut self, of: &mut Object<'v>, key: &'static str) -> Option<&'v Value> {
        let value = self.optional(of, key);
        if value.is_none() {
            self.note(of.at(key), "missing");
        }
        value
    }

    fn done(&mut self, object: Object<'_>) {
        let keys = object.fields.into_iter().flat_map(|f| f.keys());
        let unknown: Vec<&String> = keys
            .filter(|k| !object.asked.contains(k.as_str()))
            .collect();
        for key in unknown {
            let near = object
                .asked
                .iter()
                .min_by_key(|a| distance(a, key))
                .filter(|a| distance(a, key) <= 3);
            let hint = near.map_or(String::new(), |n| format!("; is {n:?} meant?"));
            self.note(object.at(key), format!("unknown key{hint}"));
        }
    }

    fn text(&mut self, of: &mut Object<'_>, key: &'static str) -> Option<String> {
        let value = self.require(of, key)?;
        match value.as_str() {
            Some(text) if !text.is_empty() && text.len() <= 128 => Some(text.to_owned()),
            _ => {
                self.note(of.at(key), "a text of 1 to 128 bytes is wanted");
                None
            }
        }
    }

    fn address(&mut self, of: &mut Object<'_>, key: &'static str) -> Option<SocketAddr> {
        let text = self.text(of, key)?;
        let parsed = text.parse().ok();
        if parsed.is_none() {
            self.note(
                of.at(key),
                format!("{text:?} is no address; such as '127.0.0.1:8080' is wanted"),
            );
        }
        parsed
    }

    fn number(
        &mut self,
        of: &mut Object<'_>,
        key: &'static str,
        usual: Option<f64>,
    ) -> Option<f64> {
        let value = match usual {
            None => self.require(of, key)?,
            Some(usual) => match self.optional(of, key) {
                None => return Some(usual),
                Some(value) => value,
            },
        };
        let number = value.as_f64().filter(|n| n.is_finite() && *n >= 0.0);
        if number.is_none() {
            self.note(of.at(key), "a number of 0 or more is wanted");
        }
        number
    }

    fn count(&mut self, of: &mut Object<'_>, key: &'static str, usual: Option<u64>) -> Option<u64> {
        let value = match usual {
            None => self.require(of, key)?,
            Some(usual) => match self.optional(of, key) {
                None => return Some(usual),
                Some(value) => value,
            },
        };
        // Jsonnet knows only floating numbers; a whole one is written without a fraction.
        let number = value.as_u64().or_else(|| {
            value
                .as_f64()
                .filter(|n| *n >= 0.0 && n.fract() == 0.0 && *n < 9e15)
                .map(|n| n as u64)
        });
        if number.is_none() {
            self.note(of.at(key), "a whole number of 0 or more is wanted");
        }
        number
    }

    fn flag(&mut self, of: &mut Object<'_>, key: &'static str, usual: bool) -> Option<bool> {
        match self.optional(of, key) {
            None => Some(usual),
            Some(value) => {
                if !value.is_boolean() {
                    self.note(of.at(key), "true or false is wanted");
                }
                value.as_bool()
            }
        }
    }

    fn duration(
        &mut self,
        of: &mut Object<'_>,
        key: &'static str,
        usual: Option<&str>,
    ) -> Option<Duration> {
        let value = match usual {
            None => self.require(of, key)?,
            Some(usual) => match self.optional(of, key) {
                None => return hoptiller_statement::parse_duration(usual),
                Some(value) => value,
            },
        };
        let parsed = value.as_str().and_then(hoptiller_statement::parse_duration);
        if parsed.is_none() {
            self.note(of.at(key), format!("{value} is no duration; {DURATION}"));
        }
        parsed
    }

    /// Numbers of the names in a list; `None` where the key is absent.
    fn names(
        &mut self,
        of: &mut Object<'_>,
        key: &'static str,
        known: &[String],
    ) -> Option<Vec<usize>> {
        let value = self.optional(of, key)?;
        let path = of.at(key);
        let Some(list) = value.as_array().filter(|l| !l.is_empty()) else {
            self.note(path, "a list of at least one name is wanted");
            return None;
        };
        let mut numbers = Vec::new();
        for (at, name) in list.iter().enumerate() {
            match name
                .as_str()
                .and_then(|n| known.iter().position(|k| k == n))
            {
                Some(number) => numbers.push(number),
                None => {
                    let known = known.join(", ");
                    self.note(
                        format!("{path}[{at}]"),
                        format!("{name} is none of the names known: {known}"),
                    );
                }
            }
        }
        Some(numbers)
    }

    /// Pairs of name and number from an object.
    fn pairs(
        &mut self,
        of: &mut Object<'_>,
        key: &'static str,
        needed: bool,
    ) -> Option<Vec<(String, f64)>> {
        let value = if needed {
            self.require(of, key)?
        } else {
            self.optional(of, key)?
        };
        let path = of.at(key);
        let Some(fields) = value.as_object() else {
            self.note(path, "an object of names and numbers is wanted");
            return None;
        };
        let mut pairs = Vec::new();
        for (name, value) in fields {
            match value.as_f64().filter(|n| n.is_finite() && *n > 0.0) {
                Some(number) => pairs.push((name.clone(), number)),
                None => self.note(format!("{path}.{name}"), "a number over 0 is wanted"),
            }
        }
        Some(pairs)
    }

    pub(super) fn settings(&mut self, value: &Value) -> Option<Settings> {
        let mut top = self.object(value, "");
        if top.fields.is_none() {
            self.note("(whole file)".into(), "an object is wanted");
            return None;
        }
        let router = self.child(&mut top, "router").and_then(|o| self.router(o));
        let kinds = self.pairs(&mut top, "kinds", true);
        let zones = self.zones(&mut top);
        let tenants = self.pairs(&mut top, "tenants", false).unwrap_or_default();
        let kind_names: Vec<String> = kinds.iter().flatten().map(|k| k.0.clone()).collect();
        let classes = self.classes(&mut top, &kind_names, &zones);
        let default = self.text(&mut top, "default_class");
        let engines = self
            .child(&mut top, "engines")
            .and_then(|o| self.engines(o));
        let rules = self.child(&mut top, "rules").and_then(|o| self.rules(o));
        let discovery = self
            .child(&mut top, "discovery")
            .and_then(|o| self.discovery(o));
        let runaways = self.runaways(&mut top, &classes);
        let agreement = self.agreement(&mut top);
        let path = top.at("limits");
        let limits = self.optional(&mut top, "limits").unwrap_or(&Value::Null);
        let limits = self.object(limits, &path);
        let limits = self.limits(limits);
        self.done(top);
        let (classes, default) = (classes?, default?);
        let default_class = classes.iter().position(|c| c.name == default);
        if default_class.is_none() {
            self.note(
                "default_class".into(),
                format!("{default:?} is no class of this file"),
            );
        }
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

    /// `Some(None)`: there is none.
    fn agreement(&mut self, top: &mut Object<'_>) -> Option<Option<AgreementSettings>> {
        if self.optional(top, "agreement").is_none() {
            return Some(None);
        }
        let mut o = self.child(top, "agreement")?;
        let path = o.at("keepers");
        let list = self
            .require(&mut o, "keepers")
            .and_then(|v| v.as_array())
            .filter(|l| !l.is_empty());
        let keepers: Option<Vec<SocketAddr>> = list.and_then(|l| {
            l.iter()
                .map(|a| a.as_str().and_then(|t| t.parse().ok()))
                .collect()
        });
        if keepers.is_none() {
            self.note(
                path,
                "a list of at least one address, such as '127.0.0.1:7401', is wanted",
            );
        }
        let secret = self.text(&mut o, "secret");
        let permit = self.duration(&mut o, "permit", Some("10s"));
        let drift = self.count(&mut o, "drift", Some(1000));
        // News is heard at once; so often the permit is prolonged.
        let usual = permit.map(|p| format!("{}ms", p.as_millis() / 5));
        let ask_every = self.duration(&mut o, "ask_every", usual.as_deref().or(Some("1s")));
        self.done(o);
        Some(Some(AgreementSettings {
            keepers: keepers?,
            secret: PathBuf::from(secret?),
            permit: permit?,
            drift: drift?,
            ask_every: ask_every?,
        }))
    }

    fn zones(&mut self, top: &mut Object<'_>) -> Vec<String> {
        let Some(value) = self.optional(top, "zones") else {
            return Vec::new();
        };
        let names = value
            .as_array()
            .and_then(|l| l.iter().map(|z| z.as_str().map(str::to_owned)).collect());
        if names.is_none() {
            self.note("zones".into(), "a list of names is wanted");
        }
        names.unwrap_or_default()
    }

    fn router(&mut self, mut o: Object<'_>) -> Option<RouterSettings> {
        let name = self.text(&mut o, "name");
        let index = self.count(&mut o, "index", Some(0));
        let of = self.count(&mut o, "of", Some(1));
        let listen = self.address(&mut o, "listen");
        let admin = match self.optional(&mut o, "admin") {
            None => Some(None),
            Some(_) => self.address(&mut o, "admin").map(Some),
        };
        let state = match self.optional(&mut o, "state") {
            None => None,
            Some(_) => Some(PathBuf::from(self.text(&mut o, "state")?)),
        };
        let seed = self.count(&mut o, "seed", Some(1));
        self.done(o);
        let (index, of) = (u32::try_from(index?).ok()?, u32::try_from(of?).ok()?);
        Some(RouterSettings {
            name: name?,
            index,
            of,
            listen: listen?,
            admin: admin?,
            state,
            seed: seed?,
        })
    }

    fn classes(
        &mut self,
        top: &mut Object<'_>,
        kinds: &[String],
        zones: &[String],
    ) -> Option<Vec<ClassSettings>> {
        let value = self.require(top, "classes")?;
        let Some(list) = value.as_array().filter(|l| !l.is_empty()) else {
            self.note("classes".into(), "a list of at least one class is wanted");
            return None;
        };
        let read: Vec<Option<ClassSettings>> = list
            .iter()
            .enumerate()
            .map(|(at, value)| {
                let o = self.object(value, &format!("classes[{at}]"));
                self.class(o, kinds, zones)
            })
            .collect();
        read.into_iter().collect()
    }

    fn class(
        &mut self,
        mut o: Object<'_>,
        kinds: &[String],
        zones: &[String],
    ) -> Option<ClassSettings> {
        let name = self.text(&mut o, "name");
        let aim = self.duration(&mut o, "aim", None);
        let stretch = self.number(&mut o, "stretch", Some(0.0));
        let patience = self.duration(&mut o, "patience", None);
        let repeat = match self.require(&mut o, "repeat").map(|v| v.as_str()) {
            Some(Some("safe")) => Some(RepeatSettings::Safe),
            Some(Some("never")) => Some(RepeatSettings::Never),
            Some(_) => {
                self.note(o.at("repeat"), "'safe' or 'never' is wanted");
                None
            }
            None => None,
        };
        let in_order = self.flag(&mut o, "in_order", false);
        let worth = self.number(&mut o, "worth", Some(1.0));
        let late_worth = self.number(&mut o, "late_worth", Some(0.0));
        let threads = self.number(&mut o, "threads", Some(1.0));
        let holds = self.flag(&mut o, "holds", false);
        let kinds = self.names(&mut o, "kinds", kinds);
        let zones = self.names(&mut o, "zones", zones);
        self.done(o);
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

    fn engines(&mut self, mut o: Object<'_>) -> Option<EngineSettings> {
        let max_attempts = self.count(&mut o, "max_attempts", Some(3));
        let budget = match self.optional(&mut o, "budget") {
            None => Some(None),
            Some(value) => {
                let mut b = self.object(value, "engines.budget");
                let spare = self.number(&mut b, "spare", None);
                let ratio = self.number(&mut b, "ratio", None);
                let within = self.duration(&mut b, "within", None);
                self.done(b);
                match (spare, ratio, within) {
                    (Some(spare), Some(ratio), Some(within)) => Some(Some(BudgetSettings {
                        spare,
                        ratio,
                        within,
                    })),
                    _ => None,
                }
            }
        };
        let probes = self.flag(&mut o, "probes", true);
        let reports = self.flag(&mut o, "reports", true);
        let tells_in_flight = self.flag(&mut o, "tells_in_flight", false);
        let bills = self.flag(&mut o, "bills", false);
        let cancel = self.flag(&mut o, "cancel", false);
        let priorities = self.flag(&mut o, "priorities", false);
        let ends = self.flag(&mut o, "ends", false);
        let pauses = self.flag(&mut o, "pauses", false);
        let notes_every = self.duration(&mut o, "notes_every", Some("0s"));
        let connect_within = self.duration(&mut o, "connect_within", Some("250ms"));
        let poll_within = self.duration(&mut o, "poll_within", Some("5s"));
        self.done(o);
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

    fn rules(&mut self, mut o: Object<'_>) -> Option<RuleSettings> {
        let start_capacity = self.number(&mut o, "start_capacity", None);
        let ramp = self.duration(&mut o, "ramp", None);
        let overload = self.number(&mut o, "overload", None);
        let fall = self.duration(&mut o, "fall", None);
        let order_pause = self.duration(&mut o, "order_pause", Some("0s"));
        let drain_grace = self.duration(&mut o, "drain_grace", Some("1s"));
        self.done(o);
        Some(RuleSettings {
            start_capacity: start_capacity?,
            ramp: ramp?,
            overload: overload?,
            fall: fall?,
            order_pause: order_pause?,
            drain_grace: drain_grace?,
        })
    }

    fn runaways(
        &mut self,
        top: &mut Object<'_>,
        classes: &Option<Vec<ClassSettings>>,
    ) -> Option<RunawaySettings> {
        let value = self.optional(top, "runaways").unwrap_or(&Value::Null);
        let mut o = self.object(value, "runaways");
        let usual = hoptiller_runaway::EnforcementOptions {
            name: true,
            hold: true,
            ..Default::default()
        };
        let usual = match self.optional(&mut o, "acts") {
            None => Some(usual),
            Some(value) => self.acts(value, "runaways.acts".into()),
        };
        let mut acts: Vec<Option<hoptiller_runaway::EnforcementOptions>> =
            vec![usual; classes.as_ref().map_or(0, Vec::len)];
        let by_class = self.optional(&mut o, "classes").unwrap_or(&Value::Null);
        let by_class = self.object(by_class, "runaways.classes");
        for (name, value) in by_class.fields.into_iter().flatten() {
            let path = by_class.at(name);
            match classes.iter().flatten().position(|c| c.name == *name) {
                Some(at) => acts[at] = self.acts(value, path),
                None if classes.is_some() => self.note(path, "is no class of this file"),
                None => {}
            }
        }
        let end_after = self.duration(&mut o, "end_after", Some("10s"));
        let pause_for = self.duration(&mut o, "pause_for", Some("10s"));
        let kinds = self.count(&mut o, "kinds", Some(4096));
        let save_every = self.duration(&mut o, "save_every", Some("30s"));
        self.done(o);
        Some(RunawaySettings {
            acts: acts.into_iter().collect::<Option<_>>()?,
            end_after: end_after?,
            pause_for: pause_for?,
            kinds: kinds? as usize,
            save_every: save_every?,
        })
    }

    fn acts(
        &mut self,
        value: &Value,
        path: String,
    ) -> Option<hoptiller_runaway::EnforcementOptions> {
        let mut acts = hoptiller_runaway::EnforcementOptions::default();
        let Some(list) = value.as_array() else {
            self.note(path, format!("a list of {ACTS} is wanted"));
            return None;
        };
        for (at, word) in list.iter().enumerate() {
            let slot = match word.as_str() {
                Some("name") => &mut acts.name,
                Some("hold") => &mut acts.hold,
                Some("lower") => &mut acts.lower,
                Some("pause") => &mut acts.pause,
                Some("end") => &mut acts.end,
                _ => {
                    self.note(format!("{path}[{at}]"), format!("{word} is none of {ACTS}"));
                    return None;
                }
            };
            *slot = true;
        }
        Some(acts)
    }

    fn discovery(&mut self, mut o: Object<'_>) -> Option<DiscoverySettings> {
        let address = self.address(&mut o, "address");
        let environment = self.text(&mut o, "environment");
        let every = self.duration(&mut o, "every", Some("500ms"));
        let state_every = self.duration(&mut o, "state_every", Some("500ms"));
        let within = self.duration(&mut o, "within", Some("1s"));
        self.done(o);
        Some(DiscoverySettings {
            address: address?,
            environment: environment?,
            every: every?,
            state_every: state_every?,
            within: within?,
        })
    }

    fn limits(&mut self, mut o: Object<'_>) -> Option<LimitSettings> {
        let statements = self.count(&mut o, "statements", Some(50_000));
        let answered = self.count(&mut o, "answered", Some(50_000));
        let keep = self.duration(&mut o, "keep", Some("60s"));
        let connections = self.count(&mut o, "connections", Some(32_768));
        let statement_bytes = self.count(&mut o, "statement_bytes", Some(1 << 20));
        let incoming_bytes = self.count(&mut o, "incoming_bytes", Some(256 << 20));
        let page_bytes = self.count(&mut o, "page_bytes", Some(16 << 20));
        let held_bytes = self.count(&mut o, "held_bytes", Some(512 << 20));
        let long_poll = self.duration(&mut o, "long_poll", Some("1s"));
        let abandon_after = self.duration(&mut o, "abandon_after", Some("30s"));
        let hold_off = self.duration(&mut o, "hold_off", Some("2s"));
        let drain_within = self.duration(&mut o, "drain_within", Some("30s"));
        let tick = self.duration(&mut o, "tick", Some("1ms"));
        self.done(o);
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

/// Edits between two words, for hints.
fn distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().take(64).collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.chars().enumerate() {
        let mut left = i + 1;
        for (j, y) in b.iter().enumerate() {
            let next = (row[j] + usize::from(x != *y))
                .min(left + 1)
                .min(row[j + 1] + 1);
            row[j] = left;
            left = next;
        }
        row[b.len()] = left;
    }
    row[b.len()]
}
