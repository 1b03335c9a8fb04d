//! Versioned configuration on which the routers of a fleet agree, and leases on tasks that one router performs for all.
//! State machines only: no I/O, no clock, no threads; time is passed in.

mod config_lease;
mod config_state;
mod config_watcher;
mod document;
mod duration;
mod endpoint_list;
pub mod fault_injection;
mod lease_table;
mod map_as_pairs;
mod merge;
mod task_lease_client;

pub use config_lease::*;
pub use config_state::*;
pub use config_watcher::*;
pub use document::*;
pub use duration::ConfigDuration;
pub use endpoint_list::*;
pub use lease_table::*;
pub use merge::{Change, Difference, Merge};
pub use task_lease_client::*;
