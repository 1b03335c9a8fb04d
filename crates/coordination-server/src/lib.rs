//! The coordination server: three or five replicas that hold the versions of the configuration and the leases in a
//! replicated, durable log, and serve as long as a quorum of them reach each other.
//!
//! [`replica`] is a replica without I/O or clock; below it [`replicated_log`] hides the consensus library, and
//! [`storage`] keeps what must outlive the process. [`server`] connects it to sockets. The state machine's commands are
//! [`hoptiller_coordination`]'s.

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
