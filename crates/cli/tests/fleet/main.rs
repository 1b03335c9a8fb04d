//! Fleets of processes of the program, with faults between them. The verdicts use only the records of engines and clients,
//! never what a router reports of itself. The tests wait for conditions, with timeouts far above the usual duration.

mod faults;
#[path = "../fleet_fixture/mod.rs"]
mod fleet_fixture;
mod program;
mod replicas;
mod versions;
