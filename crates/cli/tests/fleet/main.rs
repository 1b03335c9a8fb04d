//! Fleets of processes of the program, with faults between them. What is judged is what engines and clients recorded, never
//! what a router says of itself. Conditions are waited for, with timeouts far beyond what they take.

mod faults;
#[path = "../fleet_fixture/mod.rs"]
mod fleet_fixture;
mod program;
mod replicas;
mod versions;
