//! Errors of the parser.

/// Why bytes are not an HTTP/1.1 message. After one the decoder accepts no more bytes.
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
    /// A content length is repeated, conflicts with the transfer coding or is not a number.
    #[error("content length: {0}")]
    ContentLength(&'static str),
    /// A transfer coding other than `chunked`.
    #[error("transfer coding: only chunked is known")]
    TransferCoding,
    /// A chunk is malformed.
    #[error("chunk: {0}")]
    Chunk(&'static str),
    /// The start line and the header fields exceed [`Limits::max_head_bytes`](super::Limits::max_head_bytes), or there
    /// are more than [`Limits::max_fields`](super::Limits::max_fields).
    #[error("start line and header fields pass the limit")]
    HeadTooLarge,
    /// The target exceeds [`Limits::max_target_bytes`](super::Limits::max_target_bytes).
    #[error("the target passes the limit")]
    TargetTooLong,
    /// The content exceeds [`Limits::max_body_bytes`](super::Limits::max_body_bytes).
    #[error("the content passes the limit")]
    BodyTooLarge,
    /// The peer closed the connection within a message.
    #[error("the connection closed in the middle of a message")]
    UnexpectedEof,
}

impl ParseError {
    /// The status of the response to a request with this error.
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
