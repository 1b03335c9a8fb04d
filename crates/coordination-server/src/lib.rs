//! Keepers: three or five processes that hold a fleet's versions and permits in a replicated, durable log, and go on as
//! long as more than half of them reach each other.
//!
//! [`core`] is a keeper without I/O or clock; below it [`log`] hides the consensus library, and [`disk`] keeps what must
//! outlive the process. [`service`] ties it to sockets. What versions and permits are is [`hoptiller_coordination`]'s.

pub mod config;
pub mod core;
pub mod disk;
mod held;
pub mod join;
mod links;
pub mod log;
pub mod machine;
pub mod members;
mod peers;
mod reply;
pub mod service;

pub use config::{Config, ConfigError};
pub use disk::DiskError;
pub use members::Members;
pub use service::{Ended, Keeper, StartError};
