//! Reads the requests of a connection within limits of size and time.

use std::cell::Cell;
use std::io;
use std::time::Duration;

use futures_lite::{AsyncRead, AsyncWrite, AsyncWriteExt, future};

use super::Context;
use super::connections::ConnectionRegistration;
use super::incoming_budget::IncomingReservation;
use crate::codec::{Decoder, Event, ParseError};
use crate::io::read_into;
use crate::message::{Head, Request, StartLine};

const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// A received request, and whether its client wants to keep the connection open.
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

/// The reason why a request can't be read.
#[derive(Debug, thiserror::Error)]
pub(super) enum ReadError {
    /// The connection broke, or the client is too slow.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The received bytes are not a valid request.
    #[error(transparent)]
    Parse(#[from] ParseError),
    /// The budget for the content of incomplete requests is exhausted.
    #[error("too much request content is arriving at once; retry later")]
    IncomingBudget,
    /// The connection's place is needed for another one before its request is complete.
    #[error("too many connections, and the request was not complete; retry later")]
    Evicted,
}

/// Waits for the next request. Returns `None` if the client closes the connection, or the server asks for it to be
/// closed. The connection is active when this returns.
pub(super) async fn next_request<S: AsyncRead + AsyncWrite + Unpin>(
    stream: &mut S,
    decoder: &mut Decoder,
    context: &Context,
    registration: &ConnectionRegistration,
) -> Result<Option<IncomingRequest>, ReadError> {
    decoder.shrink();
    let next = if registration.is_unused() {
        first_request(stream, decoder, context, registration).await
    } else {
        later_request(stream, decoder, context, registration).await
    };
    registration.mark_active();
    next
}

/// Waits for the first request of a connection, which is idle until the request is complete.
async fn first_request<S: AsyncRead + AsyncWrite + Unpin>(
    stream: &mut S,
    decoder: &mut Decoder,
    context: &Context,
    registration: &ConnectionRegistration,
) -> Result<Option<IncomingRequest>, ReadError> {
    let close = registration.mark_idle();
    let request_has_begun = Cell::new(decoder.is_inside_message());
    let read = async {
        let limit = context.config.first_byte_timeout;
        if !wait_for_first_byte(stream, decoder, context, limit).await? {
            return Ok(None);
        }
        request_has_begun.set(true);
        read_request(stream, decoder, context).await
    };
    let close_requested = async {
        close.await;
        // An incomplete request is dropped if its connection is closed to make room for others, and still received if
        // the server closes all.
        if registration.closes_when_idle() && request_has_begun.get() {
            future::pending::<()>().await;
        }
        Ok(None)
    };
    future::or(read, close_requested).await
}

/// Waits for a further request of a connection, which is idle until the first byte. While the rest arrives, it is the
/// last that is closed to make room for others.
async fn later_request<S: AsyncRead + AsyncWrite + Unpin>(
    stream: &mut S,
    decoder: &mut Decoder,
    context: &Context,
    registration: &ConnectionRegistration,
) -> Result<Option<IncomingRequest>, ReadError> {
    let close = registration.mark_idle();
    let limit = context.config.idle_timeout;
    let first_byte = wait_for_first_byte(stream, decoder, context, limit);
    let close_requested = async {
        close.await;
        Ok(false)
    };
    if !future::or(first_byte, close_requested).await? {
        return Ok(None);
    }
    let evicted = registration.mark_receiving();
    let evicted = async {
        evicted.await;
        Err(ReadError::Evicted)
    };
    future::or(read_request(stream, decoder, context), evicted).await
}

/// Waits until a request begins. Returns `false` if the client closes the connection instead.
async fn wait_for_first_byte<S: AsyncRead + Unpin>(
    stream: &mut S,
    decoder: &mut Decoder,
    context: &Context,
    limit: Duration,
) -> io::Result<bool> {
    if decoder.is_inside_message() {
        return Ok(true);
    }
    let read = read_into(stream, decoder);
    let count = context.timer.timeout(limit, read).await?;
    Ok(count > 0)
}

/// Reads the rest of a request that has begun, within the limits of size and time.
async fn read_request<S: AsyncRead + AsyncWrite + Unpin>(
    stream: &mut S,
    decoder: &mut Decoder,
    context: &Context,
) -> Result<Option<IncomingRequest>, ReadError> {
    let request = decode_request(stream, decoder, context.incoming.reservation());
    let limit = context.config.request_timeout;
    context.timer.timeout(limit, request).await
}

async fn decode_request<S: AsyncRead + AsyncWrite + Unpin>(
    stream: &mut S,
    decoder: &mut Decoder,
    mut reservation: IncomingReservation,
) -> Result<Option<IncomingRequest>, ReadError> {
    let mut incoming = None;
    loop {
        match decoder.next_event()? {
            Some(Event::Head(head)) => {
                if head.headers.contains_token("expect", "100-continue") {
                    stream.write_all(CONTINUE_RESPONSE).await?;
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
