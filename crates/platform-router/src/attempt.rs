//! What is to be sent to an engine, what came of it, and why nothing did.

use std::io;
use std::time::Instant;

use hoptiller_platform_protocol::RowsError;
use hoptiller_platform_protocol::StatementCommand;
use hoptiller_platform_protocol::engine_response::LineError;
use hoptiller_policy::{AttemptStatus, LoadReport, Micros};

use crate::cancel::CancelToken;
use crate::links::Listing;

/// An answer, gathered whole.
#[derive(Debug)]
pub struct Whole {
    /// The rows as JSON.
    pub rows: String,
    /// Work that it needed, where told.
    pub work: Option<Micros>,
    /// The engine's load, where told.
    pub report: Option<LoadReport>,
}

/// Why an attempt has no result.
#[derive(Debug)]
pub enum Failed {
    /// Not sent: no descriptor was left for it.
    NoDescriptor,
    /// Not sent: the engine is not on the list.
    NoEngine,
    /// Not sent: at the moment of its first byte, that spoke against it.
    NotBegun(NotBegun),
    /// No connection came about.
    Connect(io::Error),
    /// It broke before any byte of the request was written.
    Unsent(io::Error),
    /// It broke after that.
    Broken(io::Error),
    /// A line that is no answer.
    Line(LineError),
    /// Pages that make no result.
    Rows(RowsError),
    /// `overload`.
    Full,
    /// `crashed`.
    Error,
    /// `nobody`.
    Nobody,
    /// No answer in time.
    Late,
    /// Withdrawn.
    Withdrawn,
    /// Its client left before all pages of its result were fetched.
    Abandoned,
}

/// Why an attempt that was decided on was not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotBegun {
    /// It was taken back, or its client has left.
    Cancelled,
    /// Its time was over.
    Late,
    /// A repeat would no longer be recognised as one.
    WindowPassed,
    /// Too many further attempts have begun.
    Budget,
    /// What the list says of the engine has changed since.
    Relisted,
}

impl std::fmt::Display for NotBegun {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            NotBegun::Cancelled => "it was taken back",
            NotBegun::Late => "its time was over",
            NotBegun::WindowPassed => "a repeat would no longer be recognised",
            NotBegun::Budget => "too many further attempts have begun",
            NotBegun::Relisted => "the list tells something else of the engine now",
        })
    }
}

impl Failed {
    /// What the decision module is told.
    pub fn ending(&self) -> AttemptStatus {
        match self {
            Failed::NoDescriptor | Failed::NoEngine | Failed::NotBegun(_) | Failed::Nobody => {
                AttemptStatus::NotSent
            }
            Failed::Connect(_) | Failed::Unsent(_) => AttemptStatus::ConnectFailed,
            Failed::Broken(_) => AttemptStatus::ConnectionReset,
            Failed::Line(_) | Failed::Rows(_) | Failed::Error => AttemptStatus::ErrorResponse,
            Failed::Full => AttemptStatus::Rejected,
            Failed::Late => AttemptStatus::TimedOut,
            Failed::Withdrawn | Failed::Abandoned => AttemptStatus::Cancelled,
        }
    }
}

impl std::fmt::Display for Failed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Failed::NoDescriptor => write!(f, "no descriptor was left for it"),
            Failed::NoEngine => write!(f, "the engine has gone from the list"),
            Failed::NotBegun(why) => write!(f, "not sent: {why}"),
            Failed::Connect(e) => write!(f, "no connection: {e}"),
            Failed::Unsent(e) => write!(f, "the connection broke before it was sent: {e}"),
            Failed::Broken(e) => write!(f, "the connection broke: {e}"),
            Failed::Line(e) => write!(f, "{e}"),
            Failed::Rows(e) => write!(f, "{e}"),
            Failed::Full => write!(f, "the engine is full"),
            Failed::Error => write!(f, "the engine's own error"),
            Failed::Nobody => write!(f, "it was over before it began"),
            Failed::Late => write!(f, "no answer in time"),
            Failed::Withdrawn => write!(f, "withdrawn"),
            Failed::Abandoned => write!(f, "its client left"),
        }
    }
}

/// What is to be sent, and when it may be.
pub struct Order<'a> {
    /// The request.
    pub send: StatementCommand<'a>,
    /// When its answer is no longer waited for.
    pub until: Instant,
    /// Its first byte is written before that, or not at all.
    pub send_by: Option<Instant>,
    /// It is not the request's first attempt.
    pub further: bool,
    /// Takes it back.
    pub token: &'a CancelToken,
    /// What the list said of the engine when it was decided on.
    pub listing: Listing,
}
