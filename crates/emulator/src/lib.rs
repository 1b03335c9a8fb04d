//! The service in simulated time: the router cores, decisions and work models of the programs, with the network, the clock
//! and the clients replaced. The same plan and seed give the same run.
//!
//! - [`plan`]: what is drawn before a run: engines, statements and when they are submitted;
//! - [`simulation`]: the run of a plan, event by event;
//! - [`run`]: what a run records;
//! - [`study`]: the study of runaway detection.

#![warn(missing_docs)]

pub mod plan;
pub mod run;
pub mod simulation;
pub mod study;
