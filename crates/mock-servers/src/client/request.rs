//! What a client submits, how it behaves, and what it gets.

use std::time::Duration;

/// A statement that a client submits.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// The number of this submission in the records.
    pub id: u64,
    /// The trace token of the statement; its submissions end in `.N`.
    pub trace: String,
    /// The class, as a client tag.
    pub class: String,
    /// The ordering key, as a client tag.
    pub ordering_key: Option<String>,
    /// Further client tags: `tables=7,size=12`.
    pub tags: String,
    /// The text of the statement.
    pub text: String,
    /// How long the client waits for the result to begin.
    pub timeout: Duration,
    /// How the client behaves.
    pub options: ClientOptions,
}

/// How a client behaves. By default it polls at once, until it has the whole result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClientOptions {
    /// Number of responses after which the client stops polling.
    pub abandon_after: Option<usize>,
    /// Number of responses after which the client cancels the statement.
    pub cancel_after: Option<usize>,
    /// Delay before each poll.
    pub poll_delay: Duration,
    /// Whether each poll is sent twice, at the same time on two connections.
    pub duplicates_polls: bool,
    /// How much longer than its announced timeout the client waits: on a loaded machine, a response that was sent in
    /// time is received late.
    pub grace: Duration,
}

/// What a client got for its statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientOutcome {
    /// The whole result, with so many rows.
    Served(u64),
    /// The statement was admitted and then rejected; a retry is harmless.
    Rejected {
        /// The name of the error.
        error: String,
        /// The value of Retry-After, in seconds.
        retry_after: Option<u64>,
    },
    /// The statement failed, with an error of this name.
    Failed(String),
    /// The submission was answered with this HTTP status.
    NotAdmitted(u16),
    /// The router does not listen.
    Unreachable,
    /// The connection broke during the submission: whether it was admitted is not known.
    AdmissionUnknown,
    /// The client stopped polling or cancelled the statement, as its options say.
    Abandoned,
    /// The client waited for longer than its timeout.
    TimedOut,
}
