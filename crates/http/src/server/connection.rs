//! A connection of the server: it reads, handles and responds to one request after the other until it is closed.

use std::io;
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::Async;
use futures_lite::future;

use super::connections::ConnectionRegistration;
use super::memory_budget::RequestMemory;
use super::request_reader::{ConnectionInput, IncomingRequest, ReadError, Received, next_request};
use super::{Context, ReadAhead, Reply, response_writer};
use crate::codec::{Decoder, MessageKind};
use crate::io::{discard, is_closed_by_peer};
use crate::message::{Method, Request, Response};

/// Maximum time for which a connection is read from after its last response. Until then it keeps its place only as long
/// as no other connection needs it.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum number of bytes that are read from a connection after its last response.
const MAX_CLOSE_BYTES: u64 = 1 << 20;

/// Maximum number of bytes that are read from the sender of a rejected request.
const MAX_LINGER_BYTES: u64 = 256 << 20;

/// Maximum number of bytes that are kept of what a client sends while its request is handled.
const MAX_READ_AHEAD_BYTES: usize = 64 << 10;

/// A server connection. When it is dropped, the stream is closed before the registration is released.
pub(super) struct Connection {
    input: ConnectionInput<Async<TcpStream>>,
    context: Rc<Context>,
    registration: ConnectionRegistration,
    read_ahead: ReadAhead,
}

impl Connection {
    pub(super) fn new(
        stream: Async<TcpStream>,
        context: Rc<Context>,
        registration: ConnectionRegistration,
    ) -> Connection {
        let config = &context.config;
        let memory = RequestMemory::new(&context.request_memory, config.connection_allowance_bytes);
        Connection {
            input: ConnectionInput {
                stream,
                decoder: Decoder::new(MessageKind::Request, config.limits),
                memory,
            },
            context,
            registration,
            read_ahead: ReadAhead::default(),
        }
    }

    /// Serves requests until the connection is closed.
    pub(super) async fn serve(mut self) -> io::Result<()> {
        // A failure is ignored: the connection works without this option, only slower.
        let _ = self.input.stream.get_ref().set_nodelay(true);
        loop {
            let next = next_request(&mut self.input, &self.context, &self.registration);
            match next.await {
                Ok(Some(request)) => {
                    if !self.serve_request(request).await? {
                        return Ok(());
                    }
                    // The next request may have arrived already, and its response may be ready at once.
                    future::yield_now().await;
                }
                Ok(None) if self.registration.closes_when_idle() => {
                    return self.close(CLOSE_TIMEOUT, MAX_CLOSE_BYTES).await;
                }
                // The client has closed the connection, or it makes room for another one.
                Ok(None) => return Ok(()),
                Err(ReadError::Io(error)) => return Err(error),
                Err(ReadError::Parse(error)) => {
                    return self.reject(error.status(), &error.to_string()).await;
                }
                Err(error @ (ReadError::MemoryBudget | ReadError::Evicted)) => {
                    return self.reject(503, &error.to_string()).await;
                }
            }
        }
    }

    /// Responds to a request that can't be served, and closes the connection.
    async fn reject(&mut self, status: u16, reason: &str) -> io::Result<()> {
        self.discard_input();
        let response = Response::text(status, reason);
        self.write(response.encode(true)).await?;
        let limit = self.context.config.linger_timeout;
        self.close(limit, MAX_LINGER_BYTES).await
    }

    /// Serves one request, and returns whether the connection serves further ones.
    async fn serve_request(&mut self, incoming: IncomingRequest) -> io::Result<bool> {
        let is_head = incoming.request.method == Method::Head;
        let reply = self.handle(incoming.request).await;
        self.input.memory.try_set_request(0);
        match reply {
            None | Some(Reply::Close) => Ok(false),
            Some(Reply::Send(response)) => {
                let is_kept_open = incoming.is_keep_alive
                    && !self.read_ahead.is_exceeded()
                    && !self.registration.closes_after_response();
                let mut bytes = response.encode(!is_kept_open);
                if is_head {
                    bytes.truncate(bytes.len() - response.body.len());
                }
                drop(response);
                self.write(bytes).await?;
                if !is_kept_open {
                    self.close(CLOSE_TIMEOUT, MAX_CLOSE_BYTES).await?;
                }
                Ok(is_kept_open)
            }
            Some(Reply::Truncate {
                response,
                max_bytes,
            }) => {
                // The end of the connection is not announced: it simulates a fault.
                let mut bytes = response.encode(false);
                bytes.truncate(max_bytes);
                self.write(bytes).await?;
                Ok(false)
            }
            Some(Reply::Hang) => future::pending().await,
        }
    }

    /// Returns the handler's reply, or `None` if the client has disconnected.
    async fn handle(&mut self, request: Request) -> Option<Reply> {
        let (context, read_ahead) = (self.context.clone(), self.read_ahead.clone());
        let reply = async { Some((context.handler)(request, read_ahead).await) };
        if !context.config.cancels_on_disconnect {
            return reply.await;
        }
        if is_closed_by_peer(self.input.stream.get_ref()) {
            return None;
        }
        let disconnected = async {
            self.wait_for_disconnect().await;
            None
        };
        future::or(reply, disconnected).await
    }

    /// Waits until the peer closes its sending side, whether or not all bytes before that have been read. Meanwhile
    /// received bytes are kept for the next request, up to [`MAX_READ_AHEAD_BYTES`] and as far as the memory budget
    /// permits. Bytes beyond that are discarded, so that the close is still detected, and the connection serves no
    /// further request.
    async fn wait_for_disconnect(&mut self) {
        while !is_closed_by_peer(self.input.stream.get_ref()) {
            let space = MAX_READ_AHEAD_BYTES.saturating_sub(self.input.decoder.buffered_bytes());
            let read = if self.read_ahead.is_exceeded() || space == 0 {
                let discarded = discard(&mut self.input.stream).await;
                discarded.map(|count| match count {
                    0 => Received::End,
                    _ => Received::OverBudget,
                })
            } else {
                self.input.read_at_most(space).await
            };
            match read {
                Ok(Received::Bytes) => {}
                Ok(Received::OverBudget) => self.read_ahead.mark_exceeded(),
                Ok(Received::End) | Err(_) => return,
            }
            // A peer that sends without pause must not block the other tasks of the thread.
            future::yield_now().await;
        }
    }

    /// Frees the received bytes. No further request is decoded.
    fn discard_input(&mut self) {
        self.input.decoder = Decoder::new(MessageKind::Request, self.context.config.limits);
        self.input.memory.try_set_input(0);
        self.input.memory.try_set_request(0);
    }

    /// Closes the connection gracefully: closes the sending side, then reads until the client closes too, a limit is
    /// reached, or another connection needs the place. Closing with unread bytes would reset the connection and could
    /// lose a response that the client has not read yet.
    async fn close(&mut self, limit: Duration, max_bytes: u64) -> io::Result<()> {
        let evicted = self.registration.mark_closing();
        self.discard_input();
        // `AsyncWriteExt::close` would only flush this stream.
        self.input.stream.get_ref().shutdown(Shutdown::Write)?;
        let discard_remaining = async {
            let mut remaining = max_bytes;
            while remaining > 0 {
                match discard(&mut self.input.stream).await? {
                    0 => break,
                    count => remaining = remaining.saturating_sub(count as u64),
                }
                future::yield_now().await;
            }
            Ok(())
        };
        let evicted = async {
            evicted.await;
            Ok(())
        };
        let closed = future::or(discard_remaining, evicted);
        self.context.timer.timeout(limit, closed).await
    }

    async fn write(&mut self, bytes: Vec<u8>) -> io::Result<()> {
        let stream = &mut self.input.stream;
        response_writer::write(stream, bytes, &self.context, &self.registration).await
    }
}
