//! The core of a router, without I/O, and the event loop that drives it.
//!
//! [`Core`] owns the admission and routing [`Controller`](hoptiller_policy::Controller) and the table of statements.
//! Its caller feeds it what clients and engines do, with a clock, and carries out the [`Command`]s that it yields. The
//! core knows neither sockets nor the client protocol: rows are text that it passes on.
//!
//! [`Core::submit`] accepts a statement; from then on the core owes it exactly one final response. The responses of a
//! statement are numbered. A response can be polled again, and is then the same, until its successor is polled.
//!
//! - [`event_loop`] runs a core: its clock, its batches of decisions, and the clients that wait for updates;
//! - `core` holds the decisions, split by concern: admission, attempts, delivery, expiry, controller actions and the
//!   bridge to the runaway detector;
//! - `statement`, `statement_state`, `attempt_log` and `statement_table` hold the state of statements, `endpoints` the
//!   engine list;
//! - `submission`, `command`, `response`, `history` and `limits` hold the data that goes in and comes out.

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
pub use limits::{CoreLimits, CoreUsage};
pub use response::{
    EngineError, FinalResponse, PollOutcome, ResponseContent, ResultPage, StatementResponse,
};
pub use submission::{EngineStatement, Submission, SubmitError};
