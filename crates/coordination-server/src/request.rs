//! Requests that go through the log, and their responses. A request here is a command or a replacement, not an HTTP
//! request.

use hoptiller_coordination::CommandResponse;

use crate::membership::ReplaceError;

/// The id of a request that goes through the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(u64);

impl RequestId {
    /// Returns the next id.
    pub(crate) fn next(self) -> RequestId {
        RequestId(self.0 + 1)
    }
}

/// A request with its response.
#[derive(Clone, Debug, PartialEq)]
pub struct CompletedRequest {
    /// The id of the request.
    pub request_id: RequestId,
    /// Its response.
    pub response: Response,
}

/// The response to a request that went through the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    /// The result of a command.
    Command(CommandResponse),
    /// The number of the membership after a replacement.
    Replaced(Result<u32, ReplaceError>),
}
