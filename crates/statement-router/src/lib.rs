//! A router for the SQL statement API: accepts statements, lets the policy decide where each is sent, and executes
//! its decisions.
//!
//! Dependencies point one way:
//!
//! - [`service`] assembles a running router; its submodules execute the core's commands, receive reports of engines
//!   and discovery, and apply the fleet configuration;
//! - [`front_end`] serves clients and administrators;
//! - [`discovery`] reads the list of engines and [`engines`] runs attempts; both perform I/O and make no decisions;
//! - [`context`] holds the state that these modules share;
//! - [`fleet_member`] and [`task_leases`] hold the router's leases in a coordinated fleet;
//! - [`endpoint_list`], [`recovery`] and [`statistics_store`] maintain the endpoint list, derive responses for
//!   statements of earlier incarnations, and save statistics; of the three, only the last performs I/O;
//! - [`settings`] reads and validates the settings file.
//!
//! The core itself is [`hoptiller_router_core`].

#![warn(missing_docs)]

mod atomic_file;
pub mod context;
pub mod discovery;
pub mod endpoint_list;
pub mod engines;
mod findings;
pub mod fleet_member;
pub mod front_end;
pub mod recovery;
pub mod service;
pub mod settings;
pub mod statistics_store;
pub mod task_leases;

pub use service::{Service, ShutdownOutcome};
pub use settings::{SettingError, Settings};
