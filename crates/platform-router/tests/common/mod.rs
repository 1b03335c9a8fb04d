//! Utilities that run a router on loopback with scripted engines, a scripted coordinator and clients.
#![allow(dead_code)]

pub mod pool;

use std::cell::RefCell;
use std::future::Future;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::io::BufReader;
use futures_lite::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, StreamExt};
use hoptiller_http::Spawner;
use hoptiller_platform_router::Router;

/// The default request id.
pub const ID: &str = "9b1f03aa5c7e2d41";
/// A page in base64, with one row of the columns a, 1 and x.
pub const ENCODED_PAGE: &str = "YQkxCXgK";

/// An engine's reaction to a command, given its index: the bytes to write, and whether the connection is then closed.
pub type EngineScript = Rc<dyn Fn(usize, &str) -> (Vec<u8>, bool)>;

/// The commands that an engine received, each preceded by the number of its connection.
pub type ReceivedCommands = Rc<RefCell<Vec<String>>>;

pub fn served_line(id: &str) -> Vec<u8> {
    format!("{{\"t\":\"served\",\"i\":\"{id}\",\"f\":{{\"fetches\":1,\"effort\":5}},\"b\":\"{ENCODED_PAGE}\"}}\n")
        .into_bytes()
}

pub fn command_id(line: &str) -> String {
    let value: serde_json::Value = serde_json::from_str(line).expect("a command");
    value["i"].as_str().expect("an id").to_owned()
}

/// Starts an engine that responds according to its script to each command except load requests, which always get a
/// report. Returns its address and the commands received, without load requests.
pub fn spawn_engine(spawner: &Spawner, script: EngineScript) -> (SocketAddr, ReceivedCommands) {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("bound");
    let (addr, received) = (
        listener.get_ref().local_addr().expect("bound"),
        ReceivedCommands::default(),
    );
    let (commands, connection_spawner) = (received.clone(), spawner.clone());
    spawner.spawn(async move {
        let mut connection = 0;
        while let Ok((stream, _)) = listener.accept().await {
            connection += 1;
            let (commands, script) = (commands.clone(), script.clone());
            connection_spawner.spawn(async move {
                let stream = Rc::new(stream);
                let mut read = BufReader::new(&*stream).lines();
                while let Some(Ok(line)) = read.next().await {
                    if line.contains("\"STAT\"") {
                        let response = format!(
                            "{{\"t\":\"green\",\"i\":\"{}\",\"f\":{{\"load\":\"util:0.1\"}}}}\n",
                            command_id(&line)
                        );
                        let _ = (&*stream).write_all(response.as_bytes()).await;
                        continue;
                    }
                    let index = commands.borrow().len();
                    commands.borrow_mut().push(format!("{connection} {line}"));
                    let (response, close) = script(index, &line);
                    let _ = (&*stream).write_all(&response).await;
                    if close {
                        return;
                    }
                }
            });
        }
    });
    (addr, received)
}

/// Encodes an endpoint's record in a frame.
pub fn endpoint_record(id: u32, addr: SocketAddr, phase: u8) -> Vec<u8> {
    let SocketAddr::V4(v4) = addr else {
        panic!("expected an IPv4 address")
    };
    let mut record = id.to_be_bytes().to_vec();
    record.extend(v4.ip().octets());
    record.extend(v4.port().to_be_bytes());
    record.extend([phase, 0, 0, 0, 0]);
    record.extend([0; 12]);
    record
}

pub fn frame(number: u64, kind: u8, records: &[Vec<u8>]) -> Vec<u8> {
    let payload = records.concat();
    let mut frame = (9 + payload.len() as u32).to_be_bytes().to_vec();
    frame.extend(number.to_be_bytes());
    frame.push(kind);
    frame.extend(payload);
    frame
}

/// Starts a coordinator that sends on each connection what its script returns, given the numbers of the connection and
/// of the last event that the router has. Returns its address and these event numbers, one per connection.
pub fn spawn_coordinator(
    spawner: &Spawner,
    script: Rc<dyn Fn(usize, u64) -> (Vec<u8>, bool)>,
) -> (SocketAddr, Rc<RefCell<Vec<u64>>>) {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("bound");
    let (addr, last_events) = (
        listener.get_ref().local_addr().expect("bound"),
        Rc::<RefCell<Vec<u64>>>::default(),
    );
    let (requested, connection_spawner) = (last_events.clone(), spawner.clone());
    spawner.spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (requested, script) = (requested.clone(), script.clone());
            connection_spawner.spawn(async move {
                let mut number = [0; 8];
                if stream.read_exact(&mut number).await.is_err() {
                    return;
                }
                let last_event = u64::from_be_bytes(number);
                requested.borrow_mut().push(last_event);
                let connection = requested.borrow().len();
                let (bytes, close) = script(connection, last_event);
                let _ = stream.write_all(&bytes).await;
                let keep_alive = frame(last_event, 0, &[]);
                while !close && stream.write_all(&keep_alive).await.is_ok() {
                    Timer::after(Duration::from_millis(500)).await;
                }
            });
        }
    });
    (addr, last_events)
}

/// Starts a coordinator that sends only keep-alives.
pub fn spawn_idle_coordinator(spawner: &Spawner) -> SocketAddr {
    spawn_coordinator(spawner, Rc::new(|_, _| (Vec::new(), false))).0
}

/// A configuration file that is removed on drop.
pub struct ConfigFile(pub PathBuf);

impl ConfigFile {
    pub fn new(
        name: &str,
        engines: &[(u32, SocketAddr)],
        coordinator: SocketAddr,
        sockets: usize,
    ) -> ConfigFile {
        let file = std::env::temp_dir().join(format!(
            "hoptiller-router-{}-{name}.json",
            std::process::id()
        ));
        std::fs::write(&file, ConfigFile::text(engines, coordinator, sockets)).expect("written");
        ConfigFile(file)
    }

    pub fn text(engines: &[(u32, SocketAddr)], coordinator: SocketAddr, sockets: usize) -> String {
        let endpoint = |(id, addr): &(u32, SocketAddr)| {
            serde_json::json!({"id": format!("s-{id:08x}"), "host_port": addr.to_string(), "locality": "a",
                "flavor": "k", "cell": 0, "phase": "in_service", "up_since_ms": 0})
        };
        let members: Vec<_> = engines.iter().map(endpoint).collect();
        serde_json::json!({
            "name": "n0", "listen": "127.0.0.1:0", "seed": "0000000000000007",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": sockets}, "coordinator": coordinator.to_string(),
            "known": {"index": 1, "updates": [{"index": 1, "endpoints": {"complete": true, "members": members}}]},
            "settings": {
                "balancers": 1, "index": 0, "tick": 1.0, "zones": ["a"], "kinds": ["k"],
                "tenants": [{"name": "acme", "fraction": 1.0}],
                "lanes": [
                    {"name": "lookup", "aim": 4000, "deadline": 8000, "semantics": "pure", "importance": 1},
                    {"name": "load", "aim": 4000, "deadline": 8000, "semantics": "side_effect", "importance": 4}],
                "limits": {"maxAttempts": 3, "mayProbe": true, "retryAfter": true, "maxRetryAfter": 900,
                    "connIdle": 30000, "connectTimeout": 250},
                "extra": {"parallelism": [1, 1], "cpuOfKind": [8], "bills": true},
                "telemetry": {"names": ["cpu_share"]},
                "rules": {"startCapacity": 0.5, "rampTime": 1000, "overloadFactor": 3, "fall": 1000}}
        })
        .to_string()
    }
}

impl Drop for ConfigFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// An engine whose connections the test handles itself, command by command.
pub struct ManualEngine {
    listener: Async<TcpListener>,
    pub addr: SocketAddr,
    /// A connection that fills the listener's backlog. While it is open, no other connection is established.
    backlog_filler: RefCell<Option<Async<TcpStream>>>,
}

impl ManualEngine {
    pub fn new() -> ManualEngine {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("bound");
        let addr = listener.get_ref().local_addr().expect("bound");
        ManualEngine {
            listener,
            addr,
            backlog_filler: RefCell::default(),
        }
    }

    /// Creates an engine to which no connection is established until [`ManualEngine::accept_backlog`]: its backlog has
    /// room for one connection, which is taken.
    pub async fn with_full_backlog() -> ManualEngine {
        let manual_engine = ManualEngine::new();
        rustix::net::listen(manual_engine.listener.get_ref(), 0).expect("shorter backlog");
        *manual_engine.backlog_filler.borrow_mut() = Some(connect(manual_engine.addr).await);
        manual_engine
    }

    /// Empties the backlog. Waiting connections are established when the kernel retries, within about a second.
    pub async fn accept_backlog(&self) {
        rustix::net::listen(self.listener.get_ref(), 128).expect("longer backlog");
        let filler = self.backlog_filler.borrow_mut().take();
        let (accepted, _) = self
            .listener
            .accept()
            .await
            .expect("the connection that fills the backlog");
        drop((accepted, filler));
    }

    pub async fn accept(&self) -> EngineConnection {
        let (stream, _) = self.listener.accept().await.expect("accepted");
        EngineConnection {
            stream,
            bytes: Vec::new(),
        }
    }
}

/// A connection that a router opened to a [`ManualEngine`].
pub struct EngineConnection {
    stream: Async<TcpStream>,
    bytes: Vec<u8>,
}

impl EngineConnection {
    /// Receives the next command. Returns `None` when the connection is closed.
    pub async fn next_command(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.bytes.iter().position(|byte| *byte == b'\n') {
                let rest = self.bytes.split_off(end + 1);
                let line = std::mem::replace(&mut self.bytes, rest);
                return Some(String::from_utf8(line).expect("text").trim_end().to_owned());
            }
            let mut buffer = [0; 4096];
            match self.stream.read(&mut buffer).await {
                Ok(0) | Err(_) => return None,
                Ok(n) => self.bytes.extend_from_slice(&buffer[..n]),
            }
        }
    }

    /// Writes bytes, ignoring errors if the router closes the connection.
    pub async fn send(&mut self, bytes: &[u8]) {
        let _ = self.stream.write_all(bytes).await;
    }
}

/// Waits until a condition holds. If it never does, the test fails on its time limit.
pub async fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        Timer::after(Duration::from_millis(5)).await;
    }
}

/// Runs a test on its own executor. A test that takes over 30 s fails.
pub fn run_test<F: Future<Output = ()>>(test: impl FnOnce(Spawner) -> F) {
    let executor = Rc::new(LocalExecutor::new());
    let test = test(Spawner::new(&executor));
    async_io::block_on(executor.run(futures_lite::future::or(test, async {
        Timer::after(Duration::from_secs(30)).await;
        panic!("the test did not complete within 30 s");
    })));
}

pub fn start_router(file: &ConfigFile, spawner: &Spawner) -> (Rc<Router>, SocketAddr) {
    let router = Router::load(file.0.clone(), spawner.clone()).expect("a valid configuration");
    let addr = router.start().expect("the router listens");
    (router, addr)
}

/// Returns a valid request as HTTP text.
pub fn statement_request(class: &str, id: &str, wait_ms: u64) -> String {
    let body = "SELECT a FROM sales_17.orders";
    format!(
        "POST /call/{class} HTTP/1.1\r\nHost: h\r\nTrace-Id: {id}\r\nMax-Wait-Ms: {wait_ms}\r\nProject: acme\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub async fn connect(addr: SocketAddr) -> Async<TcpStream> {
    Async::<TcpStream>::connect(addr).await.expect("connected")
}

/// Reads a complete response and returns its status, head and body, or `None` if the connection ends before that.
pub async fn read_response(stream: &mut Async<TcpStream>) -> Option<(u16, String, String)> {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|line| {
                line.to_ascii_lowercase()
                    .strip_prefix("content-length: ")?
                    .parse()
                    .ok()
            });
            if body.len() >= length.unwrap_or(0usize) {
                let status = head.split(' ').nth(1)?.parse().ok()?;
                return Some((status, head.to_owned(), body.to_owned()));
            }
        }
        let mut buffer = [0; 4096];
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return None,
            Ok(n) => bytes.extend_from_slice(&buffer[..n]),
        }
    }
}

/// Sends a request over a new connection and reads the response.
pub async fn send_request(addr: SocketAddr, request: &str) -> Option<(u16, String, String)> {
    let mut stream = connect(addr).await;
    stream.write_all(request.as_bytes()).await.ok()?;
    read_response(&mut stream).await
}
