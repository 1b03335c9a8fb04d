//! Owns one client connection: a request out, its response in. Never repeats anything: the error says whether
//! the request can have reached the server.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_io::Async;
use futures_lite::{AsyncRead, AsyncWrite, AsyncWriteExt};

use crate::codec::{Decoder, Event, Limits, ParseError, Side};
use crate::io::{read_into, within};
use crate::message::{Method, Request, Response, StartLine};

/// Why there is no response.
#[derive(Debug)]
pub enum ClientError {
    /// No connection came about: the server has seen nothing.
    Connect(io::Error),
    /// The connection broke after the request was begun: the server may have acted on it.
    Broken(io::Error),
    /// No response in time; the server may have acted, or may still.
    TimedOut,
    /// The response is no HTTP; the server may have acted.
    Parse(ParseError),
}

impl std::fmt::Display for ClientError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ClientError::Connect(e) => write!(f, "no connection: {e}"),
            ClientError::Broken(e) => write!(f, "connection broken: {e}"),
            ClientError::TimedOut => write!(f, "no response in time"),
            ClientError::Parse(e) => write!(f, "response: {e}"),
        }
    }
}

impl std::error::Error for ClientError {}

/// A connection to a server.
#[derive(Debug)]
pub struct Connection<S> {
    stream: S,
    decoder: Decoder,
    host: String,
    reusable: bool,
}

impl Connection<Async<TcpStream>> {
    /// Connects, within `limit`.
    pub async fn open(
        to: SocketAddr,
        limit: Duration,
        limits: Limits,
    ) -> Result<Connection<Async<TcpStream>>, ClientError> {
        let stream = within(limit, Async::<TcpStream>::connect(to))
            .await
            .map_err(ClientError::Connect)?;
        let _ = stream.get_ref().set_nodelay(true);
        Ok(Connection::over(stream, to.to_string(), limits))
    }

    /// Whether the server has closed it, or sent what nobody asked for, since it was last used.
    pub fn is_stale(&self) -> bool {
        let mut one = [0; 1];
        !matches!(self.stream.get_ref().peek(&mut one), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> Connection<S> {
    /// Over a stream that is there already.
    pub fn over(stream: S, host: String, limits: Limits) -> Connection<S> {
        Connection {
            stream,
            decoder: Decoder::new(Side::Responses, limits),
            host,
            reusable: true,
        }
    }

    /// Whether a further request may be sent over it.
    pub fn is_reusable(&self) -> bool {
        self.reusable
    }

    /// Sends a request and waits for the whole response, within `limit` for both.
    pub async fn exchange(
        &mut self,
        request: &Request,
        limit: Duration,
    ) -> Result<Response, ClientError> {
        self.reusable = false;
        let outcome = within(limit, async {
            self.stream.write_all(&request.encode(&self.host)).await?;
            if request.method == Method::Head {
                self.decoder.expect_no_body();
            }
            self.response().await
        });
        match outcome.await {
            Ok(Ok((response, keep))) => {
                self.reusable = keep && !self.decoder.holds();
                self.decoder.shrink();
                Ok(response)
            }
            Ok(Err(e)) => Err(ClientError::Parse(e)),
            Err(e) if e.kind() == io::ErrorKind::TimedOut => Err(ClientError::TimedOut),
            Err(e) => Err(ClientError::Broken(e)),
        }
    }

    async fn response(&mut self) -> io::Result<Result<(Response, bool), ParseError>> {
        let mut response: Option<(Response, bool)> = None;
        loop {
            let event = match self.decoder.next() {
                Ok(Some(event)) => event,
                Err(e) => return Ok(Err(e)),
                Ok(None) if read_into(&mut self.stream, &mut self.decoder).await? > 0 => continue,
                Ok(None) => match self.decoder.finish() {
                    Ok(Some(event)) => event,
                    Ok(None) | Err(ParseError::Cut) => {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                    Err(e) => return Ok(Err(e)),
                },
            };
            match event {
                Event::Head(head) => {
                    let keep = head.keeps_alive();
                    if let StartLine::Response(status) = head.start {
                        let (headers, body) = (head.headers, Vec::new());
                        response = Some((
                            Response {
                                status,
                                headers,
                                body,
                            },
                            keep,
                        ));
                    }
                }
                Event::Body(part) => {
                    if let Some((r, _)) = &mut response {
                        r.body.extend_from_slice(&part);
                    }
                }
                Event::End => match response.take() {
                    Some(whole) if whole.0.status.0 >= 200 => return Ok(Ok(whole)),
                    _ => {} // An interim response: the real one follows.
                },
            }
        }
    }
}
