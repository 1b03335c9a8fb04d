//! The running router: core, front end, connections to engines, and watch on the endpoint list.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::{Rc, Weak};
use std::time::Duration;

use event_listener::Event;
use hoptiller_http::Spawner;
use hoptiller_http::server::ServerConnections;
use hoptiller_platform_protocol::{Catalog, Endpoint, EndpointListUpdate, Phase};
use hoptiller_policy::{EndpointEntry, EngineId, ListScope, Micros, Readiness};
use hoptiller_router_core::event_loop::EventLoop;
use hoptiller_router_core::{Core, StatementId};

use crate::budget::Budget;
use crate::cancel::CancelToken;
use crate::clock::ClockReference;
use crate::connection_pool::ConnectionPool;
use crate::front_end::FrontEnd;
use crate::watch_client::WatchClient;

/// A running router.
pub struct Router {
    pub(crate) this: Weak<Router>,
    pub(crate) config_file: PathBuf,
    pub(crate) name: String,
    pub(crate) listen: SocketAddr,
    pub(crate) event_loop: Rc<EventLoop>,
    pub(crate) catalog: Rc<Catalog>,
    pub(crate) front_end: Rc<FrontEnd>,
    pub(crate) pool: ConnectionPool,
    pub(crate) watch_client: WatchClient,
    pub(crate) spawner: Spawner,
    pub(crate) client_connections: Rc<ServerConnections>,
    /// The tokens of attempts from decision to outcome, by statement and attempt number.
    pub(crate) in_flight: RefCell<BTreeMap<(StatementId, u32), Rc<CancelToken>>>,
    /// The number of reloads requested so far. A new reload replaces one that is still in progress.
    pub(crate) reloads_requested: Cell<u64>,
    pub(crate) clock: ClockReference,
    pub(crate) stop_accepting: Event,
    pub(crate) is_accepting: Cell<bool>,
    /// The time after the start of a shutdown at which requests still in flight are abandoned.
    pub(crate) shutdown_timeout: Duration,
}

impl Router {
    /// Returns the number of the last event received from the coordinator.
    pub fn last_event(&self) -> u64 {
        self.watch_client.last_event()
    }

    /// Returns the number of attempts that were decided on and have no outcome yet.
    pub fn attempts_in_flight(&self) -> usize {
        self.in_flight.borrow().len()
    }

    /// Returns the number of connections to engines, including those being established.
    pub fn engine_connections(&self) -> usize {
        self.pool.open_connections()
    }

    /// Returns the number of engines in the connection pool.
    pub fn known_engines(&self) -> usize {
        self.pool.known_engines()
    }

    /// Returns the number of requests that the core holds, open and retained. Each is one statement there.
    pub fn known_requests(&self) -> usize {
        let usage = self.event_loop.core().usage();
        usage.open_statements + usage.retained_statements
    }

    /// Returns the number of request ids in flight.
    pub fn requests_in_flight(&self) -> usize {
        self.front_end.request_ids.in_flight()
    }

    /// Returns how descriptors and memory are divided.
    pub fn budget(&self) -> &Budget {
        &self.front_end.budget
    }

    /// Returns the number of open client connections.
    pub fn client_connections(&self) -> usize {
        self.client_connections.counts().open
    }

    /// Calls the core, executes the resulting commands, and wakes the event loop if necessary.
    pub(crate) fn with_core<T>(&self, call: impl FnOnce(&mut Core, Micros) -> T) -> T {
        self.event_loop.with_core(call)
    }

    /// Applies an update of the endpoint list.
    pub(crate) fn update_endpoints(&self, scope: ListScope, update: EndpointListUpdate) {
        if update.is_complete {
            self.pool.retain_listed(&update.endpoints);
        }
        for endpoint in &update.endpoints {
            self.pool.update_endpoint(endpoint);
        }
        let entries: Vec<EndpointEntry> = update
            .endpoints
            .iter()
            .map(|endpoint| self.policy_entry(endpoint))
            .collect();
        tracing::debug!(
            event = update.number,
            ?scope,
            ?entries,
            "endpoint list updated"
        );
        self.with_core(|core, now| core.update_endpoints(now, scope, entries));
    }

    fn policy_entry(&self, endpoint: &Endpoint) -> EndpointEntry {
        EndpointEntry {
            engine: EngineId(endpoint.id),
            zone: endpoint.zone,
            kind: endpoint.kind,
            cell: endpoint.cell.into(),
            ready_at: self.clock.start_time(endpoint.started_ms),
            readiness: match endpoint.phase {
                Phase::Ready => Readiness::Up,
                Phase::Draining => Readiness::Draining,
                Phase::Removed => Readiness::Removed,
            },
        }
    }
}
