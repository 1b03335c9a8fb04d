//! A whole path on loopback: discovery, engines, a router, scripted clients, and the auditor behind them.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use futures_lite::future;
use hoptiller_audit::{Record, Recorder, Verdict, judge};
use hoptiller_http::{Method, Request, Response};
use hoptiller_mock_servers::ServerThread;
use hoptiller_mock_servers::client::{Client, ClientOptions, ClientOutcome, ClientRequest};
use hoptiller_mock_servers::discovery::DiscoveryConfig;
use hoptiller_mock_servers::engine::EngineConfig;
use hoptiller_mock_servers::ledger::Ledger;
use hoptiller_statement_router::{Service, Settings};
use serde_json::{Value, json};

const EXAMPLE: &str = include_str!("../../../../examples/derby.jsonnet");

pub struct Stage {
    /// How much longer clients wait than they say.
    lenience: Duration,
    pub recorder: Recorder,
    pub ledger: Ledger,
    pub discovery: DiscoveryConfig,
    pub engines: Vec<EngineConfig>,
    running: Mutex<Vec<Option<ServerThread>>>,
    discovery_running: ServerThread,
    router: Option<ServerThread>,
    pub addr: SocketAddr,
    pub settings: Settings,
    next: AtomicU64,
}

/// The example's settings, quicker, with changes.
pub fn settings(discovery: SocketAddr, change: impl FnOnce(&mut Value)) -> Settings {
    let mut value = hoptiller_statement_router::settings::evaluate("derby.jsonnet", EXAMPLE)
        .expect("evaluates");
    value["router"]["listen"] = json!("127.0.0.1:0");
    value["router"]["state"] = Value::Null;
    value["discovery"]["address"] = json!(discovery.to_string());
    value["discovery"]["every"] = json!("50ms");
    value["discovery"]["state_every"] = json!("50ms");
    value["limits"] = json!({ "long_poll": "200ms" });
    value["router"]["admin"] = json!("127.0.0.1:0");
    change(&mut value);
    Settings::from_value("derby.jsonnet", &value).unwrap_or_else(|p| panic!("{p:?}"))
}

impl Stage {
    pub fn new(engines: usize) -> Stage {
        Stage::with(engines, |_| {}, |_| {})
    }

    /// A stage with changed settings and engines. All engines are of the kind that takes reports.
    pub fn with(
        engines: usize,
        change: impl FnOnce(&mut Value),
        engine: impl Fn(&mut EngineConfig),
    ) -> Stage {
        let recorder = Recorder::default();
        let ledger = Ledger::default();
        let keep = Duration::from_millis(1500);
        let discovery = DiscoveryConfig {
            recorder: recorder.clone(),
            announcement_ttl: keep,
            ..DiscoveryConfig::default()
        };
        let discovery_running = discovery.start().expect("discovery");
        let mut settings = settings(discovery_running.addr, change);
        let mut configs = Vec::new();
        let mut running = Vec::new();
        for n in 0..engines {
            let mut config = EngineConfig::new(&format!("e{n}"), "std-8a", "hall-a");
            config.discovery = Some(discovery_running.addr);
            (config.recorder, config.ledger) = (recorder.clone(), ledger.clone());
            engine(&mut config);
            let started = config.start().expect("an engine");
            config.listen = started.addr;
            running.push(Some(started));
            configs.push(config);
        }
        let (router, addr) = start_router(&mut settings);
        let stage = Stage {
            lenience: Duration::ZERO,
            recorder,
            ledger,
            discovery,
            engines: configs,
            running: Mutex::new(running),
            discovery_running,
            router: Some(router),
            addr,
            settings,
            next: AtomicU64::new(0),
        };
        stage.wait_for("the engines to be listed", |info| {
            info["engines"] == json!(engines)
        });
        stage
    }

    /// The same with clients that wait so much longer than they say.
    #[allow(dead_code)] // Not every test file has a use for it.
    pub fn lenient(mut self, lenience: Duration) -> Stage {
        self.lenience = lenience;
        self
    }

    pub fn discovery_addr(&self) -> SocketAddr {
        self.discovery_running.addr
    }

    pub fn crash_engine(&self, n: usize) {
        let running = self.running.lock().expect("whole")[n].take();
        if let Some(running) = running {
            running.crash();
        }
    }

    pub fn start_engine(&self, n: usize) {
        let started = self.engines[n].start().expect("an engine");
        self.running.lock().expect("whole")[n] = Some(started);
    }

    pub fn crash_router(&mut self) {
        if let Some(router) = self.router.take() {
            self.recorder.write(Record::RouterKilled {
                at: hoptiller_audit::unix_micros(),
                router: "r1".into(),
            });
            router.crash();
        }
    }

    pub fn client(&self) -> Client {
        Client::new("r1", self.addr, self.recorder.clone())
    }

    pub fn ask(&self, class: &str, text: &str) -> ClientRequest {
        let request = self.next.fetch_add(1, Ordering::Relaxed);
        ClientRequest {
            id: request,
            trace: format!("t{request}.0"),
            class: class.into(),
            ordering_key: None,
            tags: String::new(),
            text: text.into(),
            timeout: Duration::from_secs(6),
            options: ClientOptions {
                grace: self.lenience,
                ..ClientOptions::default()
            },
        }
    }

    /// Does one statement; what came, and the client that did it.
    pub fn run(&self, ask: &ClientRequest) -> (ClientOutcome, Client) {
        let mut client = self.client();
        let came = future::block_on(client.run(ask));
        (came, client)
    }

    pub fn get(&self, path: &str) -> Response {
        future::block_on(self.client().get(path)).expect("an answer")
    }

    /// What the administration API says of runaways.
    pub fn runaways(&self) -> Value {
        let admin = self.settings.router.admin.expect("set for all stages");
        let answer = send_to(admin, &Request::new(Method::Get, "/v1/admin/runaways"));
        serde_json::from_slice(&answer.body).expect("JSON")
    }

    /// Waits, generously, until what it says is as wanted.
    pub fn wait_for_runaways(&self, what: &str, wanted: impl Fn(&Value) -> bool) -> Value {
        let began = Instant::now();
        loop {
            let now = self.runaways();
            if wanted(&now) {
                return now;
            }
            assert!(
                began.elapsed() < Duration::from_secs(40),
                "waited in vain for {what}: {now:#}"
            );
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Runs so many statements of a kind, several at once, all served.
    pub fn teach(&self, class: &str, text: &str, runs: usize) {
        std::thread::scope(|s| {
            for _ in 0..8 {
                s.spawn(|| {
                    for _ in 0..runs.div_ceil(8) {
                        let came = self.run(&self.ask(class, text)).0;
                        assert!(matches!(came, ClientOutcome::Served(_)), "{text}: {came:?}");
                    }
                });
            }
        });
    }

    pub fn info(&self) -> Value {
        serde_json::from_slice(&self.get("/v1/info").body).expect("JSON")
    }

    /// Waits, generously, until the router's info is as wanted.
    pub fn wait_for(&self, what: &str, wanted: impl Fn(&Value) -> bool) {
        let began = Instant::now();
        while !wanted(&self.info()) {
            assert!(
                began.elapsed() < Duration::from_secs(20),
                "waited in vain for {what}: {}",
                self.info()
            );
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    pub fn records(&self) -> Vec<Record> {
        let mut all = self.recorder.records().expect("records");
        all.sort_by_key(Record::at);
        all
    }

    /// Attempts that reached engines for a submission.
    pub fn sent(&self, ask: &ClientRequest) -> usize {
        self.records()
            .iter()
            .filter(|r| matches!(r, Record::Sent { trace, .. } if *trace == ask.trace))
            .count()
    }

    /// How many of these are at the engine where one is, and not done there.
    #[allow(dead_code)] // Not every test file has a use for it.
    pub fn standing_with(&self, one: &ClientRequest, all: &[ClientRequest]) -> usize {
        let records = self.records();
        let at = |ask: &ClientRequest| {
            records.iter().rev().find_map(|r| match r {
                Record::Sent { trace, engine, .. } if *trace == ask.trace => {
                    Some(Some(engine.clone()))
                }
                Record::Done { trace, .. } if *trace == ask.trace => Some(None),
                _ => None,
            })
        };
        let here = at(one).flatten();
        all.iter()
            .filter(|ask| here.is_some() && at(ask).flatten() == here)
            .count()
    }

    /// Waits, generously, until an attempt has reached an engine.
    pub fn wait_until_sent(&self, ask: &ClientRequest) {
        let began = Instant::now();
        while self.sent(ask) == 0 {
            assert!(
                began.elapsed() < Duration::from_secs(20),
                "{} is not sent",
                ask.trace
            );
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Waits, generously, until an attempt of any of them has reached an engine.
    pub fn wait_until_sent_any(&self, asks: &[ClientRequest]) {
        let began = Instant::now();
        while asks.iter().all(|ask| self.sent(ask) == 0) {
            assert!(began.elapsed() < Duration::from_secs(20), "none is sent");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    pub fn posted(&self, ask: &ClientRequest) -> usize {
        self.ledger.postings().get(&ask.trace).copied().unwrap_or(0)
    }

    pub fn verdict(&self) -> Verdict {
        judge(&self.records(), &self.settings.rules_of_audit())
    }

    /// The auditor finds nothing wrong.
    pub fn assert_rules_kept(&self) {
        let verdict = self.verdict();
        assert!(verdict.violations.is_empty(), "{:#?}", verdict.violations);
    }
}

pub trait RulesOfAudit {
    fn rules_of_audit(&self) -> hoptiller_audit::Rules;
}

impl RulesOfAudit for Settings {
    fn rules_of_audit(&self) -> hoptiller_audit::Rules {
        serde_json::from_value(self.audit_rules()).expect("the auditor's form")
    }
}

/// A router on a thread of its own. Where administrators reach it is written into its settings: a port that is looked for
/// first and taken later may be another test's by then.
pub fn start_router(settings: &mut Settings) -> (ServerThread, SocketAddr) {
    let own = settings.clone();
    let (tell, told) = std::sync::mpsc::channel();
    let running = ServerThread::spawn("router", move |spawner| {
        let service = Service::new(own, b"secret", "lifelife".into(), spawner)
            .map_err(std::io::Error::other)?;
        let addr = service.start(Rc::new(|_| None))?;
        let _ = tell.send(service.admin_addr());
        Ok(addr)
    })
    .expect("a router");
    settings.router.admin = told.recv().expect("started");
    let addr = running.addr;
    (running, addr)
}

/// Puts a body to an address, for the stand-ins' own switches.
pub fn put(addr: SocketAddr, path: &str, body: &str) -> Response {
    let mut request = Request::new(Method::Put, path);
    request.body = body.as_bytes().to_vec();
    send_to(addr, &request)
}

/// One exchange with an address.
pub fn send_to(addr: SocketAddr, request: &Request) -> Response {
    future::block_on(async {
        let limits = hoptiller_http::Limits::default();
        let mut c = hoptiller_http::client::Connection::open(addr, Duration::from_secs(2), limits)
            .await
            .expect("open");
        c.exchange(request, Duration::from_secs(2))
            .await
            .expect("an answer")
    })
}

/// The path of an answer's `nextUri`.
pub fn next_path(answer: &Response) -> Option<String> {
    let value: Value = serde_json::from_slice(&answer.body).ok()?;
    let uri = value["nextUri"].as_str()?;
    let rest = uri.strip_prefix("http://")?;
    Some(rest[rest.find('/')?..].to_owned())
}
