//! Mock servers and clients for tests and scenarios, written from Trino's public documentation: engines that simulate
//! work, a discovery service, and scripted clients. They simulate faults on request, and record submissions, their ends
//! and effects, and what routers learn.
//!
//! - [`engine`]: an engine, with the faults of [`engine_faults`];
//! - [`work_model`]: the work of an engine in simulated time, without I/O;
//! - [`workload_profile`]: the cost and the result of a statement;
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
