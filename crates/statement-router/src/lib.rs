//! The router on the statement API: accepts statements, lets the policy decide where each goes, and executes that.
//!
//! Dependencies point one way:
//!
//! - [`service`] ties a running router together; its submodules execute the core's commands, receive what engines and
//!   discovery report, and apply the fleet's configuration;
//! - [`front_end`] serves clients and administrators;
//! - [`discovery`] reads the list of engines, [`engines`] runs attempts; they do I/O and decide nothing;
//! - [`context`] is what these share of a running router;
//! - [`fleet_member`] and [`task_leases`] hold its leases in a coordinated fleet;
//! - [`endpoint_list`], [`recovery`] and [`statistics_store`] hold single concerns, without I/O but for the last;
//! - [`settings`] is the settings file.
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
