//! A fleet of processes for a test. It has client load throughout, and its records are checked against the rules at the end.
#![allow(dead_code)] // Not every test binary uses all of it.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use hoptiller_audit::{Record, Rules, SentVersions, Verdict, VersionRules, judge};
use hoptiller_coordination::{ConfigDuration, Document};
use hoptiller_coordination_client::wire::ProposalResponse;
use hoptiller_fault_harness::{
    ClientLoad, ClientLoadConfig, EngineSpec, TestFleet, Topology, WorkloadClass,
};
use serde_json::json;

/// Term of leases.
pub const LEASE_TERM: Duration = Duration::from_secs(2);
/// Timeout of each wait; far above the usual duration, also on a loaded machine.
pub const TIMEOUT: Duration = Duration::from_secs(60);
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);

pub fn program() -> PathBuf {
    env!("CARGO_BIN_EXE_hoptiller").into()
}

/// Returns a document under which reports run on the given machine kinds, with the given maximum of attempts.
pub fn document(report_kinds: &[&str], max_attempts: u32) -> Document {
    let value = json!({
        "form": 1, "kinds": { "a": 8, "b": 8 }, "zones": ["x"],
        "classes": {
            "lookup": { "aim": "1.5s", "patience": "7.5s", "repeat": "safe" },
            "report": { "aim": "2s", "patience": "20s", "repeat": "safe", "kinds": report_kinds },
            "rent-load": { "aim": "3s", "patience": "20s", "repeat": "never", "holds": true },
        },
        "default_class": "lookup",
        "engines": { "max_attempts": max_attempts },
        "rules": { "start_capacity": 0.3, "ramp": "4s", "overload": 3, "fall": "2s" },
    });
    Document::from_json(value.to_string().as_bytes()).expect("a good document")
}

fn settings() -> serde_json::Value {
    let class = |name: &str, repeat: &str| json!({ "name": name, "aim": "2s", "patience": "20s", "repeat": repeat });
    json!({
        "kinds": { "a": 8, "b": 8 }, "zones": ["x"],
        "classes": [class("lookup", "safe"), class("report", "safe"), class("rent-load", "never")],
        "default_class": "lookup", "engines": { "max_attempts": 3 },
        "rules": { "start_capacity": 0.3, "ramp": "4s", "overload": 3, "fall": "2s" },
        "discovery": { "address": "127.0.0.1:1", "environment": "lettings", "every": "200ms", "state_every": "200ms" },
    })
}

/// A fleet with client load.
pub struct FleetFixture {
    pub fleet: TestFleet,
    load: Option<ClientLoad>,
    pub dir: PathBuf,
}

impl FleetFixture {
    /// Starts three replicas and routers that enforce a first version, and clients that submit statements throughout.
    pub fn new(name: &str, routers: usize, change: impl FnOnce(&mut Topology)) -> FleetFixture {
        FleetFixture::with_first_version(name, routers, &document(&["a"], 3), change)
    }

    /// Starts the same fleet with the given first version.
    pub fn with_first_version(
        name: &str,
        routers: usize,
        first: &Document,
        change: impl FnOnce(&mut Topology),
    ) -> FleetFixture {
        let dir =
            std::env::temp_dir().join(format!("hoptiller-fleet-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&dir);
        let engine = |kind: &str| EngineSpec {
            kind: kind.into(),
            zone: "x".into(),
            speed: Some(8.0),
            enforces_fencing: false,
        };
        let mut topology = Topology {
            engines: ["a", "b", "a", "b"].map(engine).into(),
            router_settings: settings(),
            lease_term: LEASE_TERM,
            ..Topology::new(3, routers)
        };
        change(&mut topology);
        let mut fleet = TestFleet::new(topology, &program(), &dir).expect("set up");
        fleet
            .start_with_first_version(first, TIMEOUT)
            .expect("the first version");
        fleet.start_routers(TIMEOUT).expect("all enforce it");
        let load = ClientLoad::start(&client_load(), 1, fleet.recorder()).expect("clients");
        load.set_routers(fleet.running_routers());
        FleetFixture {
            fleet,
            load: Some(load),
            dir,
        }
    }

    /// Proposes a document until it is accepted, and returns its version.
    pub fn propose(&mut self, change: &str, document: &Document) -> u64 {
        let mut version = 0;
        let accepted =
            self.fleet
                .wait_until(TIMEOUT, |fleet| match fleet.propose(change, document) {
                    Ok(ProposalResponse::Accepted(number)) => {
                        version = number;
                        true
                    }
                    _ => false,
                });
        assert!(accepted, "{change} was not accepted");
        version
    }

    /// Directs the clients to the routers that run now.
    pub fn update_client_routers(&self) {
        self.load
            .iter()
            .for_each(|load| load.set_routers(self.fleet.running_routers()));
    }

    pub fn records(&self) -> Vec<Record> {
        self.fleet.recorder().records().expect("recorded")
    }

    /// Returns the versions of each attempt of a router that engines recorded.
    pub fn attempts(&self, router: &str) -> Vec<SentVersions> {
        let versions_of = |record: Record| match record {
            Record::Sent {
                router: sender,
                versions,
                ..
            } if sender == router => versions,
            _ => None,
        };
        self.records().into_iter().filter_map(versions_of).collect()
    }

    /// Waits until engines have recorded an attempt of a router that matches.
    pub fn wait_for_attempt(
        &mut self,
        router: &str,
        matches: impl Fn(&SentVersions) -> bool,
    ) -> bool {
        self.wait_until(|fixture| fixture.attempts(router).iter().any(&matches))
    }

    /// Waits until engines have recorded an attempt of a router under these versions, or later ones.
    pub fn wait_for_attempt_under(&mut self, router: &str, in_force: u64, enforced: u64) -> bool {
        self.wait_for_attempt(router, |versions| {
            versions.in_force >= in_force && versions.enforced >= enforced
        })
    }

    /// Waits until engines have recorded an attempt of a router that was in doubt.
    pub fn wait_for_attempt_in_doubt(&mut self, router: &str) -> bool {
        self.wait_for_attempt(router, |versions| versions.in_doubt)
    }

    /// Waits until a condition holds, and returns whether it does within the timeout.
    pub fn wait_until(&mut self, condition: impl Fn(&FleetFixture) -> bool) -> bool {
        self.wait_until_deadline(Instant::now() + TIMEOUT, condition)
    }

    /// Waits until a condition holds, up to a deadline that several conditions can share.
    pub fn wait_until_deadline(
        &mut self,
        deadline: Instant,
        condition: impl Fn(&FleetFixture) -> bool,
    ) -> bool {
        while Instant::now() < deadline {
            if condition(self) {
                return true;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        false
    }

    /// Restores the links, lets clients finish, and checks that the records violate no rule.
    pub fn finish(mut self) -> FleetResult {
        self.fleet.restore_links();
        self.load.take().into_iter().for_each(ClientLoad::finish);
        let records = self.records();
        let verdict = judge(&records, &rules());
        let violations: Vec<_> = verdict.violations.iter().take(5).collect();
        assert!(
            verdict.violations.is_empty(),
            "{} violations: {violations:?}",
            verdict.violations.len()
        );
        assert!(verdict.overlap.is_some(), "nothing was sent under versions");
        FleetResult { records, verdict }
    }
}

/// The records of a fleet, and the verdict on them.
pub struct FleetResult {
    pub records: Vec<Record>,
    pub verdict: Verdict,
}

fn client_load() -> ClientLoadConfig {
    let mix = |class: &str, weight, text: &str| WorkloadClass {
        class: class.into(),
        weight,
        text: text.into(),
        timeout: ConfigDuration::from_millis(7500),
    };
    ClientLoadConfig {
        count: 12,
        pause: ConfigDuration::from_millis(60),
        mix: vec![
            mix("lookup", 6, "SELECT 1"),
            mix("report", 3, "SELECT 2"),
            mix("rent-load", 1, "INSERT 3"),
        ],
    }
}

fn rules() -> Rules {
    Rules {
        classes: Default::default(),
        drain_grace: u64::MAX,
        max_attempts: 3,
        order_pause: 0,
        retry_budget: None,
        // Engines record attempts only when they get to run, so short overlaps are no violation. A real one lasts for a
        // lease term.
        versions: Some(VersionRules {
            max_overlap: 500_000,
            ..VersionRules::default()
        }),
    }
}

impl Drop for FleetFixture {
    fn drop(&mut self) {
        self.load.take().into_iter().for_each(ClientLoad::finish);
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}
