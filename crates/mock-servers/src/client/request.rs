//! The submissions of a client, its options and its outcomes.

use std::time::Duration;

/// A submission of a statement by a client.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// The number that identifies this submission in the records.
    pub id: u64,
    /// The trace token of the submission. Submissions of the same statement share the part before a final `.N`.
    pub trace: String,
    /// The class, which is sent as a client tag.
    pub class: String,
    /// The ordering key, which is sent as a client tag.
    pub ordering_key: Option<String>,
    /// Further client tags, such as `tables=7,size=12`.
    pub tags: String,
    /// The text of the statement.
    pub text: String,
    /// The time for which the client waits for the first rows. It is sent to the router as the maximum run time, and is
    /// also the timeout of the submission.
    pub timeout: Duration,
    /// The behaviour of the client.
    pub options: ClientOptions,
}

/// Options for the behaviour of a client. By default it polls without delay until it has the complete result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClientOptions {
    /// Number of responses after which the client stops polling.
    pub abandon_after: Option<usize>,
    /// Number of responses after which the client cancels the statement.
    pub cancel_after: Option<usize>,
    /// Delay before each poll.
    pub poll_delay: Duration,
    /// Whether each poll is sent twice at the same time, on two connections.
    pub duplicates_polls: bool,
    /// The time that the client waits beyond the announced timeout, because on a loaded machine a response that was
    /// sent in time may be received late.
    pub grace: Duration,
}

/// The outcome of a submission for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientOutcome {
    /// The client received the complete result, with this number of rows.
    Served(u64),
    /// The statement was admitted and then rejected without effect, so that it may be submitted again.
    Rejected {
        /// The name of the error.
        error: String,
        /// The value of the `Retry-After` header field in seconds.
        retry_after: Option<u64>,
    },
    /// The statement failed with an error of this name.
    Failed(String),
    /// The response to the submission had this HTTP status, which is not 200.
    NotAdmitted(u16),
    /// No connection to the router could be established.
    Unreachable,
    /// The submission received no valid response, so that it is unknown whether the statement was admitted.
    AdmissionUnknown,
    /// The client stopped polling or cancelled the statement, as its options request.
    Abandoned,
    /// The client waited for longer than its timeout.
    TimedOut,
}
