//! The service in simulated time: the same router cores, decisions and engine models that the sockets use, with
//! the way between them, the clock and the clients replaced. Same plan and seed: same run.
//!
//! - [`plan`]: what is drawn ahead: engines, statements and when they come.
//! - [`world`]: the events, and what became of each statement.
//! - [`study`]: the study of runaways.

pub mod plan;
pub mod study;
pub mod world;

pub use plan::{Engine, Plan, Planted, Statement};
pub use world::{Attempt, Came, Run, play};
