//! One connection of the server: reads a request, has it handled, responds, and so on until it is closed.

use std::cell::Cell;
use std::io;
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::Async;
use futures_lite::future;

use super::connections::ConnectionPermit;
use super::request_reader::{IncomingRequest, ReadError, next_request};
use super::{Context, Reply};
use crate::codec::{Decoder, MessageKind};
use crate::io::{discard, read_into, write_all};
use crate::message::{Method, Request, Response};

/// Time for which a connection is read from after its last response.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(300);

/// Bytes that are read after a connection's last response.
const MAX_CLOSE_BYTES: u64 = 1 << 20;

/// Bytes that the sender of a malformed request may still send.
const MAX_LINGER_BYTES: u64 = 256 << 20;

/// A connection. The stream is closed before the permit is released.
pub(super) struct Connection {
    stream: Async<TcpStream>,
    decoder: Decoder,
    context: Rc<Context>,
    permit: ConnectionPermit,
}

impl Connection {
    pub(super) fn new(
        stream: Async<TcpStream>,
        context: Rc<Context>,
        permit: ConnectionPermit,
    ) -> Connection {
        Connection {
            stream,
            decoder: Decoder::new(MessageKind::Request, context.config.limits),
            context,
            permit,
        }
    }

    /// Serves requests until the connection is closed.
    pub(super) async fn serve(mut self) -> io::Result<()> {
        // Without it the connection works, only slower.
        let _ = self.stream.get_ref().set_nodelay(true);
        loop {
            let next = next_request(
                &mut self.stream,
                &mut self.decoder,
                &self.context,
                &self.permit,
            );
            match next.await {
                Ok(Some(request)) => {
                    if !self.serve_request(request).await? {
                        return Ok(());
                    }
                }
                Ok(None) if self.permit.is_closing() => {
                    return self.close(CLOSE_TIMEOUT, MAX_CLOSE_BYTES).await;
                }
                Ok(None) => return Ok(()),
                Err(ReadError::Io(error)) => return Err(error),
                Err(ReadError::Parse(error)) => {
                    return self.reject(error.status(), &error.to_string()).await;
                }
                Err(error @ ReadError::IncomingBudget) => {
                    return self.reject(503, &error.to_string()).await;
                }
            }
        }
    }

    /// Responds to what is not served, and closes the connection.
    async fn reject(&mut self, status: u16, reason: &str) -> io::Result<()> {
        let response = Response::text(status, reason);
        self.write(&response.encode(true)).await?;
        let limit = self.context.config.linger_timeout;
        self.close(limit, MAX_LINGER_BYTES).await
    }

    /// Serves one request; `false` if the connection serves no more after it.
    async fn serve_request(&mut self, incoming: IncomingRequest) -> io::Result<bool> {
        let is_head = incoming.request.method == Method::Head;
        let Handled { reply, is_overrun } = self.handle(incoming.request).await;
        match reply {
            None | Some(Reply::Close) => Ok(false),
            Some(Reply::Send(response)) => {
                let is_kept_open =
                    incoming.is_keep_alive && !is_overrun && !self.permit.is_ending();
                let mut bytes = response.encode(!is_kept_open);
                if is_head {
                    bytes.truncate(bytes.len() - response.body.len());
                }
                self.write(&bytes).await?;
                if !is_kept_open {
                    self.close(CLOSE_TIMEOUT, MAX_CLOSE_BYTES).await?;
                }
                Ok(is_kept_open)
            }
            Some(Reply::Truncate {
                response,
                max_bytes,
            }) => {
                let bytes = response.encode(false);
                self.write(&bytes[..max_bytes.min(bytes.len())]).await?;
                Ok(false)
            }
            Some(Reply::Hang) => future::pending().await,
        }
    }

    async fn handle(&mut self, request: Request) -> Handled {
        let context = self.context.clone();
        let is_overrun = Cell::new(false);
        let reply = if context.config.cancels_on_disconnect {
            let reply = async { Some((context.handler)(request).await) };
            let disconnected = async {
                self.wait_for_disconnect(&is_overrun).await;
                None
            };
            future::or(reply, disconnected).await
        } else {
            Some((context.handler)(request).await)
        };
        Handled {
            reply,
            is_overrun: is_overrun.get(),
        }
    }

    /// Waits until the peer has closed. What it sends meanwhile is kept for the next request, up to the limit of a head.
    /// After that it is discarded, so that the peer's close is still noticed, and the connection serves no more.
    async fn wait_for_disconnect(&mut self, is_overrun: &Cell<bool>) {
        let max_bytes = self.context.config.limits.max_head_bytes;
        let mut received = 0;
        loop {
            let read = if is_overrun.get() {
                discard(&mut self.stream).await
            } else {
                read_into(&mut self.stream, &mut self.decoder).await
            };
            match read {
                Ok(0) | Err(_) => return,
                Ok(count) => received += count,
            }
            is_overrun.set(received > max_bytes);
            // A peer that sends without a pause must not keep the thread from all others.
            future::yield_now().await;
        }
    }

    /// Closes gracefully: closes the sending side, and reads on within bounds until the client has closed too. A close
    /// over unread bytes would reset the connection, and with it a response that the client has not read yet.
    async fn close(&mut self, limit: Duration, max_bytes: u64) -> io::Result<()> {
        // Not `AsyncWriteExt::close`, which only flushes here.
        self.stream.get_ref().shutdown(Shutdown::Write)?;
        let read_on = async {
            let mut remaining = max_bytes;
            while remaining > 0 {
                match discard(&mut self.stream).await? {
                    0 => break,
                    count => remaining = remaining.saturating_sub(count as u64),
                }
                future::yield_now().await;
            }
            Ok(())
        };
        self.context.timer.timeout(limit, read_on).await
    }

    async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        let limit = self.context.config.write_timeout;
        write_all(&mut self.stream, bytes, limit, &self.context.timer).await
    }
}

/// What became of a request.
struct Handled {
    /// None where the client has disconnected.
    reply: Option<Reply>,
    /// Whether bytes of further requests were discarded.
    is_overrun: bool,
}
