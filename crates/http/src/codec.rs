//! The HTTP/1.1 parser: a [`Decoder`] is fed the bytes of one direction of a connection and yields events. It does no
//! I/O and knows no time.
//!
//! ```
//! use hoptiller_http::{Decoder, Event, Limits, MessageKind};
//! let mut decoder = Decoder::new(MessageKind::Request, Limits::default());
//! decoder.feed(b"GET /v1/info HTTP/1.1\r\nHost: a\r\n\r\n");
//! assert!(matches!(decoder.next_event(), Ok(Some(Event::Head(_)))));
//! assert!(matches!(decoder.next_event(), Ok(Some(Event::End))));
//! assert!(matches!(decoder.next_event(), Ok(None)));
//! ```

mod decoder;
mod error;
mod head;
mod input_buffer;

pub use decoder::{Decoder, Event};
pub use error::ParseError;

/// Bounds on the parts of a message, so that no peer decides how much memory its messages use. A message that exceeds
/// one is a [`ParseError`].
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bytes of the start line and the header fields together.
    pub max_head_bytes: usize,
    /// Number of header fields, and of trailer fields.
    pub max_fields: usize,
    /// Bytes of the request target.
    pub max_target_bytes: usize,
    /// Bytes of the content.
    pub max_body_bytes: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_head_bytes: 16 << 10,
            max_fields: 100,
            max_target_bytes: 4 << 10,
            max_body_bytes: 1 << 20,
        }
    }
}

/// Which messages a decoder reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// Requests of a client.
    Request,
    /// Responses of a server.
    Response,
}
