//! The router for the platform's protocol: a front end, a connection pool and a watch client around
//! [`hoptiller_router_core`].
//!
//! - [`Router`]: the running router; `startup`, `reload` and `shutdown` are the phases of its lifecycle.
//! - `command_executor`: executes the commands of the core.
//! - `front_end`, `request_ids`, `statement_fields`: client requests, received by [`hoptiller_http::server`], their ids, and
//!   the fields that accompany a statement through the core.
//! - [`connection_pool`], `connection`: connections to engines, with one request at a time on each.
//! - [`attempt`], [`cancel`]: an attempt, its outcome and its cancellation.
//! - `watch_client`, `watch_call`, `watch_schedule`: the connections to the coordinator, which receive updates of the
//!   endpoint list, and when they are opened and closed.
//! - [`budget`], `connection_limiter`, `result_memory`, [`retry_limiter`]: resource limits.
//! - [`trace`]: compares the attempts in a router's log with the policy's counts.
//!
//! `hoptiller_platform_protocol` defines the wire format; `hoptiller_policy` makes the decisions.
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
mod request_ids;
mod result_memory;
pub mod retry_limiter;
mod router;
mod shutdown;
mod startup;
mod statement_fields;
pub mod trace;
mod watch_call;
mod watch_client;
mod watch_schedule;

pub use router::Router;
pub use startup::StartError;
