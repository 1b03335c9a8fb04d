//! Reads the requests of a connection within limits of size and time.

use std::cell::Cell;
use std::io;
use std::time::Duration;

use futures_lite::{AsyncRead, AsyncWrite, AsyncWriteExt, future};

use super::Context;
use super::connections::ConnectionRegistration;
use super::memory_budget::RequestMemory;
use crate::codec::{Decoder, Event, ParseError};
use crate::io::read_with;
use crate::message::{Head, Request, StartLine};

const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// A received request, and whether its client wants to keep the connection open.
pub(super) struct IncomingRequest {
    pub(super) request: Request,
    pub(super) is_keep_alive: bool,
    /// The length of the content, if the head states it.
    content_length: Option<usize>,
}

impl IncomingRequest {
    fn new(head: Head) -> Option<IncomingRequest> {
        let is_keep_alive = head.is_keep_alive();
        let content_length = head.headers.get("content-length");
        let content_length = content_length.and_then(|length| length.parse().ok());
        match head.start {
            StartLine::Request { method, target } => Some(IncomingRequest {
                request: Request {
                    method,
                    target,
                    headers: head.headers,
                    body: Vec::new(),
                },
                is_keep_alive,
                content_length,
            }),
            StartLine::Response(_) => None,
        }
    }

    /// Returns the memory in bytes that the request occupies with content of this capacity.
    fn memory_bytes(&self, body_capacity: usize) -> usize {
        let Request {
            target, headers, ..
        } = &self.request;
        target.capacity() + headers.capacity_bytes() + body_capacity
    }

    /// Returns the capacity of the content once `count` further bytes are appended. It grows by doubling, but not beyond
    /// the stated length.
    fn body_capacity_after(&self, count: usize) -> usize {
        let body = &self.request.body;
        let needed = body.len() + count;
        if body.capacity() >= needed {
            return body.capacity();
        }
        let doubled = 2 * body.capacity();
        let limit = self.content_length.unwrap_or(usize::MAX);
        needed.max(doubled.min(limit))
    }

    /// Appends a part of the content if the budget permits it.
    fn append(&mut self, part: &[u8], memory: &RequestMemory) -> Result<(), ReadError> {
        let needed = self.request.body.len() + part.len();
        // With spare capacity if there is room for it.
        let capacities = [self.body_capacity_after(part.len()), needed];
        let capacity = capacities
            .into_iter()
            .find(|capacity| memory.try_set_request(self.memory_bytes(*capacity)))
            .ok_or(ReadError::MemoryBudget)?;
        let body = &mut self.request.body;
        body.reserve_exact(capacity - body.len());
        body.extend_from_slice(part);
        Ok(())
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
    /// The memory budget for requests is exhausted.
    #[error("requests use too much memory at once; retry later")]
    MemoryBudget,
    /// The connection's place is needed for another one before its request is complete.
    #[error("too many connections, and the request was not complete; retry later")]
    Evicted,
}

/// The result of reading from a connection once.
pub(super) enum Received {
    /// Bytes were received.
    Bytes,
    /// Bytes were received and discarded, because the memory budget does not permit to keep them.
    OverBudget,
    /// The client has closed its sending side.
    End,
}

/// The receiving part of a connection.
pub(super) struct ConnectionInput<S> {
    pub(super) stream: S,
    pub(super) decoder: Decoder,
    pub(super) memory: RequestMemory,
}

impl<S: AsyncRead + Unpin> ConnectionInput<S> {
    /// Reads once into the decoder, no more than the decoder can use.
    pub(super) async fn read(&mut self) -> io::Result<Received> {
        let max_bytes = self.decoder.bytes_wanted();
        self.read_at_most(max_bytes).await
    }

    /// Reads once into the decoder, at most `max_bytes`.
    pub(super) async fn read_at_most(&mut self, max_bytes: usize) -> io::Result<Received> {
        let (decoder, memory) = (&mut self.decoder, &self.memory);
        read_with(&mut self.stream, max_bytes, |bytes| {
            if bytes.is_empty() {
                return Received::End;
            }
            if !memory.try_set_input(decoder.buffer_capacity_after(bytes.len())) {
                return Received::OverBudget;
            }
            decoder.feed(bytes);
            Received::Bytes
        })
        .await
    }
}

impl<S> ConnectionInput<S> {
    /// Accounts for memory that the decoder has freed.
    pub(super) fn update_memory(&self) {
        self.memory.try_set_input(self.decoder.buffer_capacity());
    }
}

/// Waits for the next request. Returns `None` if the client closes the connection, or the server asks for it to be
/// closed. The connection is active when this returns.
pub(super) async fn next_request<S: AsyncRead + AsyncWrite + Unpin>(
    input: &mut ConnectionInput<S>,
    context: &Context,
    registration: &ConnectionRegistration,
) -> Result<Option<IncomingRequest>, ReadError> {
    let next = if registration.is_unused() {
        first_request(input, context, registration).await
    } else {
        later_request(input, context, registration).await
    };
    registration.mark_active();
    if matches!(next, Err(ReadError::MemoryBudget)) {
        tracing::debug!("request memory exhausted, a request is rejected");
    }
    next
}

/// Waits for the first request of a connection, which is idle until the request is complete.
async fn first_request<S: AsyncRead + AsyncWrite + Unpin>(
    input: &mut ConnectionInput<S>,
    context: &Context,
    registration: &ConnectionRegistration,
) -> Result<Option<IncomingRequest>, ReadError> {
    let close = registration.mark_idle();
    let request_has_begun = Cell::new(input.decoder.is_inside_message());
    let read = async {
        let limit = context.config.first_byte_timeout;
        if !wait_for_first_byte(input, context, limit).await? {
            return Ok(None);
        }
        request_has_begun.set(true);
        read_request(input, context).await
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
    input: &mut ConnectionInput<S>,
    context: &Context,
    registration: &ConnectionRegistration,
) -> Result<Option<IncomingRequest>, ReadError> {
    let close = registration.mark_idle();
    let limit = context.config.idle_timeout;
    let first_byte = wait_for_first_byte(input, context, limit);
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
    future::or(read_request(input, context), evicted).await
}

/// Waits until a request begins. Returns `false` if the client closes the connection instead.
async fn wait_for_first_byte<S: AsyncRead + Unpin>(
    input: &mut ConnectionInput<S>,
    context: &Context,
    limit: Duration,
) -> Result<bool, ReadError> {
    if input.decoder.is_inside_message() {
        return Ok(true);
    }
    match context.timer.timeout(limit, input.read()).await? {
        Received::Bytes => Ok(true),
        Received::OverBudget => Err(ReadError::MemoryBudget),
        Received::End => Ok(false),
    }
}

/// Reads the rest of a request that has begun, within the limits of size and time.
async fn read_request<S: AsyncRead + AsyncWrite + Unpin>(
    input: &mut ConnectionInput<S>,
    context: &Context,
) -> Result<Option<IncomingRequest>, ReadError> {
    let limit = context.config.request_timeout;
    context.timer.timeout(limit, decode_request(input)).await
}

async fn decode_request<S: AsyncRead + AsyncWrite + Unpin>(
    input: &mut ConnectionInput<S>,
) -> Result<Option<IncomingRequest>, ReadError> {
    let mut incoming = None;
    let mut has_read = false;
    loop {
        match input.decoder.next_event()? {
            Some(Event::Head(head)) => {
                if head.headers.contains_token("expect", "100-continue") {
                    input.stream.write_all(CONTINUE_RESPONSE).await?;
                }
                incoming = IncomingRequest::new(head);
                if let Some(incoming) = &incoming
                    && !input.memory.try_set_request(incoming.memory_bytes(0))
                {
                    return Err(ReadError::MemoryBudget);
                }
            }
            Some(Event::Body(part)) => {
                input.update_memory();
                if let Some(incoming) = &mut incoming {
                    incoming.append(&part, &input.memory)?;
                }
            }
            Some(Event::End) => {
                input.update_memory();
                return Ok(incoming);
            }
            None => {
                if std::mem::replace(&mut has_read, true) {
                    // A client that sends without pause must not block the other tasks of the thread, nor the timeout.
                    future::yield_now().await;
                }
                match input.read().await? {
                    Received::Bytes => {}
                    Received::OverBudget => return Err(ReadError::MemoryBudget),
                    Received::End => {
                        input.decoder.finish()?;
                        return Ok(None);
                    }
                }
            }
        }
    }
}
