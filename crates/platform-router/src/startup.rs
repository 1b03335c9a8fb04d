//! Creation of a router from its configuration file, and its start.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::{Rc, Weak};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_io::Timer;
use event_listener::Event;
use hoptiller_http::Spawner;
use hoptiller_http::server::{self, ServerConnections};
use hoptiller_platform_protocol::request::ClassOptions;
use hoptiller_platform_protocol::{Catalog, Config, ConfigError, EndpointListUpdate};
use hoptiller_policy::{Class, Idempotency, ListScope, Micros};
use hoptiller_policy_settings::Settings;
use hoptiller_router_core::event_loop::EventLoop;
use hoptiller_router_core::{self as core, Core, CoreLimits};

use crate::budget::Budget;
use crate::clock::ClockReference;
use crate::connection_pool::{ConnectionPool, PoolConfig};
use crate::front_end::{self, FrontEnd};
use crate::request_ids::RequestIds;
use crate::retry_limiter::RetryLimiter;
use crate::router::Router;
use crate::shutdown;
use crate::watch_client::WatchClient;

/// The time reserved before a client's timeout for the last attempt's outcome, the decision and the response.
const RESPONSE_MARGIN: Micros = 30_000;
/// The time without polls after which the core abandons a request. It is never reached: requests are cancelled as soon
/// as their client closes its connection.
const ABANDON_AFTER: Micros = 600_000_000;
/// Interval of the checks for expired idle connections.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(500);
/// The idle timeout of connections, as a fraction of the engines' own.
const IDLE_TIMEOUT_FACTOR: f64 = 0.7;
const MIN_CONNECT_TIMEOUT_MS: f64 = 50.0;
const MIN_IDLE_TIMEOUT_MS: f64 = 500.0;
const MIN_TICK_MS: f64 = 1.0;

/// The reason why a router can't start or its configuration can't be reloaded.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The configuration file can't be read.
    #[error("the file can't be read: {0}")]
    File(#[source] io::Error),
    /// The configuration is invalid.
    #[error("{0}")]
    Config(#[source] ConfigError),
    /// The policy rejects the settings.
    #[error("settings: {0}")]
    Settings(#[source] hoptiller_policy::SettingsError),
    /// The reloaded configuration belongs to another router.
    #[error("name: expected {expected}, found {found}")]
    OtherRouter {
        /// The name of the running router.
        expected: String,
        /// The name in the configuration.
        found: String,
    },
}

/// Reads and validates a configuration file.
pub(crate) fn read_config(file: &Path) -> Result<Config, StartError> {
    let bytes = std::fs::read(file).map_err(StartError::File)?;
    Config::parse(&bytes).map_err(StartError::Config)
}

impl Router {
    /// Creates a router from its configuration file.
    ///
    /// # Errors
    /// Returns an error if the file can't be read, or the configuration or its settings are invalid.
    pub fn load(config_file: PathBuf, spawner: Spawner) -> Result<Rc<Router>, StartError> {
        let config = read_config(&config_file)?;
        let endpoints = config.initial_endpoints().map_err(StartError::Config)?;
        let budget = Budget::from_limits(&config.limits);
        let policy = policy_settings(&config);
        tracing::debug!(limits = ?config.limits, settings = ?policy, "starting");
        let catalog = Rc::new(catalog(&config.settings, &policy.classes));
        let pool_config = pool_config(&config.settings, &budget);
        let tick = duration_from_millis(config.settings.tick, MIN_TICK_MS);
        let shutdown_timeout = shutdown::timeout(&policy.classes);
        let retries = Rc::new(RetryLimiter::new(policy.rules.retry_budget));
        let identity = core::RouterIdentity {
            router: config.name.clone(),
            incarnation: config.seed.clone(),
        };
        let core = Core::new(policy, config.seed(), core_limits(&budget), None, identity)
            .map_err(StartError::Settings)?;
        let router = Rc::new_cyclic(|this: &Weak<Router>| {
            let event_loop = Rc::new(EventLoop::new(core, tick, this.clone()));
            let clock = clock_reference(&event_loop);
            let front_end = FrontEnd {
                event_loop: event_loop.clone(),
                catalog: catalog.clone(),
                budget,
                retries: retries.clone(),
                request_ids: RequestIds::default(),
                spawner: spawner.clone(),
            };
            Router {
                this: this.clone(),
                config_file,
                name: config.name,
                listen: config.listen,
                event_loop,
                catalog,
                front_end: Rc::new(front_end),
                pool: ConnectionPool::new(pool_config, retries),
                watch_client: WatchClient::new(config.coordinator, endpoints.number),
                spawner,
                client_connections: Rc::new(ServerConnections::new(budget.client_connections)),
                in_flight: RefCell::default(),
                reloads_requested: Cell::new(0),
                clock,
                stop_accepting: Event::new(),
                is_accepting: Cell::new(false),
                shutdown_timeout,
            }
        });
        router.update_endpoints(ListScope::Cached, endpoints);
        Ok(router)
    }

    /// Listens for clients, starts all tasks, and returns the listening address.
    ///
    /// # Errors
    /// Returns an error if the address can't be bound.
    pub fn start(self: &Rc<Self>) -> io::Result<SocketAddr> {
        let listener = server::bind(self.listen)?;
        let addr = listener.get_ref().local_addr()?;
        let router = self.clone();
        self.spawner
            .spawn(async move { router.event_loop.run().await });
        let router = self.clone();
        self.spawner.spawn(async move {
            let apply = |update| router.update_endpoints(list_scope(&update), update);
            router.watch_client.run(apply).await;
        });
        let router = self.clone();
        self.spawner.spawn(async move {
            loop {
                Timer::after(EXPIRY_INTERVAL).await;
                router.pool.close_expired_connections();
            }
        });
        let (router, stop) = (self.clone(), self.stop_accepting.listen());
        self.is_accepting.set(true);
        self.spawner.spawn(async move {
            let front_end = router.front_end.clone();
            front_end::serve(front_end, listener, router.client_connections.clone(), stop).await;
            router.is_accepting.set(false);
        });
        Ok(addr)
    }
}

/// Returns the policy's settings. Well-behaved clients use at most a third of the descriptors and have one request in
/// flight per connection, which limits the requests in flight.
fn policy_settings(config: &Config) -> hoptiller_policy::Settings {
    let mut policy = config.settings.to_policy();
    let max_open = config.limits.sockets / 3;
    policy.limits.max_open_requests = match policy.limits.max_open_requests {
        0 => max_open,
        configured => configured.min(max_open),
    };
    policy
}

fn catalog(settings: &Settings, classes: &[Class]) -> Catalog {
    Catalog {
        classes: settings
            .classes
            .iter()
            .zip(classes)
            .map(|(lane, class)| class_options(&lane.name, class))
            .collect(),
        tenants: settings
            .tenants
            .iter()
            .map(|tenant| tenant.name.clone())
            .collect(),
    }
}

fn class_options(name: &str, class: &Class) -> ClassOptions {
    ClassOptions {
        name: name.to_owned(),
        timeout: class.deadline,
        requires_idempotency_key: matches!(class.idempotency, Idempotency::WithKey { .. }),
        is_not_idempotent: class.idempotency == Idempotency::NotIdempotent,
    }
}

fn pool_config(settings: &Settings, budget: &Budget) -> PoolConfig {
    let limits = &settings.limits;
    let connect_timeout = duration_from_millis(limits.connect_timeout, MIN_CONNECT_TIMEOUT_MS);
    PoolConfig {
        connect_timeout,
        health_check_timeout: connect_timeout,
        idle_timeout: duration_from_millis(
            limits.idle_timeout * IDLE_TIMEOUT_FACTOR,
            MIN_IDLE_TIMEOUT_MS,
        ),
        max_connections: budget.engine_connections,
        max_result_bytes: budget.result_bytes,
    }
}

fn core_limits(budget: &Budget) -> CoreLimits {
    CoreLimits {
        max_open_statements: budget.open_requests,
        max_statement_bytes: budget.request_bytes,
        max_retained_responses: 0,
        retention: 0,
        abandon_after: ABANDON_AFTER,
        max_buffered_bytes: budget.result_bytes,
        response_margin: RESPONSE_MARGIN,
    }
}

fn clock_reference(event_loop: &EventLoop) -> ClockReference {
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    ClockReference {
        core: event_loop.now(),
        unix: unix.as_micros() as Micros,
    }
}

fn duration_from_millis(ms: f64, min_ms: f64) -> Duration {
    Duration::from_micros(hoptiller_policy_settings::micros_from_millis(
        ms.max(min_ms),
    ))
}

fn list_scope(update: &EndpointListUpdate) -> ListScope {
    if update.is_complete {
        ListScope::All
    } else {
        ListScope::Changes
    }
}
