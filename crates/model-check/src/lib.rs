//! Model checking of task leases: all executions, within bounds, of replicas and routers whose messages are lost, duplicated
//! and reordered, whose clocks run at their bounds, and of which the replicas crash and restart at any step. What moves is
//! the state machines of [`hoptiller_coordination`] themselves; here are only the messages between them, the time, and the
//! properties of each state.
//!
//! Consensus is taken as given: commands come out of one log in one order, whichever replica appends them. A replica learns
//! of them at a time of its own, and judges leases by its own clock; any replica may be the leader at any moment.

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
