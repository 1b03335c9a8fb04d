//! A complete installation on loopback: discovery, engines, a router and scripted clients, with an audit of their
//! records.
#![allow(dead_code)] // Each test file uses only a part.

pub mod runaways;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, mpsc};
use std::time::{Duration, Instant};

use futures_lite::future;
use hoptiller_audit::{Record, Recorder, Verdict, judge};
use hoptiller_http::client::Connection;
use hoptiller_http::{Limits, Method, Request, Response};
use hoptiller_mock_servers::ServerThread;
use hoptiller_mock_servers::discovery::DiscoveryConfig;
use hoptiller_mock_servers::engine::EngineConfig;
use hoptiller_mock_servers::engine_faults::EngineFaults;
use hoptiller_mock_servers::ledger::Ledger;
use hoptiller_statement_router::{Service, Settings};
use serde_json::{Value, json};

pub use hoptiller_mock_servers::client::{Client, ClientOptions, ClientOutcome, ClientRequest};

const EXAMPLE: &str = include_str!("../../../../examples/derby.jsonnet");

/// Incarnation of each router under test.
pub const INCARNATION: &str = "testtest";
/// Time limit for a condition to hold on a loaded machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
pub const RUNAWAY_WAIT_TIMEOUT: Duration = Duration::from_secs(40);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Discovery, engines, and the router `r1`.
pub struct TestCluster {
    /// Time that clients wait beyond their stated timeout.
    client_grace: Duration,
    pub recorder: Recorder,
    pub ledger: Ledger,
    pub discovery: DiscoveryConfig,
    pub engines: Vec<EngineConfig>,
    running_engines: Mutex<Vec<Option<ServerThread>>>,
    running_discovery: ServerThread,
    router: Option<ServerThread>,
    pub addr: SocketAddr,
    pub settings: Settings,
    next_request: AtomicU64,
}

/// Returns the example's settings with shorter intervals and a change.
fn settings(discovery: SocketAddr, change: impl FnOnce(&mut Value)) -> Settings {
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
    Settings::from_value("derby.jsonnet", &value).unwrap_or_else(|errors| panic!("{errors:?}"))
}

impl TestCluster {
    pub fn new(engines: usize) -> TestCluster {
        TestCluster::with_config(engines, |_| {}, |_| {})
    }

    /// Returns a cluster with changed settings and engines. All engines are of the machine kind on which the class
    /// `report` may run.
    pub fn with_config(
        engine_count: usize,
        change_settings: impl FnOnce(&mut Value),
        change_engine: impl Fn(&mut EngineConfig),
    ) -> TestCluster {
        let recorder = Recorder::default();
        let ledger = Ledger::default();
        let discovery = DiscoveryConfig {
            recorder: recorder.clone(),
            announcement_ttl: Duration::from_millis(1500),
            ..DiscoveryConfig::default()
        };
        let running_discovery = discovery.start().expect("discovery");
        let mut settings = settings(running_discovery.addr, change_settings);
        let (mut engines, mut running_engines) = (Vec::new(), Vec::new());
        for index in 0..engine_count {
            let mut engine = EngineConfig::new(&format!("e{index}"), "std-8a", "hall-a");
            engine.discovery = Some(running_discovery.addr);
            (engine.recorder, engine.ledger) = (recorder.clone(), ledger.clone());
            change_engine(&mut engine);
            let running = engine.start().expect("an engine");
            engine.listen = running.addr;
            running_engines.push(Some(running));
            engines.push(engine);
        }
        let (router, addr) = start_router(&mut settings);
        let cluster = TestCluster {
            client_grace: Duration::ZERO,
            recorder,
            ledger,
            discovery,
            engines,
            running_engines: Mutex::new(running_engines),
            running_discovery,
            router: Some(router),
            addr,
            settings,
            next_request: AtomicU64::new(0),
        };
        cluster.wait_for_info("the engines to be listed", |info| {
            info["engines"] == json!(engine_count)
        });
        cluster
    }

    /// Returns the cluster with clients that wait this much beyond their stated timeout.
    pub fn with_client_grace(mut self, grace: Duration) -> TestCluster {
        self.client_grace = grace;
        self
    }

    pub fn set_faults(&self, faults: &EngineFaults) {
        self.engines
            .iter()
            .for_each(|engine| engine.inject_faults(faults.clone()));
    }

    pub fn crash_engine(&self, index: usize) {
        let running = self.running_engines.lock().expect("not poisoned")[index].take();
        if let Some(running) = running {
            running.crash();
        }
    }

    pub fn start_engine(&self, index: usize) {
        let running = self.engines[index].start().expect("an engine");
        self.running_engines.lock().expect("not poisoned")[index] = Some(running);
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

    pub fn request(&self, class: &str, text: &str) -> ClientRequest {
        let request = self.next_request.fetch_add(1, Ordering::Relaxed);
        ClientRequest {
            id: request,
            trace: format!("t{request}.0"),
            class: class.into(),
            ordering_key: None,
            tags: String::new(),
            text: text.into(),
            timeout: Duration::from_secs(6),
            options: ClientOptions {
                grace: self.client_grace,
                ..ClientOptions::default()
            },
        }
    }

    /// Runs a statement.
    pub fn run(&self, request: &ClientRequest) -> ClientOutcome {
        self.run_with_client(request).0
    }

    /// Runs a statement. Returns the client too, which keeps the responses.
    pub fn run_with_client(&self, request: &ClientRequest) -> (ClientOutcome, Client) {
        let mut client = self.client();
        let outcome = future::block_on(client.run(request));
        (outcome, client)
    }

    pub fn assert_served(&self, request: &ClientRequest) {
        let outcome = self.run(request);
        assert!(
            matches!(outcome, ClientOutcome::Served(_)),
            "{}: {outcome:?}",
            request.text
        );
    }

    /// Runs statements of a kind concurrently, so that the detector has statistics of the kind.
    pub fn run_repeatedly(&self, class: &str, text: &str, runs: usize) {
        const CLIENTS: usize = 8;
        std::thread::scope(|s| {
            for _ in 0..CLIENTS {
                s.spawn(|| {
                    for _ in 0..runs.div_ceil(CLIENTS) {
                        self.assert_served(&self.request(class, text));
                    }
                });
            }
        });
    }

    pub fn get(&self, path: &str) -> Response {
        future::block_on(self.client().get(path)).expect("a response")
    }

    /// Performs an exchange with the router on a new connection.
    pub fn exchange(&self, request: &Request) -> Response {
        exchange(self.addr, request)
    }

    pub fn info(&self) -> Value {
        parse_json(&self.get("/v1/info"))
    }

    /// Waits until the router's info satisfies the predicate.
    pub fn wait_for_info(&self, what: &str, predicate: impl Fn(&Value) -> bool) {
        wait_until(what, WAIT_TIMEOUT, Duration::from_millis(10), || {
            let info = self.info();
            if predicate(&info) {
                Ok(())
            } else {
                Err(info.to_string())
            }
        });
    }

    /// Returns the runaway report of the administration API.
    pub fn runaways(&self) -> Value {
        runaways_of(&self.settings)
    }

    /// Waits until the runaway report satisfies the predicate, and returns it.
    pub fn wait_for_runaways(&self, what: &str, predicate: impl Fn(&Value) -> bool) -> Value {
        let interval = Duration::from_millis(50);
        wait_until(what, RUNAWAY_WAIT_TIMEOUT, interval, || {
            let shown = self.runaways();
            if predicate(&shown) {
                Ok(shown)
            } else {
                Err(format!("{shown:#}"))
            }
        })
    }

    pub fn records(&self) -> Vec<Record> {
        let mut records = self.recorder.records().expect("records");
        records.sort_by_key(Record::at);
        records
    }

    /// Returns the number of attempts at a statement that have reached engines.
    pub fn sent_attempts(&self, request: &ClientRequest) -> usize {
        self.records()
            .iter()
            .filter(
                |record| matches!(record, Record::Sent { trace, .. } if *trace == request.trace),
            )
            .count()
    }

    /// Returns the engine that the first attempt at a statement has reached.
    pub fn first_engine(&self, request: &ClientRequest) -> Option<String> {
        self.records().into_iter().find_map(|record| match record {
            Record::Sent { engine, trace, .. } if trace == request.trace => Some(engine),
            _ => None,
        })
    }

    /// Returns how many of the requests in `all` run at the engine that runs `one`.
    pub fn count_at_same_engine(&self, one: &ClientRequest, all: &[ClientRequest]) -> usize {
        let records = self.records();
        let engine_of = |request: &ClientRequest| {
            let last = records.iter().rev().find_map(|record| match record {
                Record::Sent { trace, engine, .. } if *trace == request.trace => {
                    Some(Some(engine.clone()))
                }
                Record::Done { trace, .. } if *trace == request.trace => Some(None),
                _ => None,
            });
            last.flatten()
        };
        let engine = engine_of(one);
        all.iter()
            .filter(|request| engine.is_some() && engine_of(request) == engine)
            .count()
    }

    /// Waits until an attempt at a statement has reached an engine.
    pub fn wait_until_sent(&self, request: &ClientRequest) {
        self.wait_until_any_sent(std::slice::from_ref(request));
    }

    /// Waits until an attempt at one of these statements has reached an engine.
    pub fn wait_until_any_sent(&self, requests: &[ClientRequest]) {
        let interval = Duration::from_millis(5);
        wait_until("an attempt", WAIT_TIMEOUT, interval, || {
            match requests
                .iter()
                .any(|request| self.sent_attempts(request) > 0)
            {
                true => Ok(()),
                false => Err(format!("none sent of {}", requests.len())),
            }
        });
    }

    /// Returns how often a statement took effect.
    pub fn effects(&self, request: &ClientRequest) -> usize {
        let effects = self.ledger.postings();
        effects.get(&request.trace).copied().unwrap_or(0)
    }

    pub fn verdict(&self) -> Verdict {
        let rules =
            serde_json::from_value(self.settings.audit_rules()).expect("the auditor's form");
        judge(&self.records(), &rules)
    }

    /// Asserts that the auditor finds no violation.
    pub fn assert_rules_kept(&self) {
        let verdict = self.verdict();
        assert!(verdict.violations.is_empty(), "{:#?}", verdict.violations);
    }
}

/// Waits until a check succeeds. Panics with its last error after the timeout.
pub fn wait_until<T>(
    what: &str,
    timeout: Duration,
    interval: Duration,
    check: impl Fn() -> Result<T, String>,
) -> T {
    let started_at = Instant::now();
    loop {
        match check() {
            Ok(value) => return value,
            Err(error) => assert!(
                started_at.elapsed() < timeout,
                "timed out waiting for {what}: {error}"
            ),
        }
        std::thread::sleep(interval);
    }
}

/// Starts a router on a thread of its own and writes the bound address of its administration API into the settings.
/// Choosing a free port before binding it could collide with another test.
pub fn start_router(settings: &mut Settings) -> (ServerThread, SocketAddr) {
    let router_settings = settings.clone();
    let (sender, receiver) = mpsc::channel();
    let running = ServerThread::spawn("router", move |spawner| {
        let service = Service::new(router_settings, b"secret", INCARNATION.into(), spawner)
            .map_err(std::io::Error::other)?;
        let addr = service.start(Rc::new(|_| None))?;
        let _ = sender.send(service.admin_addr());
        Ok(addr)
    })
    .expect("a router");
    settings.router.admin = receiver.recv().expect("started");
    let addr = running.addr;
    (running, addr)
}

/// Returns the runaway report of a router's administration API.
pub fn runaways_of(settings: &Settings) -> Value {
    let admin = settings.router.admin.expect("it is served");
    parse_json(&exchange(
        admin,
        &Request::new(Method::Get, "/v1/admin/runaways"),
    ))
}

/// Sends a PUT request, for the controls of the mock servers.
pub fn put(addr: SocketAddr, path: &str, body: &str) -> Response {
    let mut request = Request::new(Method::Put, path);
    request.body = body.as_bytes().to_vec();
    exchange(addr, &request)
}

/// Performs an exchange with an address on a new connection.
pub fn exchange(addr: SocketAddr, request: &Request) -> Response {
    future::block_on(async {
        let mut connection = Connection::open(addr, CONNECT_TIMEOUT, Limits::default())
            .await
            .expect("open");
        connection
            .exchange(request, RESPONSE_TIMEOUT)
            .await
            .expect("a response")
    })
}

pub fn parse_json(response: &Response) -> Value {
    serde_json::from_slice(&response.body).expect("JSON")
}

/// Returns the path of a response's `nextUri`.
pub fn next_path(response: &Response) -> Option<String> {
    let value: Value = serde_json::from_slice(&response.body).ok()?;
    path_of(value["nextUri"].as_str()?)
}

/// Returns the path of a URI.
pub fn path_of(uri: &str) -> Option<String> {
    let rest = uri.strip_prefix("http://")?;
    Some(rest[rest.find('/')?..].to_owned())
}
