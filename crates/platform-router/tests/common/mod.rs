//! A router on loopback with scripted engines, a scripted coordinator and clients.
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

/// The id of a request.
pub const ID: &str = "9b1f03aa5c7e2d41";
pub const ENCODED_PAGE: &str = "YQkxCXgK"; // a, 1, x

/// An engine's reaction to the n-th command: the bytes to write, and whether it then closes the connection.
pub type EngineScript = Rc<dyn Fn(usize, &str) -> (Vec<u8>, bool)>;

/// The commands that an engine received, each behind the number of its connection.
pub type ReceivedCommands = Rc<RefCell<Vec<String>>>;

pub fn served_line(id: &str) -> Vec<u8> {
    format!("{{\"t\":\"served\",\"i\":\"{id}\",\"f\":{{\"fetches\":1,\"effort\":5}},\"b\":\"{ENCODED_PAGE}\"}}\n")
        .into_bytes()
}

pub fn command_id(line: &str) -> String {
    let value: serde_json::Value = serde_json::from_str(line).expect("a command");
    value["i"].as_str().expect("an id").to_owned()
}

/// An engine that responds to each command by its script.
pub fn spawn_engine(ex: &Spawner, script: EngineScript) -> (SocketAddr, ReceivedCommands) {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("bound");
    let (addr, seen) = (
        listener.get_ref().local_addr().expect("bound"),
        ReceivedCommands::default(),
    );
    let (lines, spawner) = (seen.clone(), ex.clone());
    ex.spawn(async move {
        let mut connection = 0;
        while let Ok((stream, _)) = listener.accept().await {
            connection += 1;
            let (lines, script) = (lines.clone(), script.clone());
            spawner.spawn(async move {
                let stream = Rc::new(stream);
                let mut read = BufReader::new(&*stream).lines();
                while let Some(Ok(line)) = read.next().await {
                    if line.contains("\"STAT\"") {
                        let answer = format!(
                            "{{\"t\":\"green\",\"i\":\"{}\",\"f\":{{\"load\":\"util:0.1\"}}}}\n",
                            command_id(&line)
                        );
                        let _ = (&*stream).write_all(answer.as_bytes()).await;
                        continue;
                    }
                    let n = lines.borrow().len();
                    lines.borrow_mut().push(format!("{connection} {line}"));
                    let (answer, close) = script(n, &line);
                    let _ = (&*stream).write_all(&answer).await;
                    if close {
                        return;
                    }
                }
            });
        }
    });
    (addr, seen)
}

/// An endpoint's record in a frame.
pub fn endpoint_record(id: u32, addr: SocketAddr, state: u8) -> Vec<u8> {
    let SocketAddr::V4(v4) = addr else {
        panic!("IPv4")
    };
    let mut r = id.to_be_bytes().to_vec();
    r.extend(v4.ip().octets());
    r.extend(v4.port().to_be_bytes());
    r.extend([state, 0, 0, 0, 0]);
    r.extend([0; 12]);
    r
}

pub fn frame(number: u64, kind: u8, records: &[Vec<u8>]) -> Vec<u8> {
    let payload = records.concat();
    let mut f = (9 + payload.len() as u32).to_be_bytes().to_vec();
    f.extend(number.to_be_bytes());
    f.push(kind);
    f.extend(payload);
    f
}

/// A coordinator that sends each connection the bytes of its script, given the number of the connection and of the last event.
pub fn spawn_coordinator(
    ex: &Spawner,
    script: Rc<dyn Fn(usize, u64) -> (Vec<u8>, bool)>,
) -> (SocketAddr, Rc<RefCell<Vec<u64>>>) {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("bound");
    let (addr, asked) = (
        listener.get_ref().local_addr().expect("bound"),
        Rc::<RefCell<Vec<u64>>>::default(),
    );
    let (seen, spawner) = (asked.clone(), ex.clone());
    ex.spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (seen, script) = (seen.clone(), script.clone());
            spawner.spawn(async move {
                let mut number = [0; 8];
                if stream.read_exact(&mut number).await.is_err() {
                    return;
                }
                let after = u64::from_be_bytes(number);
                seen.borrow_mut().push(after);
                let nth = seen.borrow().len();
                let (bytes, close) = script(nth, after);
                let _ = stream.write_all(&bytes).await;
                let beat = frame(after, 0, &[]);
                while !close && stream.write_all(&beat).await.is_ok() {
                    Timer::after(Duration::from_millis(500)).await;
                }
            });
        }
    });
    (addr, asked)
}

/// A coordinator that sends keep-alives only.
pub fn spawn_idle_coordinator(ex: &Spawner) -> SocketAddr {
    spawn_coordinator(ex, Rc::new(|_, _| (Vec::new(), false))).0
}

/// A configuration file; removed when dropped.
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
        let member = |(id, addr): &(u32, SocketAddr)| {
            serde_json::json!({"id": format!("s-{id:08x}"), "host_port": addr.to_string(), "locality": "a",
                "flavor": "k", "cell": 0, "phase": "in_service", "up_since_ms": 0})
        };
        let members: Vec<_> = engines.iter().map(member).collect();
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

/// An engine whose connections a test handles itself, line by line.
pub struct ManualEngine {
    listener: Async<TcpListener>,
    pub addr: SocketAddr,
    /// Fills the listener's backlog; as long as it is open, no connection is established.
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

    /// No connection to it is established until [`ManualEngine::accept_backlog`]: its backlog holds one, which is used.
    pub async fn with_full_backlog() -> ManualEngine {
        let manual_engine = ManualEngine::new();
        rustix::net::listen(manual_engine.listener.get_ref(), 0).expect("a shorter queue");
        *manual_engine.backlog_filler.borrow_mut() = Some(connect(manual_engine.addr).await);
        manual_engine
    }

    /// Waiting connections are established when the kernel tries again, within about a second.
    pub async fn accept_backlog(&self) {
        rustix::net::listen(self.listener.get_ref(), 128).expect("a longer queue");
        let filler = self.backlog_filler.borrow_mut().take();
        let (first, _) = self.listener.accept().await.expect("the filler");
        drop((first, filler));
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
    /// The next command; `None` at the end.
    pub async fn next_command(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.bytes.iter().position(|b| *b == b'\n') {
                let rest = self.bytes.split_off(end + 1);
                let line = std::mem::replace(&mut self.bytes, rest);
                return Some(String::from_utf8(line).expect("text").trim_end().to_owned());
            }
            let mut part = [0; 4096];
            match self.stream.read(&mut part).await {
                Ok(0) | Err(_) => return None,
                Ok(n) => self.bytes.extend_from_slice(&part[..n]),
            }
        }
    }

    /// Writes as much as the router accepts.
    pub async fn send(&mut self, bytes: &[u8]) {
        let _ = self.stream.write_all(bytes).await;
    }
}

/// Waits until a condition holds; a test in which it never does fails.
pub async fn wait_until(seen: impl Fn() -> bool) {
    while !seen() {
        Timer::after(Duration::from_millis(5)).await;
    }
}

/// Runs a test on an executor of its own; one that hangs fails.
pub fn run_test<F: Future<Output = ()>>(test: impl FnOnce(Spawner) -> F) {
    let ex = Rc::new(LocalExecutor::new());
    let test = test(Spawner::new(&ex));
    async_io::block_on(ex.run(futures_lite::future::or(test, async {
        Timer::after(Duration::from_secs(30)).await;
        panic!("the test hangs");
    })));
}

pub fn start_router(file: &ConfigFile, ex: &Spawner) -> (Rc<Router>, SocketAddr) {
    let router = Router::load(file.0.clone(), ex.clone()).expect("usable");
    let addr = router.start().expect("listens");
    (router, addr)
}

/// A valid request.
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

/// Reads one response whole: its status, its head and its body. `None`: the connection ended before one.
pub async fn read_response(s: &mut Async<TcpStream>) -> Option<(u16, String, String)> {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|l| {
                l.to_ascii_lowercase()
                    .strip_prefix("content-length: ")?
                    .parse()
                    .ok()
            });
            if body.len() >= length.unwrap_or(0usize) {
                let status = head.split(' ').nth(1)?.parse().ok()?;
                return Some((status, head.to_owned(), body.to_owned()));
            }
        }
        let mut part = [0; 4096];
        match s.read(&mut part).await {
            Ok(0) | Err(_) => return None,
            Ok(n) => bytes.extend_from_slice(&part[..n]),
        }
    }
}

/// Sends a request over a connection of its own, and reads the response.
pub async fn send_request(addr: SocketAddr, request: &str) -> Option<(u16, String, String)> {
    let mut s = connect(addr).await;
    s.write_all(request.as_bytes()).await.ok()?;
    read_response(&mut s).await
}
