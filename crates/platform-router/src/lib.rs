//! The router on the platform's protocol: a front end, a connection pool and a watch client for
//! [`hoptiller_router_core`].
//!
//! - [`Router`]: the running router; `startup`, `reload` and `shutdown` are the phases of its lifecycle.
//! - `command_executor`: carries out the commands of the core.
//! - `front_end`, `statement_fields`: clients, over [`hoptiller_http::server`]; what goes with a statement through the core.
//! - [`connection_pool`], `connection`: connections to engines; one request at a time on each.
//! - [`attempt`], [`cancel`]: one attempt, its outcome, and its cancellation.
//! - `watch_client`: the connection to the coordinator, and the updates of the endpoint list.
//! - [`budget`], `connection_limiter`, `result_memory`, [`retry_limiter`]: resource limits.
//! - [`trace`]: checks the log of attempts against what the policy counted.
//!
//! The wire format is in `hoptiller_platform_protocol`; decisions are made in `hoptiller_policy`.
#![warn(missing_docs)]

pub mod attempt;
pub mod budget;
pub mod cancel;
mod clock;
mod command_executor;
mod connection;
mod connection_limiter;
pub mod connection_pool;
pub mod endpoint;
mod front_end;
mod reload;
mod result_memory;
pub mod retry_limiter;
mod router;
mod shutdown;
mod startup;
mod statement_fields;
pub mod trace;
mod watch_client;

pub use router::Router;
pub use startup::StartError;
