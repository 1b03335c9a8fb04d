//! The core of a router, which performs no I/O, and the event loop that drives it.
//!
//! [`Core`] owns the admission and routing [`Controller`](hoptiller_policy::Controller) and the statement table. Its
//! caller reports client and engine events to it, with the current time, and executes the [`Command`]s that it returns.
//! The core depends neither on sockets nor on the client protocol: it passes rows on as opaque text.
//!
//! [`Core::submit`] accepts a statement, and the core then produces exactly one final response to it. The responses to
//! a statement are numbered. A client can poll the latest response repeatedly and receives the same response each time,
//! until it polls the next one.
//!
//! - [`event_loop`] drives a core: its clock, its batches of decisions, and notifications to clients that wait for
//!   updates;
//! - `core` makes the decisions, split by concern: admission, attempts, delivery, expiry, controller actions and the
//!   connection to the runaway detector;
//! - `statement`, `statement_state`, `attempt_log` and `statement_table` hold the state of statements, and `endpoints`
//!   holds the engine list;
//! - `submission`, `command`, `response`, `history` and `limits` define the input and output types.

#![warn(missing_docs)]

mod attempt_log;
mod command;
mod core;
mod endpoints;
pub mod event_loop;
mod hash;
mod history;
mod identity;
mod limits;
mod response;
mod runaway_profile;
mod statement;
mod statement_state;
mod statement_table;
mod submission;

pub use command::{Attempt, AttemptOutcome, Command};
pub use core::Core;
pub use hash::group_of;
pub use history::{AttemptHistory, StatementHistory, StatementPhase, status_description};
pub use identity::{RouterIdentity, StatementId};
pub use limits::{CoreLimits, CoreUsage, STATEMENT_ALLOWANCE_BYTES};
pub use response::{
    EngineError, FinalResponse, PollOutcome, ResponseContent, ResultPage, StatementResponse,
};
pub use submission::{EngineStatement, Submission, SubmitError};
