//! Owns what plays in a day: discovery and engines on threads, routers as processes, and their files.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use async_io::block_on;
use hoptiller_audit::Recorder;
use hoptiller_http::client::Connection;
use hoptiller_http::{Limits, Method, Request};
use hoptiller_mock_servers::Running;
use hoptiller_mock_servers::discovery::{DiscoveryConfig, DiscoveryFaults};
use hoptiller_mock_servers::engine::EngineConfig;
use hoptiller_mock_servers::ledger::Ledger;
use serde_json::json;

use super::plan::{Act, Plan};
use crate::run::Failure;

struct Router {
    name: String,
    file: PathBuf,
    log: PathBuf,
    addr: SocketAddr,
    child: Option<Child>,
}

pub struct Stage {
    pub recorder: Recorder,
    discovery: DiscoveryConfig,
    discovery_faults: DiscoveryFaults,
    _discovery: Running,
    engines: Vec<(EngineConfig, Option<Running>)>,
    routers: Vec<Router>,
}

fn outside(what: &str) -> impl FnOnce(std::io::Error) -> Failure {
    let what = what.to_owned();
    move |e| Failure::Outside(what, e)
}

impl Stage {
    pub fn start(plan: &Plan, dir: &Path) -> Result<Stage, Failure> {
        let recorder = |name: &str| {
            Recorder::to_file(&dir.join(format!("{name}.jsonl"))).map_err(outside(name))
        };
        let rules = serde_json::to_string_pretty(&plan.checked.audit_rules()).unwrap_or_default();
        std::fs::write(dir.join("rules.json"), rules).map_err(outside("rules.json"))?;
        let environment = plan.checked.discovery.environment.clone();
        let discovery = DiscoveryConfig {
            recorder: recorder("discovery")?,
            environment,
            ..DiscoveryConfig::default()
        };
        let discovery_running = discovery
            .start()
            .map_err(outside("the stand-in discovery"))?;
        let ledger = Ledger::open(&dir.join("ledger.txt")).map_err(outside("ledger.txt"))?;
        let mut engines = Vec::new();
        for (n, e) in plan.engines.iter().enumerate() {
            let name = format!("engine-{n}");
            let mut config = EngineConfig::new(&name, &e.kind, &e.zone);
            config.environment.clone_from(&discovery.environment);
            config.discovery = Some(discovery_running.addr);
            config.recorder = recorder(&name)?;
            config.ledger = ledger.clone();
            config.cold = e.cold;
            let r = &plan.checked.rules;
            config.spec.speed = e.speed;
            config.spec.cores = plan
                .checked
                .kinds
                .iter()
                .find(|k| k.name == e.kind)
                .map_or(8.0, |k| k.cores);
            config.spec.cancels = plan.checked.engines.supports_cancel;
            // What the rules say of cold engines is true of these.
            config.spec.cold_for = r.slow_start_window.as_micros() as u64;
            config.spec.cold_from = r.start_capacity;
            config.spec.fall_multiple = r.overload_factor;
            config.spec.fall_for = r.overload_window.as_micros() as u64;
            let running = config.start().map_err(outside(&name))?;
            config.listen = running.addr;
            config.cold = true;
            engines.push((config, Some(running)));
        }
        let mut routers = Vec::new();
        for n in 0..plan.routers {
            routers.push(Router::new(plan, dir, n, discovery_running.addr)?);
        }
        let (recorder, discovery_faults) = (recorder("clients")?, DiscoveryFaults::default());
        let mut stage = Stage {
            recorder,
            discovery,
            discovery_faults,
            _discovery: discovery_running,
            engines,
            routers,
        };
        for n in 0..stage.routers.len() {
            stage.routers[n].start()?;
        }
        let engines = stage.engines.len();
        stage.routers.iter().try_for_each(|r| r.wait_for(engines))?;
        Ok(stage)
    }

    /// Names and addresses of the routers.
    pub fn addresses(&self) -> Vec<(String, SocketAddr)> {
        self.routers
            .iter()
            .map(|r| (r.name.clone(), r.addr))
            .collect()
    }

    pub fn act(&mut self, act: &Act) -> Result<(), Failure> {
        match act {
            Act::Rush(_) => {}
            Act::Fault { engine, faults } => self.engines[*engine].0.fail(faults.clone()),
            Act::Drain(n) => {
                let addr = self.engines[*n].0.listen;
                let mut request = Request::new(Method::Put, "/v1/info/state");
                request.body = b"\"SHUTTING_DOWN\"".to_vec();
                let _ = ask(addr, &request);
            }
            Act::Crash(n) => {
                if let Some(running) = self.engines[*n].1.take() {
                    running.crash();
                }
            }
            Act::Start(n) => {
                let (config, running) = &mut self.engines[*n];
                if running.is_none() {
                    *running = Some(config.start().map_err(outside(&config.node))?);
                }
            }
            Act::Kill(n) => {
                let router = &mut self.routers[*n];
                if let Some(mut child) = router.child.take() {
                    // Recorded first: what it answers in its last moment counts either way.
                    self.recorder.write(super::killed(&router.name));
                    child
                        .kill()
                        .and_then(|()| child.wait())
                        .map_err(outside(&router.name))?;
                }
            }
            Act::End(n) => self.routers[*n].tell_to_end()?,
            Act::Route(n) => {
                let router = &mut self.routers[*n];
                router.join()?;
                router.start()?;
            }
            Act::Stale(on) => {
                self.discovery_faults.stale = *on;
                self.discovery.fail(self.discovery_faults);
            }
            Act::Down(on) => {
                self.discovery_faults.down = *on;
                self.discovery.fail(self.discovery_faults);
            }
        }
        Ok(())
    }

    /// Ends the routers as an operator would, then everything else.
    pub fn end(mut self) -> Result<(), Failure> {
        for router in &mut self.routers {
            router.tell_to_end()?;
        }
        for router in &mut self.routers {
            router.join()?;
        }
        // What engines still work on is the last that can post.
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(40)
            && self
                .engines
                .iter()
                .any(|(c, r)| r.is_some() && busy(c.listen))
        {
            std::thread::sleep(Duration::from_millis(100));
        }
        Ok(())
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn ask(addr: SocketAddr, request: &Request) -> Option<Vec<u8>> {
    block_on(async {
        let limit = Duration::from_secs(2);
        let mut connection = Connection::open(addr, limit, Limits::default())
            .await
            .ok()?;
        connection
            .exchange(request, limit)
            .await
            .ok()
            .map(|a| a.body)
    })
}

fn busy(engine: SocketAddr) -> bool {
    ask(engine, &Request::new(Method::Get, "/v1/status"))
        .and_then(|body| serde_json::from_slice::<serde_json::Value>(&body).ok())
        .is_some_and(|status| status["processCpuLoad"].as_f64().unwrap_or(0.0) > 0.0)
}

impl Router {
    fn new(plan: &Plan, dir: &Path, n: u32, discovery: SocketAddr) -> Result<Router, Failure> {
        let name = format!("router-{n}");
        // A free port, kept over restarts so that clients find their URIs again.
        let free = std::net::TcpListener::bind(("127.0.0.1", 0)).and_then(|l| l.local_addr());
        let addr = free.map_err(outside("no free port"))?;
        let mut settings = plan.settings.clone();
        settings["router"] = json!({
            "name": name, "index": n, "of": plan.routers, "listen": addr.to_string(),
            "state": dir.join(format!("{name}.state")), "seed": n + 1,
        });
        settings["discovery"]["address"] = json!(discovery.to_string());
        let file = dir.join(format!("{name}.jsonnet"));
        std::fs::write(&file, format!("{settings:#}")).map_err(outside(&name))?;
        let log = dir.join(format!("{name}.log"));
        Ok(Router {
            name,
            file,
            log,
            addr,
            child: None,
        })
    }

    fn start(&mut self) -> Result<(), Failure> {
        let mut log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .map_err(outside(&self.name))?;
        writeln!(log, "---- a new process").map_err(outside(&self.name))?;
        let program = std::env::current_exe().map_err(outside("this program's own file"))?;
        let mut child = Command::new(program)
            .args(["--log", "info", "route"])
            .arg(&self.file)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .map_err(outside(&self.name))?;
        let mut line = String::new();
        if let Some(stdout) = child.stdout.take() {
            let _ = BufReader::new(stdout.take(4096)).read_line(&mut line);
        }
        self.child = Some(child);
        match line.starts_with("ready ") {
            true => Ok(()),
            false => Err(Failure::Usage(format!(
                "{} did not start; see {}",
                self.name,
                self.log.display()
            ))),
        }
    }

    /// Waits until it knows all engines.
    fn wait_for(&self, engines: usize) -> Result<(), Failure> {
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(20) {
            let info = ask(self.addr, &Request::new(Method::Get, "/v1/info"));
            let info =
                info.and_then(|body| serde_json::from_slice::<serde_json::Value>(&body).ok());
            if info.is_some_and(|i| i["engines"] == json!(engines)) {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Err(Failure::Usage(format!(
            "{} does not see its engines; see {}",
            self.name,
            self.log.display()
        )))
    }

    fn tell_to_end(&mut self) -> Result<(), Failure> {
        use rustix::process::{Pid, Signal, kill_process};
        if let Some(child) = &self.child
            && let Some(pid) = Pid::from_raw(child.id() as i32)
        {
            // One that has ended by itself can't be told any more.
            let _ = kill_process(pid, Signal::TERM);
        }
        Ok(())
    }

    /// Waits for its process to end.
    fn join(&mut self) -> Result<(), Failure> {
        if let Some(mut child) = self.child.take() {
            child.wait().map_err(outside(&self.name))?;
        }
        Ok(())
    }
}
