//! Test fleets on loopback with faults between their processes, and the scenarios that are run on them.
//!
//! A [`TestFleet`] starts replicas of the coordination store and routers as processes of the program, and runs mock engines
//! and discovery in this process. Each connection between two of them passes a [`Link`]: a proxy that can be blocked,
//! slowed and reset. A [`FleetScenario`] plays events and client load on such a fleet. A [`RouterScenario`] does the same
//! for routers without a coordination store, and has faults inside of engines and discovery instead of links.
//!
//! What happened is judged from what crossed sockets, by [`hoptiller_audit`].

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

pub use client_load::{ClientLoad, ClientLoadConfig, RouterAddress, StatementDraws, WorkloadMix};
pub use error::ScenarioError;
pub use fleet::{EngineSpec, FleetError, LinkId, TestFleet, Topology};
pub use fleet_scenario::FleetScenario;
pub use link::{DirectionFaults, Link, LinkFaults};
pub use process::Process;
pub use rng::SeededRng;
pub use router_scenario::RouterScenario;
