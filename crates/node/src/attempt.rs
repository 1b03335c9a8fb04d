//! What is to be sent to an engine, what came of it, and why nothing did.

use std::io;
use std::time::Duration;

use hoptiller::{Ending, LoadReport, Micros};
use hoptiller_platform::RowsError;
use hoptiller_platform::engine::LineError;

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
}

impl Failed {
    /// What the decision module is told.
    pub fn ending(&self) -> Ending {
        match self {
            Failed::NoDescriptor | Failed::NoEngine | Failed::Nobody => Ending::Moot,
            Failed::Connect(_) | Failed::Unsent(_) => Ending::NoConnection,
            Failed::Broken(_) => Ending::Reset,
            Failed::Line(_) | Failed::Rows(_) | Failed::Error => Ending::Bad,
            Failed::Full => Ending::Full,
            Failed::Late => Ending::Late,
            Failed::Withdrawn => Ending::Cancelled,
        }
    }
}

impl std::fmt::Display for Failed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Failed::NoDescriptor => write!(f, "no descriptor was left for it"),
            Failed::NoEngine => write!(f, "the engine has gone from the list"),
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
        }
    }
}

/// What is to be sent.
pub struct Order<'a> {
    /// The request's id.
    pub id: &'a str,
    /// Its class.
    pub class: &'a str,
    /// Its statement.
    pub text: &'a str,
    /// Priority, where one was set.
    pub priority: Option<u8>,
    /// How long its answer is waited for.
    pub wait: Duration,
}
