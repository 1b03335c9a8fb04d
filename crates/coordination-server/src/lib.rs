//! The coordination server: three or five replicas that store configuration versions and leases in a durable replicated
//! log. The service is available while a quorum of replicas can communicate.
//!
//! [`replica`] implements a replica without sockets or a clock. It builds on [`replicated_log`], which encapsulates the
//! consensus library, and on [`storage`], which persists the replica's state. [`server`] connects a replica to sockets.
//! [`hoptiller_coordination`] defines the commands of the state machine.

#![warn(missing_docs)]

pub mod config;
pub mod entry;
mod expiry_check;
mod in_flight;
pub mod join;
pub mod membership;
mod node;
mod peer_link;
mod peer_protocol;
pub mod replica;
pub mod replicated_log;
mod replication;
pub mod request;
mod request_handlers;
mod responses;
pub mod server;
pub mod state_machine;
pub mod storage;

pub use config::{Config, ConfigError};
pub use peer_protocol::PeerError;
pub use server::{Server, StartError, StopReason};
