//! A fleet of processes, the links between them, and the control of each process.
//!
//! There is a separate link from each replica to each other one, and from each router to each replica and to discovery.
//! The earlier replicas share one link to each replacement, and routers reach it over the links of the initial replica.
//! Engines and discovery are mock servers in the current
//! process that record the traffic on their sockets.

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
