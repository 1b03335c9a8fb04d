//! Client connections: one request out, its response in. Nothing is retried: the error says whether the request can
//! have reached the server.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_io::Async;
use futures_lite::{AsyncRead, AsyncWrite, AsyncWriteExt};

use crate::codec::{Decoder, Event, Limits, MessageKind, ParseError};
use crate::io::{read_into, timeout};
use crate::message::{Head, Method, Request, Response, StartLine};

/// Why there is no response.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The connection was not established: the server has received nothing.
    #[error("no connection: {0}")]
    Connect(#[source] io::Error),
    /// The connection broke after the request was begun: the server may have acted on it.
    #[error("connection broken: {0}")]
    Broken(#[source] io::Error),
    /// There was no response in time: the server may have acted, or may still.
    #[error("no response in time")]
    TimedOut,
    /// The response is not HTTP/1.1: the server may have acted.
    #[error("response: {0}")]
    Parse(#[source] ParseError),
}

/// Why an exchange over an open connection failed.
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

/// A response of which the head has arrived.
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

    /// Whether the final response follows it (RFC 9110, section 15.2).
    fn is_interim(&self) -> bool {
        self.response.status.0 < 200
    }
}

/// A connection to a server, for one exchange at a time.
#[derive(Debug)]
pub struct Connection<S> {
    stream: S,
    decoder: Decoder,
    host: String,
    is_reusable: bool,
}

impl Connection<Async<TcpStream>> {
    /// Connects within `limit`.
    ///
    /// # Errors
    ///
    /// [`ClientError::Connect`] where that fails or takes longer.
    pub async fn open(
        address: SocketAddr,
        limit: Duration,
        limits: Limits,
    ) -> Result<Connection<Async<TcpStream>>, ClientError> {
        let stream = timeout(limit, Async::<TcpStream>::connect(address))
            .await
            .map_err(ClientError::Connect)?;
        // Without it the connection works, only slower.
        let _ = stream.get_ref().set_nodelay(true);
        Ok(Connection::new(stream, address.to_string(), limits))
    }

    /// Whether the server has closed the connection, or sent bytes that answer no request, since it was last used.
    pub fn is_stale(&self) -> bool {
        let mut byte = [0; 1];
        let peeked = self.stream.get_ref().peek(&mut byte);
        !matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> Connection<S> {
    /// A connection over an open stream; `host` is what its requests name.
    pub fn new(stream: S, host: String, limits: Limits) -> Connection<S> {
        Connection {
            stream,
            decoder: Decoder::new(MessageKind::Response, limits),
            host,
            is_reusable: true,
        }
    }

    /// Whether a further request may be sent over it: it was never used, or the last exchange left it open and clean.
    pub fn is_reusable(&self) -> bool {
        self.is_reusable
    }

    /// Sends a request and waits for the complete response, within `limit` for both. A future that is dropped before
    /// its end leaves the connection unusable.
    ///
    /// # Errors
    ///
    /// Any but [`ClientError::Connect`]; the connection is then not reusable.
    pub async fn exchange(
        &mut self,
        request: &Request,
        limit: Duration,
    ) -> Result<Response, ClientError> {
        self.is_reusable = false;
        let incoming = timeout(limit, self.send_and_receive(request)).await?;
        self.is_reusable = incoming.is_keep_alive && !self.decoder.has_buffered_bytes();
        self.decoder.shrink();
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
