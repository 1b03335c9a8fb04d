//! Owns connections to engines that are kept open between requests.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_io::Async;
use hoptiller_http::client::{ClientError, Connection};
use hoptiller_http::{Limits, Request, Response};
use hoptiller_policy::EngineId;
use hoptiller_statement::extra;

type Open = Connection<Async<TcpStream>>;

/// Why there is no answer to a guarded exchange.
pub(super) enum Unsent {
    /// Its guard held it back: nothing was sent.
    Held(String),
    /// As with any exchange.
    Failed(ClientError),
}

/// Idle connections to one engine at most.
const IDLE: usize = 64;

pub(super) struct Pool {
    limits: Limits,
    idle: RefCell<HashMap<EngineId, (SocketAddr, Vec<Open>)>>,
}

impl Pool {
    pub(super) fn new(limits: Limits) -> Pool {
        Pool {
            limits,
            idle: RefCell::default(),
        }
    }

    /// One exchange, over a kept connection where there is one that the engine has not closed.
    ///
    /// Danger: an engine can close a kept connection just as the request is written. That is `Broken`, and the
    /// caller's to judge: it is not sent again here.
    pub(super) async fn exchange(
        &self,
        engine: EngineId,
        addr: SocketAddr,
        request: &Request,
        connect_within: Duration,
        within: Duration,
    ) -> Result<Response, ClientError> {
        match self
            .guarded(engine, addr, request, connect_within, within, || Ok(None))
            .await
        {
            Ok(answer) => Ok(answer),
            Err(Unsent::Failed(e)) => Err(e),
            Err(Unsent::Held(why)) => Err(ClientError::Connect(std::io::Error::other(why))),
        }
    }

    /// The same, with a guard that is asked once there is a connection, right before the first byte is written; what
    /// it gives goes along as [`extra::CONFIG_VERSIONS`].
    pub(super) async fn guarded(
        &self,
        engine: EngineId,
        addr: SocketAddr,
        request: &Request,
        connect_within: Duration,
        within: Duration,
        guard: impl FnOnce() -> Result<Option<String>, String>,
    ) -> Result<Response, Unsent> {
        let mut connection = match self.take(engine, addr) {
            Some(kept) => kept,
            None => Connection::open(addr, connect_within, self.limits)
                .await
                .map_err(Unsent::Failed)?,
        };
        let answer = match guard() {
            Err(why) => {
                self.give(engine, addr, connection);
                return Err(Unsent::Held(why));
            }
            Ok(None) => connection.exchange(request, within).await,
            Ok(Some(stamp)) => {
                connection
                    .exchange(
                        &request.clone().with_header(extra::CONFIG_VERSIONS, &stamp),
                        within,
                    )
                    .await
            }
        };
        if answer.is_ok() && connection.is_reusable() {
            self.give(engine, addr, connection);
        }
        answer.map_err(Unsent::Failed)
    }

    fn take(&self, engine: EngineId, addr: SocketAddr) -> Option<Open> {
        let mut idle = self.idle.borrow_mut();
        let (at, kept) = idle.get_mut(&engine)?;
        if *at != addr {
            idle.remove(&engine);
            return None;
        }
        while let Some(connection) = kept.pop() {
            if !connection.is_stale() {
                return Some(connection);
            }
        }
        None
    }

    fn give(&self, engine: EngineId, addr: SocketAddr, connection: Open) {
        let mut idle = self.idle.borrow_mut();
        let (at, kept) = idle.entry(engine).or_insert_with(|| (addr, Vec::new()));
        if *at == addr && kept.len() < IDLE {
            kept.push(connection);
        }
    }

    /// Forgets the connections to an engine.
    pub(super) fn forget(&self, engine: EngineId) {
        self.idle.borrow_mut().remove(&engine);
    }
}
