//! A connection to an engine, which carries one request at a time.

use std::io;
use std::net::TcpStream;
use std::time::Instant;

use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use hoptiller_platform_protocol::{LineDecoder, ResponseBody};

use crate::attempt::{AttemptError, MAX_BYTES_PER_REQUEST};
use crate::connection_limiter::ConnectionPermit;
use crate::endpoint::EndpointState;

/// Maximum number of requests on a connection, which bounds the list of remembered request ids. No id is sent twice on
/// a connection, as a late or duplicate response to the first attempt would be mistaken for the response to the second.
const MAX_REQUESTS: usize = 256;
/// Maximum bytes that an engine may have sent while the connection was idle.
const MAX_IDLE_BYTES: usize = 64 << 10;
const READ_BUFFER_BYTES: usize = 4096;

/// A connection to an engine. Fields are dropped in declaration order: the socket closes before its permit is returned.
pub(crate) struct Connection {
    stream: Async<TcpStream>,
    decoder: LineDecoder,
    idle_since: Instant,
    /// The state of the endpoint when the connection was opened.
    endpoint: EndpointState,
    /// The numeric ids of the requests carried so far. A late or duplicate response to each may still arrive.
    carried: Vec<u64>,
    /// The number of bytes received during the current request.
    received: usize,
    _permit: ConnectionPermit,
}

impl Connection {
    pub(crate) fn new(
        stream: Async<TcpStream>,
        endpoint: EndpointState,
        permit: ConnectionPermit,
    ) -> Connection {
        Connection {
            stream,
            decoder: LineDecoder::default(),
            idle_since: Instant::now(),
            endpoint,
            carried: Vec::new(),
            received: 0,
            _permit: permit,
        }
    }

    pub(crate) fn endpoint(&self) -> &EndpointState {
        &self.endpoint
    }

    pub(crate) fn idle_since(&self) -> Instant {
        self.idle_since
    }

    pub(crate) fn has_carried(&self, request: u64) -> bool {
        self.carried.contains(&request)
    }

    pub(crate) fn record_request(&mut self, request: u64) {
        self.carried.push(request);
    }

    /// Returns whether the connection may carry further requests.
    pub(crate) fn is_reusable(&self) -> bool {
        self.carried.len() < MAX_REQUESTS
    }

    /// Prepares the connection for its next request.
    pub(crate) fn mark_idle(&mut self) {
        self.decoder.release_empty_buffer();
        self.idle_since = Instant::now();
        self.received = 0;
    }

    /// Writes as much as the socket accepts now, without waiting.
    pub(crate) fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        io::Write::write(&mut self.stream.get_ref(), bytes)
    }

    /// Waits until the socket accepts bytes.
    pub(crate) async fn writable(&self) -> io::Result<()> {
        self.stream.writable().await
    }

    pub(crate) async fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Receives the next response to a request. Responses to other requests are skipped, up to a limit in bytes.
    pub(crate) async fn response(&mut self, id: &str) -> Result<ResponseBody, AttemptError> {
        loop {
            while let Some(response) = self.decoder.next_response().map_err(AttemptError::Line)? {
                if response.id == id {
                    return Ok(response.body);
                }
            }
            let mut buffer = [0; READ_BUFFER_BYTES];
            match self.stream.read(&mut buffer).await {
                Ok(0) => {
                    let end = io::ErrorKind::UnexpectedEof.into();
                    return Err(AttemptError::ConnectionReset(end));
                }
                Ok(n) if self.received + n > MAX_BYTES_PER_REQUEST => {
                    return Err(AttemptError::TooManyBytes);
                }
                Ok(n) => {
                    self.received += n;
                    self.decoder.feed(&buffer[..n]);
                }
                Err(error) => return Err(AttemptError::ConnectionReset(error)),
            }
            // An engine that sends without pause must not block the other tasks of the thread.
            future::yield_now().await;
        }
    }

    /// Returns whether an idle connection can carry a request: it is open and received only complete responses while
    /// idle.
    pub(crate) fn is_usable(&mut self) -> bool {
        let mut buffer = [0; READ_BUFFER_BYTES];
        let mut received = 0;
        loop {
            match io::Read::read(&mut self.stream.get_ref(), &mut buffer) {
                Ok(0) => return false,
                Ok(n) if received + n > MAX_IDLE_BYTES => return false,
                Ok(n) => {
                    received += n;
                    self.decoder.feed(&buffer[..n]);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(_) => return false,
            }
            while let Ok(Some(_)) = self.decoder.next_response() {}
        }
        // A partial line may be the start of an invalid one.
        self.decoder.next_response().is_ok() && !self.decoder.has_pending_bytes()
    }
}
