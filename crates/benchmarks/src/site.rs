//! Owns the place that is measured: discovery and engines on threads here, a router as a process of its own, so
//! that it shares nothing with the load.

use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use futures_lite::future::block_on;
use hoptiller_http::client::{ClientError, Connection};
use hoptiller_http::{Limits, Method, Request, Response};
use hoptiller_mock_servers::ServerThread;
use hoptiller_mock_servers::discovery::DiscoveryConfig;
use hoptiller_mock_servers::engine::EngineConfig;
use serde_json::{Value, json};

/// What each measurement starts from.
#[derive(Clone, clap::Args)]
pub struct Place {
    /// The program, built in release
    #[arg(long, default_value = "target/release/hoptiller")]
    program: PathBuf,
    /// The settings that the router starts from
    #[arg(long, default_value = "examples/derby.jsonnet")]
    settings: PathBuf,
}

impl Place {
    /// The settings that the router starts from.
    pub fn settings_file(&self) -> PathBuf {
        self.settings.clone()
    }
}

/// A process that is measured; ended with this.
pub struct Measured {
    pub addr: SocketAddr,
    child: Child,
}

impl Measured {
    /// Starts a process that says `ready http://ADDR`.
    pub fn start(command: &mut Command) -> io::Result<Measured> {
        let mut child = command
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        let mut line = String::new();
        if let Some(out) = child.stdout.take() {
            BufReader::new(out).read_line(&mut line)?;
        }
        match line
            .trim()
            .strip_prefix("ready http://")
            .and_then(|a| a.parse().ok())
        {
            Some(addr) => Ok(Measured { addr, child }),
            None => {
                let _ = child.kill();
                let _ = child.wait();
                Err(io::Error::other(format!("{command:?} did not start")))
            }
        }
    }

    /// Its resident memory, in bytes.
    pub fn memory(&self) -> io::Result<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        let kb = line.and_then(|l| l.trim().trim_end_matches("kB").trim().parse::<u64>().ok());
        kb.map(|kb| kb * 1024)
            .ok_or_else(|| io::Error::other("no VmRSS"))
    }
}

impl Drop for Measured {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub struct Site {
    _discovery: ServerThread,
    pub engines: Vec<EngineConfig>,
    _running: Vec<ServerThread>,
    pub router: Measured,
}

impl Site {
    pub fn new(
        place: &Place,
        engines: usize,
        change: impl FnOnce(&mut Value),
        engine: impl Fn(&mut EngineConfig),
    ) -> io::Result<Site> {
        let discovery = DiscoveryConfig::default().start()?;
        let (mut configs, mut running) = (Vec::new(), Vec::new());
        for n in 0..engines {
            let mut config = EngineConfig::new(&format!("e{n}"), "std-8a", "hall-a");
            config.discovery = Some(discovery.addr);
            engine(&mut config);
            let started = config.start()?;
            config.listen = started.addr;
            configs.push(config);
            running.push(started);
        }
        let mut value = hoptiller_statement_router::settings::evaluate_file(&place.settings)
            .map_err(|p| io::Error::other(p.to_string()))?;
        value["router"]["listen"] = json!("127.0.0.1:0");
        value["router"]["state"] = Value::Null;
        value["discovery"]["address"] = json!(discovery.addr.to_string());
        change(&mut value);
        // JSON is Jsonnet too.
        let file =
            std::env::temp_dir().join(format!("hoptiller-measure-{}.jsonnet", std::process::id()));
        std::fs::write(&file, value.to_string())?;
        let router = Measured::start(Command::new(&place.program).arg("route").arg(&file));
        std::fs::remove_file(&file)?;
        let site = Site {
            _discovery: discovery,
            engines: configs,
            _running: running,
            router: router?,
        };
        let began = Instant::now();
        while site.info()["engines"] != json!(engines) {
            if began.elapsed() > Duration::from_secs(20) {
                return Err(io::Error::other("the router does not see its engines"));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Ok(site)
    }

    pub fn info(&self) -> Value {
        let answer = ask(self.router.addr, &Request::new(Method::Get, "/v1/info"));
        answer
            .ok()
            .and_then(|a| serde_json::from_slice(&a.body).ok())
            .unwrap_or_default()
    }
}

/// Statements and answers that last for the whole measurement.
pub fn patient(v: &mut Value) {
    for class in v["classes"].as_array_mut().into_iter().flatten() {
        class["patience"] = json!("1h");
        class["aim"] = json!("30m");
    }
}

/// One exchange on a connection of its own.
pub fn ask(addr: SocketAddr, request: &Request) -> Result<Response, ClientError> {
    let limit = Duration::from_secs(30);
    block_on(async {
        Connection::open(addr, limit, Limits::default())
            .await?
            .exchange(request, limit)
            .await
    })
}

/// A submission.
pub fn post(class: &str, text: &str) -> Request {
    let mut request = Request::new(Method::Post, "/v1/statement")
        .with("X-Trino-User", "measure")
        .with("X-Trino-Client-Tags", &format!("class={class}"));
    request.body = text.into();
    request
}

/// The path of an answer's `nextUri`.
pub fn next(answer: &Response) -> Option<String> {
    let value: Value = serde_json::from_slice(&answer.body).ok()?;
    let uri = value["nextUri"].as_str()?;
    Some(uri[uri.find("/v1")?..].to_owned())
}
