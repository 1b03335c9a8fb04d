//! A mock engine: it implements the statement API, reports its load, announces itself to discovery, and simulates
//! faults on request. Statements are not executed; the [work model](crate::work_model) simulates their work.
//!
//! - `config`: the configuration of an engine;
//! - `state`: the state that all connections share: the work model, the statements and the fencing tokens;
//! - `statement`: one submitted statement;
//! - `routes`: the dispatch of requests to their handlers;
//! - `submission`, `polling`, `control`, `node_info`: the handlers;
//! - `results`: the construction of responses of the statement API;
//! - `announcer`: the announcements to discovery.

mod announcer;
mod config;
mod control;
mod node_info;
mod polling;
mod results;
mod routes;
mod state;
mod statement;
mod submission;

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use hoptiller_audit::{Record, unix_micros};
use hoptiller_http::server::{Config, Handler};
use hoptiller_http::{Limits, Spawner};

use crate::server_thread::ServerThread;
pub use config::EngineConfig;
use state::Engine;

/// Maximum size of the content of a request.
const MAX_BODY_BYTES: u64 = 8 << 20;

impl EngineConfig {
    /// Starts the engine on a thread of its own.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine can't listen, or the thread can't be started.
    pub fn start(&self) -> io::Result<ServerThread> {
        let config = self.clone();
        ServerThread::spawn(&self.node, move |spawner| start(config, &spawner))
    }
}

fn start(config: EngineConfig, spawner: &Spawner) -> io::Result<SocketAddr> {
    let listener = hoptiller_http::server::bind(config.listen)?;
    let addr = listener.get_ref().local_addr()?;
    config.recorder.write(Record::EngineStarted {
        at: unix_micros(),
        engine: config.node.clone(),
        cold: config.starts_cold,
    });
    let engine = Rc::new(Engine::new(config, addr));
    spawner.spawn(state::run_work_model(engine.clone()));
    spawner.spawn(announcer::run(engine.clone()));
    let handler: Handler = Rc::new(move |request, _| {
        let engine = engine.clone();
        Box::pin(async move { routes::respond(&engine, &request).await })
    });
    let config = Config {
        limits: Limits {
            max_body_bytes: MAX_BODY_BYTES,
            ..Limits::default()
        },
        ..Config::default()
    };
    let server_spawner = spawner.clone();
    spawner.spawn(async move {
        hoptiller_http::server::serve(listener, config, handler, server_spawner).await;
    });
    Ok(addr)
}
