//! Test fleets on loopback with fault injection, and the scenarios that run on them.
//!
//! A [`TestFleet`] starts routers and replicas of the coordination store as child processes, and runs mock engines and
//! mock discovery in the current process. Connections between replicas, and from routers to replicas and discovery,
//! pass through a [`Link`]: a proxy that can block, delay and reset them. A [`FleetScenario`] applies events and client
//! load to such a fleet. A [`RouterScenario`] does the same for routers without a coordination store, and injects
//! faults into engines and discovery instead of links.
//!
//! [`hoptiller_audit`] computes the verdict on a run from records of the traffic on sockets.

#![warn(missing_docs)]

mod client_load;
mod client_threads;
mod error;
pub mod fleet;
pub mod fleet_scenario;
pub mod link;
mod mock_engine;
pub mod process;
mod rng;
pub mod router_scenario;
mod stable_address;

pub use client_load::{ClientLoad, ClientLoadConfig, RouterAddress, StatementDraws, WorkloadClass};
pub use error::ScenarioError;
pub use fleet::{EngineSpec, FleetError, LinkId, TestFleet, Topology};
pub use fleet_scenario::FleetScenario;
pub use link::{DirectionFaults, Link, LinkFaults};
pub use process::Process;
pub use rng::SeededRng;
pub use router_scenario::RouterScenario;
pub use stable_address::stable_address;
