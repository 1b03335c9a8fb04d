//! A fleet of processes: which there are, which links are between them, and how each is started again.
//!
//! Every replica reaches every other over a link of its own, and every router every replica and discovery. Engines and
//! discovery are mock servers in this process that record what passes on their sockets.

mod coordination;
mod error;
mod files;
mod link_faults;
mod links;
mod replica_control;
mod replicas;
mod router_control;
mod routers;
mod test_fleet;
mod topology;

pub use error::FleetError;
pub use links::LinkId;
pub use test_fleet::{FIRST_VERSION, FLEET_NAME, TestFleet};
pub use topology::{EngineSpec, Topology};
