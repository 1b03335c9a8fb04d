//! A mock engine: it speaks the statement API, reports its load, announces itself to discovery, and fails on request.
//! What it is sent is simulated by the [work model](crate::work_model).
//!
//! - `config`: what an engine is and does;
//! - `state`: the work model, the statements and the fencing state, shared by all connections;
//! - `statement`: one statement that was submitted;
//! - `routes`: which request is answered by what;
//! - `submission`, `polling`, `control`, `node_info`: the requests by subject;
//! - `results`: the responses of the statement API;
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

/// Maximum size of a request's body in bytes.
const MAX_BODY_BYTES: u64 = 8 << 20;

impl EngineConfig {
    /// Starts the engine on a thread of its own.
    ///
    /// # Errors
    ///
    /// If it can't listen, or the thread can't be started.
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
    let handler: Handler = Rc::new(move |request| {
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
