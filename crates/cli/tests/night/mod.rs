//! A fleet of processes for a test, with clients throughout, judged when it ends.
#![allow(dead_code)] // Not every test file has a use for all of it.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use hoptiller_audit::{Record, Rules, Verdict, VersionRules, judge};
use hoptiller_coordination::{ConfigDuration, Document};
use hoptiller_coordination_client::wire::ProposalResponse;
use hoptiller_fault_harness::stage::EnginePlan;
use hoptiller_fault_harness::{Clients, Crowd, Layout, Mix, Stage};
use serde_json::json;

pub const PERMIT: Duration = Duration::from_secs(2);
/// Far longer than anything here takes.
pub const LONG: Duration = Duration::from_secs(60);

pub fn program() -> PathBuf {
    env!("CARGO_BIN_EXE_hoptiller").into()
}

/// Reports on some kinds, and so many attempts.
pub fn document(report_kinds: &[&str], attempts: u32) -> Document {
    let value = json!({
        "form": 1, "kinds": { "a": 8, "b": 8 }, "zones": ["x"],
        "classes": {
            "lookup": { "aim": "1.5s", "patience": "7.5s", "repeat": "safe" },
            "report": { "aim": "2s", "patience": "20s", "repeat": "safe", "kinds": report_kinds },
            "rent-load": { "aim": "3s", "patience": "20s", "repeat": "never", "holds": true },
        },
        "default_class": "lookup",
        "engines": { "max_attempts": attempts },
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

/// A stage with its clients.
pub struct Night {
    pub stage: Stage,
    crowd: Option<Crowd>,
    pub dir: PathBuf,
}

impl Night {
    /// Keepers, and routers that heed the first version; clients go on throughout.
    pub fn new(name: &str, routers: usize, change: impl FnOnce(&mut Layout)) -> Night {
        Night::with(name, routers, &document(&["a"], 3), change)
    }

    /// The same with another first version.
    pub fn with(
        name: &str,
        routers: usize,
        first: &Document,
        change: impl FnOnce(&mut Layout),
    ) -> Night {
        let dir =
            std::env::temp_dir().join(format!("hoptiller-fleet-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&dir);
        let engine = |kind: &str| EnginePlan {
            kind: kind.into(),
            zone: "x".into(),
            speed: 8.0,
            fences: false,
        };
        let mut layout = Layout {
            keepers: 3,
            routers,
            engines: ["a", "b", "a", "b"].map(engine).into(),
            settings: settings(),
            permit: PERMIT,
            drift: 1000,
            router_skews: Vec::new(),
            keeper_skews: Vec::new(),
            most_bytes: None,
            agreement: true,
        };
        change(&mut layout);
        let mut stage = Stage::new(layout, &program(), &dir).expect("set up");
        stage.start().expect("keepers run");
        assert!(
            stage.until(LONG, |s| matches!(
                s.put("first", first),
                Ok(ProposalResponse::Accepted(1))
            )),
            "the first version"
        );
        for router in 0..routers {
            stage.start_router(router).expect("a router runs");
        }
        assert!(stage.until_heeded(routers, 1, LONG), "all heed it");
        let mix = |class: &str, part, text: &str| Mix {
            class: class.into(),
            part,
            text: text.into(),
            patience: ConfigDuration::from_millis(7500),
        };
        let clients = Clients {
            count: 12,
            pause: ConfigDuration::from_millis(60),
            mix: vec![
                mix("lookup", 6, "SELECT 1"),
                mix("report", 3, "SELECT 2"),
                mix("rent-load", 1, "INSERT 3"),
            ],
        };
        let crowd = Crowd::start(&clients, 1, &stage.recorder).expect("clients");
        crowd.reach(stage.running_routers());
        Night {
            stage,
            crowd: Some(crowd),
            dir,
        }
    }

    pub fn put(&mut self, change: &str, document: &Document) -> u64 {
        let mut number = 0;
        let taken = self.stage.until(LONG, |s| match s.put(change, document) {
            Ok(ProposalResponse::Accepted(n)) => {
                number = n;
                true
            }
            _ => false,
        });
        assert!(taken, "{change} was not taken");
        number
    }

    pub fn reach(&self) {
        self.crowd
            .iter()
            .for_each(|c| c.reach(self.stage.running_routers()));
    }

    /// Acts of a router that engines recorded, with the versions of each.
    pub fn acts(&self, router: &str) -> Vec<(u64, u64, bool)> {
        let all = self.stage.recorder.records().expect("recorded");
        let of = |r: &Record| match r {
            Record::Sent {
                router: by,
                versions: Some(v),
                ..
            } if by == router => Some((v.in_force, v.enforced, v.in_doubt)),
            _ => None,
        };
        all.iter().filter_map(of).collect()
    }

    /// Waits until engines have recorded an act of a router under these versions, or ones after.
    pub fn until_act(&mut self, router: &str, in_force: u64, heeds: u64) -> bool {
        let (end, mut seen) = (Instant::now() + LONG, false);
        while !seen && Instant::now() < end {
            seen = self
                .acts(router)
                .iter()
                .any(|(f, h, _)| *f >= in_force && *h >= heeds);
            std::thread::sleep(Duration::from_millis(20));
        }
        seen
    }

    /// Ends the night, and judges it.
    pub fn judged(self) -> Vec<Record> {
        self.verdict().0
    }

    /// The same, with the verdict.
    pub fn verdict(mut self) -> (Vec<Record>, Verdict) {
        self.stage.heal();
        self.crowd.take().into_iter().for_each(Crowd::finish);
        let records = self.stage.recorder.records().expect("recorded");
        let rules = Rules {
            classes: Default::default(),
            drain_grace: u64::MAX,
            max_attempts: 3,
            order_pause: 0,
            retry_budget: None,
            // Engines record what comes when they get to run; acts that overlap overlap for a permit.
            versions: Some(VersionRules {
                max_overlap: 500_000,
                ..VersionRules::default()
            }),
        };
        let verdict = judge(&records, &rules);
        let broken: Vec<_> = verdict.violations.iter().take(5).collect();
        assert!(
            verdict.violations.is_empty(),
            "{} breaks: {broken:?}",
            verdict.violations.len()
        );
        assert!(verdict.overlap.is_some(), "nothing was sent under versions");
        (records, verdict)
    }
}

impl Drop for Night {
    fn drop(&mut self) {
        self.crowd.take().into_iter().for_each(Crowd::finish);
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}
