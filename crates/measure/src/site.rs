//! Owns the place that is measured: discovery, engines and a router, each on a thread of its own.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_lite::future::block_on;
use hoptiller_http::client::{ClientError, Connection};
use hoptiller_http::{Limits, Method, Request, Response};
use hoptiller_router::{Service, Settings};
use hoptiller_standin::Running;
use hoptiller_standin::discovery::DiscoveryConfig;
use hoptiller_standin::engine::EngineConfig;
use serde_json::{Value, json};

const EXAMPLE: &str = include_str!("../../../examples/derby.jsonnet");

pub struct Site {
    _discovery: Running,
    pub engines: Vec<EngineConfig>,
    _running: Vec<Running>,
    _router: Running,
    pub addr: SocketAddr,
}

impl Site {
    pub fn new(
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
        let mut value = hoptiller_router::settings::evaluate("derby.jsonnet", EXAMPLE)
            .map_err(|p| io::Error::other(p.to_string()))?;
        value["router"]["listen"] = json!("127.0.0.1:0");
        value["router"]["state"] = Value::Null;
        value["discovery"]["address"] = json!(discovery.addr.to_string());
        change(&mut value);
        let settings =
            Settings::from_value("derby.jsonnet", &value).map_err(|p| io::Error::other(format!("{p:?}")))?;
        let router = Running::new("router", move |spawner| {
            let service =
                Service::new(settings, b"secret", "measure".into(), spawner).map_err(io::Error::other)?;
            service.start(Rc::new(|_| None))
        })?;
        let addr = router.addr;
        let site = Site { _discovery: discovery, engines: configs, _running: running, _router: router, addr };
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
        let answer = ask(self.addr, &Request::new(Method::Get, "/v1/info"));
        answer.ok().and_then(|a| serde_json::from_slice(&a.body).ok()).unwrap_or_default()
    }
}

/// One exchange on a connection of its own.
pub fn ask(addr: SocketAddr, request: &Request) -> Result<Response, ClientError> {
    let limit = Duration::from_secs(30);
    block_on(async { Connection::open(addr, limit, Limits::default()).await?.exchange(request, limit).await })
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
