//! The client of all engines: sends attempts, polls for their results, controls statements and checks engines' health.
//!
//! The client executes the policy's decisions and reports its observations to an [`EngineObserver`]. It makes no
//! decisions, and submits each attempt only once.

mod attempt;
mod attempt_id;
mod client;
mod connection_pool;
mod control;
mod load_report;
mod observer;
mod transport;

pub use attempt::AttemptControl;
pub use attempt_id::AttemptId;
pub use client::EngineClient;
pub use control::{ControlError, StatementControl};
pub use observer::{AttemptReport, EngineObserver, SendRejected};
pub use transport::EngineOptions;
