//! The addresses of engines and the transport of requests to them.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use hoptiller_http::{Limits, Method, Request};
use hoptiller_policy::EngineId;
use hoptiller_router_core::RouterIdentity;
use hoptiller_statement::extra;

use super::connection_pool::{ConnectionPool, EngineEndpoint, Timeouts};

/// Maximum bytes of the head of a response.
const MAX_RESPONSE_HEAD_BYTES: usize = 64 << 10;

/// Options of requests to engines.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// This router's name and incarnation, from which statement names are derived.
    pub identity: RouterIdentity,
    /// Timeout of a connection.
    pub connect_timeout: Duration,
    /// Timeout of a poll.
    pub poll_timeout: Duration,
    /// Maximum bytes of a page of rows.
    pub max_page_bytes: u64,
}

/// The addresses of engines, and the connections to them.
pub(super) struct EngineTransport {
    pub(super) options: EngineOptions,
    pub(super) pool: ConnectionPool,
    /// Names of the classes, by index.
    class_names: RefCell<Vec<String>>,
    addresses: RefCell<HashMap<EngineId, EngineAddress>>,
}

struct EngineAddress {
    name: String,
    addr: SocketAddr,
}

impl EngineTransport {
    pub(super) fn new(options: EngineOptions, class_names: Vec<String>) -> EngineTransport {
        let limits = Limits {
            max_body_bytes: options.max_page_bytes,
            max_head_bytes: MAX_RESPONSE_HEAD_BYTES,
            ..Limits::default()
        };
        EngineTransport {
            pool: ConnectionPool::new(limits),
            class_names: RefCell::new(class_names),
            addresses: RefCell::default(),
            options,
        }
    }

    pub(super) fn set_class_names(&self, names: Vec<String>) {
        *self.class_names.borrow_mut() = names;
    }

    /// Returns the name of a class, or an empty string if there is none.
    pub(super) fn class_name(&self, index: usize) -> String {
        let names = self.class_names.borrow();
        names.get(index).cloned().unwrap_or_default()
    }

    pub(super) fn update_address(&self, engine: EngineId, name: &str, addr: SocketAddr) {
        let mut addresses = self.addresses.borrow_mut();
        if addresses
            .get(&engine)
            .is_none_or(|known| known.addr != addr)
        {
            let name = name.to_owned();
            addresses.insert(engine, EngineAddress { name, addr });
        }
    }

    /// Returns the name of an engine, or its id if the name is unknown.
    pub(super) fn engine_name(&self, engine: EngineId) -> String {
        self.addresses
            .borrow()
            .get(&engine)
            .map_or_else(|| format!("#{}", engine.0), |known| known.name.clone())
    }

    /// Returns the endpoint of an engine, or `None` if no address was ever known.
    pub(super) fn endpoint(&self, engine: EngineId) -> Option<EngineEndpoint> {
        let addresses = self.addresses.borrow();
        let addr = addresses.get(&engine)?.addr;
        Some(EngineEndpoint { engine, addr })
    }

    /// Returns a request that names this router.
    pub(super) fn request(&self, method: Method, target: impl Into<String>) -> Request {
        Request::new(method, target).with_header(extra::ROUTER, &self.options.identity.router)
    }

    pub(super) fn poll_timeouts(&self) -> Timeouts {
        Timeouts {
            connect: self.options.connect_timeout,
            response: self.options.poll_timeout,
        }
    }
}
