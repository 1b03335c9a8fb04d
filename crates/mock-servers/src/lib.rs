//! Mock servers and clients for tests and scenarios, written from public specifications: engines that simulate work, a
//! discovery service, and scripted clients. They fail on request, and record what passes on their sockets.
//!
//! - [`engine`]: an engine, and its [`engine_faults`];
//! - [`work_model`]: the work of an engine in simulated time, without I/O;
//! - [`workload_profile`]: what a statement costs and returns;
//! - [`ledger`]: the effects of statements that change data;
//! - [`discovery`]: a discovery service;
//! - [`client`]: scripted clients.

#![warn(missing_docs)]

pub mod client;
pub mod discovery;
pub mod engine;
pub mod engine_faults;
mod fencing;
pub mod ledger;
mod server_thread;
pub mod work_model;
pub mod workload_profile;

pub use server_thread::ServerThread;
