//! Client connections, which exchange one request and response at a time. Requests are never retried; the error tells
//! whether the server may have received the request.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_io::Async;
use futures_lite::{AsyncRead, AsyncWrite, AsyncWriteExt, future};

use crate::codec::{Decoder, Event, Limits, MessageKind, ParseError};
use crate::io::{read_into, timeout};
use crate::message::{Head, Method, Request, Response, StartLine};

/// The reason why an exchange returned no response.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The connection was not established, so the server has received nothing.
    #[error("no connection: {0}")]
    Connect(#[source] io::Error),
    /// The connection broke after sending had begun, so the server may have acted on the request.
    #[error("connection broken: {0}")]
    Broken(#[source] io::Error),
    /// No complete response arrived within the limit, or the operating system reported a time-out. The server may have
    /// acted on the request, or may still do so.
    #[error("no response in time")]
    TimedOut,
    /// The response is not valid HTTP/1.1. The server may have acted on the request.
    #[error("response: {0}")]
    Parse(#[source] ParseError),
}

/// The reason why an exchange over an open connection failed.
#[derive(Debug, thiserror::Error)]
enum ExchangeError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Parse(#[from] ParseError),
}

impl From<ExchangeError> for ClientError {
    fn from(error: ExchangeError) -> ClientError {
        match error {
            ExchangeError::Parse(error) => ClientError::Parse(error),
            ExchangeError::Io(error) if error.kind() == io::ErrorKind::TimedOut => {
                ClientError::TimedOut
            }
            ExchangeError::Io(error) => ClientError::Broken(error),
        }
    }
}

/// A response whose head has arrived.
struct IncomingResponse {
    response: Response,
    is_keep_alive: bool,
}

impl IncomingResponse {
    fn new(head: Head) -> Option<IncomingResponse> {
        let is_keep_alive = head.is_keep_alive();
        match head.start {
            StartLine::Response(status) => Some(IncomingResponse {
                response: Response {
                    status,
                    headers: head.headers,
                    body: Vec::new(),
                },
                is_keep_alive,
            }),
            StartLine::Request { .. } => None,
        }
    }

    /// Returns whether the response is interim, that is, followed by the final one (RFC 9110, section 15.2).
    fn is_interim(&self) -> bool {
        self.response.status.0 < 200
    }
}

/// A connection to a server that carries one exchange at a time.
#[derive(Debug)]
pub struct Connection<S> {
    stream: S,
    decoder: Decoder,
    host: String,
    is_reusable: bool,
}

impl Connection<Async<TcpStream>> {
    /// Connects to a server within `limit`.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError::Connect`] if connecting fails or takes longer.
    pub async fn open(
        address: SocketAddr,
        limit: Duration,
        limits: Limits,
    ) -> Result<Connection<Async<TcpStream>>, ClientError> {
        let stream = timeout(limit, Async::<TcpStream>::connect(address))
            .await
            .map_err(ClientError::Connect)?;
        // A failure is ignored: the connection works without this option, only slower.
        let _ = stream.get_ref().set_nodelay(true);
        Ok(Connection::new(stream, address.to_string(), limits))
    }

    /// Returns whether the server has closed the connection or sent bytes without a request since the last exchange.
    pub fn is_stale(&self) -> bool {
        let mut byte = [0; 1];
        let peeked = self.stream.get_ref().peek(&mut byte);
        !matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> Connection<S> {
    /// Creates a connection over an open stream. `host` is the value of the `Host` header field of its requests.
    pub fn new(stream: S, host: String, limits: Limits) -> Connection<S> {
        Connection {
            stream,
            decoder: Decoder::new(MessageKind::Response, limits),
            host,
            is_reusable: true,
        }
    }

    /// Returns whether another request may be sent: the connection is unused, or the last exchange left it open without
    /// unread bytes.
    pub fn is_reusable(&self) -> bool {
        self.is_reusable
    }

    /// Sends a request and receives the complete response, both within `limit`. Dropping the future before it completes
    /// leaves the connection unusable.
    ///
    /// # Errors
    ///
    /// Returns an error if sending or receiving fails or takes longer, or the response is malformed; never
    /// [`ClientError::Connect`]. The connection is then not reusable.
    pub async fn exchange(
        &mut self,
        request: &Request,
        limit: Duration,
    ) -> Result<Response, ClientError> {
        self.is_reusable = false;
        let incoming = timeout(limit, self.send_and_receive(request)).await?;
        self.is_reusable = incoming.is_keep_alive && !self.decoder.has_buffered_bytes();
        Ok(incoming.response)
    }

    async fn send_and_receive(
        &mut self,
        request: &Request,
    ) -> Result<IncomingResponse, ExchangeError> {
        self.stream.write_all(&request.encode(&self.host)).await?;
        if request.method == Method::Head {
            self.decoder.expect_no_body();
        }
        let mut incoming = None;
        loop {
            match self.next_event().await? {
                Event::Head(head) => incoming = IncomingResponse::new(head),
                Event::Body(part) => {
                    if let Some(incoming) = &mut incoming {
                        incoming.response.body.extend_from_slice(&part);
                    }
                }
                Event::End => match incoming.take() {
                    Some(complete) if !complete.is_interim() => return Ok(complete),
                    _ => {}
                },
            }
        }
    }

    async fn next_event(&mut self) -> Result<Event, ExchangeError> {
        loop {
            if let Some(event) = self.decoder.next_event()? {
                return Ok(event);
            }
            if read_into(&mut self.stream, &mut self.decoder).await? > 0 {
                // A server that sends without pause must not block the other tasks of the thread, nor the timeout.
                future::yield_now().await;
                continue;
            }
            return match self.decoder.finish() {
                Ok(Some(event)) => Ok(event),
                Ok(None) | Err(ParseError::UnexpectedEof) => {
                    Err(io::Error::from(io::ErrorKind::UnexpectedEof).into())
                }
                Err(error) => Err(error.into()),
            };
        }
    }
}
