//! Model checking of task leases. The checker explores all executions, within bounds, of replicas and routers: messages are
//! lost, duplicated and reordered, clocks run at their bounds, and replicas crash and restart at any step. The model runs
//! the state machines of [`hoptiller_coordination`] themselves, and adds only the messages between them, the time, and the
//! properties of states.
//!
//! The model assumes consensus: one log holds all commands in one order, whichever replica appends them. Each replica
//! applies them at its own time and judges leases by its own clock, and any replica may be the leader at any moment.

#![warn(missing_docs)]

pub mod command;
mod exploration;
mod model;
mod state;
mod transitions;

pub use exploration::{
    FREE_SHARD_TAKEN, HOLDER_ACTS_UNTIL_EXPIRY, NEVER_TWO_HOLDERS_ACT, NO_TOKEN_REUSED,
};
pub use model::{LeaseModel, Limits, TICK};
pub use state::{State, Step};
