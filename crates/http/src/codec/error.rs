//! Parse errors.

/// The reason why bytes are not a valid HTTP/1.1 message. A decoder that has returned one decodes nothing further.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseError {
    /// The start line is malformed.
    #[error("start line: {0}")]
    StartLine(&'static str),
    /// The version is neither HTTP/1.1 nor HTTP/1.0.
    #[error("start line: neither HTTP/1.1 nor HTTP/1.0")]
    Version,
    /// A header field is malformed.
    #[error("header field: {0}")]
    HeaderField(&'static str),
    /// The content length is repeated, conflicts with the transfer coding, is not a number or is too large a number.
    #[error("content length: {0}")]
    ContentLength(&'static str),
    /// The transfer coding is not `chunked`, is repeated, or is used with HTTP/1.0.
    #[error("transfer coding: only a single chunked coding in HTTP/1.1 is supported")]
    TransferCoding,
    /// A chunk is malformed.
    #[error("chunk: {0}")]
    Chunk(&'static str),
    /// The start line and the header fields exceed [`Limits::max_head_bytes`](super::Limits::max_head_bytes), or there
    /// are more header or trailer fields than [`Limits::max_fields`](super::Limits::max_fields).
    #[error("size of the start line and header fields, or number of fields, exceeds the limit")]
    HeadTooLarge,
    /// The target exceeds [`Limits::max_target_bytes`](super::Limits::max_target_bytes).
    #[error("request target exceeds the limit")]
    TargetTooLong,
    /// The content exceeds [`Limits::max_body_bytes`](super::Limits::max_body_bytes).
    #[error("content exceeds the limit")]
    BodyTooLarge,
    /// The peer closed the connection in the middle of a message.
    #[error("connection closed in the middle of a message")]
    UnexpectedEof,
}

impl ParseError {
    /// Returns the status code for the response to a request with this error.
    pub fn status(&self) -> u16 {
        match self {
            ParseError::Version => 505,
            ParseError::TransferCoding => 501,
            ParseError::HeadTooLarge => 431,
            ParseError::TargetTooLong => 414,
            ParseError::BodyTooLarge => 413,
            _ => 400,
        }
    }
}
