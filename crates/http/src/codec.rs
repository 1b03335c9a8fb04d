//! The HTTP/1.1 parser. A [`Decoder`] is fed the bytes of one direction of a connection and returns events. It performs
//! no I/O and uses no clock.
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

/// Limits on the parts of a message, so that a peer can't make a message use arbitrary memory. A message that exceeds
/// one is rejected with a [`ParseError`].
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum size in bytes of the start line and the header fields together.
    pub max_head_bytes: usize,
    /// Maximum number of header fields, and of trailer fields.
    pub max_fields: usize,
    /// Maximum size of the request target in bytes.
    pub max_target_bytes: usize,
    /// Maximum size of the content in bytes.
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

/// The kind of message that a decoder reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// Requests from a client.
    Request,
    /// Responses from a server.
    Response,
}
