//! A simulation of the service. It runs the router cores and the engines' work models of the real programs, and replaces the
//! network, the clock and the clients. The same plan and seed give the same run.
//!
//! - [`plan`]: the engines, statements and submission times that are drawn before a run;
//! - [`simulation`]: the execution of a plan, event by event;
//! - [`run`]: the record of a run;
//! - [`study`]: the study of runaway detection.

#![warn(missing_docs)]

pub mod plan;
pub mod run;
pub mod simulation;
pub mod study;
