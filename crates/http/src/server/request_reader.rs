//! Reads the requests of a connection, within limits of size and time.

use std::cell::Cell;
use std::io;

use futures_lite::{AsyncRead, AsyncWrite, AsyncWriteExt, future};

use super::Context;
use super::connections::ConnectionPermit;
use super::incoming_budget::IncomingReservation;
use crate::codec::{Decoder, Event, ParseError};
use crate::io::read_into;
use crate::message::{Head, Request, StartLine};

const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// A request and what it says of its connection.
pub(super) struct IncomingRequest {
    pub(super) request: Request,
    pub(super) is_keep_alive: bool,
}

impl IncomingRequest {
    fn new(head: Head) -> Option<IncomingRequest> {
        let is_keep_alive = head.is_keep_alive();
        match head.start {
            StartLine::Request { method, target } => Some(IncomingRequest {
                request: Request {
                    method,
                    target,
                    headers: head.headers,
                    body: Vec::new(),
                },
                is_keep_alive,
            }),
            StartLine::Response(_) => None,
        }
    }
}

/// Why no request can be read.
#[derive(Debug, thiserror::Error)]
pub(super) enum ReadError {
    /// The connection is broken, or the client too slow.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The bytes are not a request.
    #[error(transparent)]
    Parse(#[from] ParseError),
    /// The budget for content that is still arriving is used up.
    #[error("too much is coming in; come back later")]
    IncomingBudget,
}

/// Waits for the next request: none where the client has closed the connection, or the server asks for that. The
/// connection is idle meanwhile, and active when this returns.
pub(super) async fn next_request<S: AsyncRead + AsyncWrite + Unpin>(
    stream: &mut S,
    decoder: &mut Decoder,
    context: &Context,
    permit: &ConnectionPermit,
) -> Result<Option<IncomingRequest>, ReadError> {
    decoder.shrink();
    let (is_first, close) = (permit.is_unused(), permit.set_idle());
    let has_begun = Cell::new(decoder.is_inside_message());
    let read = async {
        if !wait_for_first_byte(stream, decoder, context, is_first).await? {
            return Ok(None);
        }
        has_begun.set(true);
        if !is_first {
            permit.set_active();
        }
        let reservation = context.incoming.reservation();
        let request = read_request(stream, decoder, reservation);
        let limit = context.config.request_timeout;
        context.timer.timeout(limit, request).await
    };
    let asked_to_close = async {
        close.await;
        // A request that is arriving is served, but a first one only where the server ends and not where others need
        // its connection's place.
        if !permit.is_idle() || (permit.is_closing() && has_begun.get()) {
            future::pending::<()>().await;
        }
        Ok(None)
    };
    let next = future::or(read, asked_to_close).await;
    permit.set_active();
    next
}

/// Waits until a request has begun; `false` where the client closes the connection instead.
async fn wait_for_first_byte<S: AsyncRead + Unpin>(
    stream: &mut S,
    decoder: &mut Decoder,
    context: &Context,
    is_first: bool,
) -> io::Result<bool> {
    if decoder.is_inside_message() {
        return Ok(true);
    }
    let limit = if is_first {
        context.config.first_byte_timeout
    } else {
        context.config.idle_timeout
    };
    let count = context
        .timer
        .timeout(limit, read_into(stream, decoder))
        .await?;
    Ok(count > 0)
}

async fn read_request<S: AsyncRead + AsyncWrite + Unpin>(
    stream: &mut S,
    decoder: &mut Decoder,
    mut reservation: IncomingReservation,
) -> Result<Option<IncomingRequest>, ReadError> {
    let mut incoming = None;
    loop {
        match decoder.next_event()? {
            Some(Event::Head(head)) => {
                if head.headers.contains_token("expect", "100-continue") {
                    stream.write_all(CONTINUE).await?;
                }
                incoming = IncomingRequest::new(head);
            }
            Some(Event::Body(part)) => {
                if !reservation.try_grow(part.len() as u64) {
                    return Err(ReadError::IncomingBudget);
                }
                if let Some(incoming) = &mut incoming {
                    incoming.request.body.extend_from_slice(&part);
                }
            }
            Some(Event::End) => return Ok(incoming),
            None => {
                if read_into(stream, decoder).await? == 0 {
                    decoder.finish()?;
                    return Ok(None);
                }
            }
        }
    }
}
