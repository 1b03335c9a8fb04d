//! The router on our platform: its protocol as one more way in and out of [`hoptiller_router_core`].
//!
//! - [`node`]: ties the core to the rest, and runs its rounds.
//! - [`front`]: clients, over [`hoptiller_http::server`].
//! - [`attempt`], [`cancel`]: one attempt: what is sent, what came of it, and how it is taken back.
//! - [`links`]: connections to engines; one request a connection.
//! - [`follower`]: the coordinator.
//! - [`budget`]: how descriptors and memory are divided.
//! - [`retries`]: further attempts, counted when they begin.
//! - [`trace`]: what the trace tells of attempts, against what the decisions believed.
//!
//! Parsers are in `hoptiller_platform_protocol`; decisions are in `hoptiller`.

pub mod attempt;
pub mod budget;
pub mod cancel;
pub mod follower;
pub mod front;
pub mod links;
pub mod node;
pub mod retries;
pub mod trace;

pub use node::Node;
