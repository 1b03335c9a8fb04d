//! The server: accepts a limited number of connections, reads their requests within limits of size and time, and
//! responds to the requests of a connection one after the other.

mod connection;
mod connections;
mod memory_budget;
mod read_ahead;
mod request_reader;
mod response_writer;

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use futures_lite::future;

use crate::coarse_timer::CoarseTimer;
use crate::codec::Limits;
use crate::message::{Request, Response};
use crate::spawner::Spawner;
use connection::Connection;
pub use connections::{ConnectionCounts, ServerConnections};
use memory_budget::MemoryBudget;
pub use read_ahead::ReadAhead;

/// Delay before accepting is retried after a failure or, while stopping, after the maximum number of connections was
/// reached.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Maximum time for which a stopping server accepts the connections in the kernel's accept queue.
const ACCEPT_QUEUE_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of connections that are accepted before other tasks of the thread run. With one at a time, a client
/// would wait for a turn of all tasks for each connection that is ahead of it.
const MAX_ACCEPTS_PER_TURN: u32 = 512;

/// Limits of a server and its connections.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Limits on the parts of a request.
    pub limits: Limits,
    /// Maximum number of open connections. As soon as it is reached, connections are asked to close until one place is
    /// free: first those that have sent their last response, then idle ones, of these first those that never sent a
    /// request, last those whose next request is arriving, which get status 503. While there are none, no connection is
    /// accepted.
    pub max_connections: usize,
    /// Memory in bytes that each connection may use for its requests whatever others use: received bytes, and the
    /// request that is being received or handled.
    pub connection_allowance_bytes: u64,
    /// Maximum memory in bytes that the requests of all connections together use beyond the allowances. A request that
    /// exceeds it is rejected with status 503.
    pub max_request_bytes: u64,
    /// Maximum memory in bytes of all responses that clients have not taken yet. When a further one exceeds it, the
    /// connection whose client has taken nothing for the longest time is closed.
    pub max_response_bytes: u64,
    /// Maximum time from the first byte of a request to its last.
    pub request_timeout: Duration,
    /// Maximum time from the start of a connection to the first byte of its first request.
    pub first_byte_timeout: Duration,
    /// Maximum time for which a connection may be idle between requests.
    pub idle_timeout: Duration,
    /// Maximum time for which a write may make no progress.
    pub write_timeout: Duration,
    /// Maximum time for which the server keeps reading from the sender of a rejected request, so that closing does not
    /// reset the connection before the response is read. It ends earlier if another connection needs the place.
    pub linger_timeout: Duration,
    /// Whether a handler is dropped when its client closes the connection or only the sending side. TCP does not
    /// distinguish the two until something is written, and closing may be a client's only way to signal that it no
    /// longer waits. The handler must tolerate being dropped at every await.
    pub cancels_on_disconnect: bool,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            limits: Limits::default(),
            max_connections: 32 << 10,
            connection_allowance_bytes: 16 << 10,
            max_request_bytes: 256 << 20,
            max_response_bytes: 512 << 20,
            request_timeout: Duration::from_secs(10),
            first_byte_timeout: Duration::from_secs(60),
            idle_timeout: Duration::from_secs(60),
            write_timeout: Duration::from_secs(20),
            linger_timeout: Duration::from_secs(1),
            cancels_on_disconnect: false,
        }
    }
}

/// A handler's reply to a request. Mock servers use the variants without a complete response to simulate faults.
#[derive(Debug)]
pub enum Reply {
    /// Sends a response.
    Send(Response),
    /// Closes the connection without a response.
    Close,
    /// Sends the first bytes of a response and closes the connection.
    Truncate {
        /// The response.
        response: Response,
        /// The maximum number of its bytes to send.
        max_bytes: usize,
    },
    /// Keeps the connection open without a response.
    Hang,
}

impl From<Response> for Reply {
    fn from(response: Response) -> Reply {
        Reply::Send(response)
    }
}

/// A function that handles requests. The read-ahead tells it whether the client sends too much meanwhile, if the server
/// watches the client ([`Config::cancels_on_disconnect`]).
pub type Handler = Rc<dyn Fn(Request, ReadAhead) -> future::BoxedLocal<Reply>>;

/// Binds a listener to an address.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub fn bind(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(address)
}

/// Accepts connections until the future is dropped, and serves each in a task of its own.
pub async fn serve(
    listener: Async<TcpListener>,
    config: Config,
    handler: Handler,
    spawner: Spawner,
) {
    let connections = Rc::new(ServerConnections::new(config.max_connections));
    let never_stops = future::pending();
    serve_until(
        listener,
        config,
        handler,
        spawner,
        &connections,
        never_stops,
    )
    .await;
}

/// Accepts connections until `stop` completes, then those in the kernel's accept queue, because dropping the listener
/// would reset them together with the requests they carry. Through `connections`, the caller can count and close the
/// connections; its maximum applies instead of [`Config::max_connections`].
pub async fn serve_until(
    listener: Async<TcpListener>,
    config: Config,
    handler: Handler,
    spawner: Spawner,
    connections: &Rc<ServerConnections>,
    stop: impl Future<Output = ()>,
) {
    let context = Rc::new(Context {
        config,
        handler,
        timer: CoarseTimer::new(&spawner),
        request_memory: MemoryBudget::new(config.max_request_bytes),
        response_memory: MemoryBudget::new(config.max_response_bytes),
    });
    let acceptor = Acceptor {
        listener,
        context,
        connections: connections.clone(),
        spawner,
    };
    future::or(stop, acceptor.accept_forever()).await;
    acceptor.accept_queued().await;
}

/// The context that the connections of one server share.
struct Context {
    config: Config,
    handler: Handler,
    timer: CoarseTimer,
    request_memory: Rc<MemoryBudget>,
    response_memory: Rc<MemoryBudget>,
}

/// A listener whose connections are each served by a task of its own.
struct Acceptor {
    listener: Async<TcpListener>,
    context: Rc<Context>,
    connections: Rc<ServerConnections>,
    spawner: Spawner,
}

impl Acceptor {
    async fn accept_forever(&self) {
        let mut accepted_in_turn = 0;
        loop {
            // The connections accepted last are read from before one of them is closed to make room. And connections that
            // arrive without pause must not block the other tasks of the thread.
            if self.connections.is_full() || accepted_in_turn == MAX_ACCEPTS_PER_TURN {
                future::yield_now().await;
                accepted_in_turn = 0;
            }
            accepted_in_turn += 1;
            self.connections.wait_for_capacity().await;
            match self.listener.accept().await {
                Ok((stream, _)) => self.spawn(stream),
                // Out of file descriptors, or the peer has disconnected. Open connections are not affected.
                Err(error) => {
                    tracing::debug!(%error, "connection not accepted");
                    self.evict_one_and_wait().await;
                }
            }
        }
    }

    /// Accepts the connections in the kernel's accept queue, as far as the maximum number of connections allows within
    /// [`ACCEPT_QUEUE_TIMEOUT`].
    async fn accept_queued(&self) {
        let deadline = Instant::now() + ACCEPT_QUEUE_TIMEOUT;
        let mut accepted_in_turn = 0;
        while Instant::now() < deadline {
            if self.connections.is_full() {
                self.evict_one_and_wait().await;
                continue;
            }
            accepted_in_turn += 1;
            if accepted_in_turn == MAX_ACCEPTS_PER_TURN {
                future::yield_now().await;
                accepted_in_turn = 0;
            }
            let accepted = self.listener.get_ref().accept();
            match accepted.map(|(stream, _)| Async::new(stream)) {
                Ok(Ok(stream)) => self.spawn(stream),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Ok(Err(_)) | Err(_) => self.evict_one_and_wait().await,
            }
        }
    }

    /// Asks one connection to close, and waits for a fixed time, because no event tells when accepting works
    /// again.
    async fn evict_one_and_wait(&self) {
        self.connections.evict_one();
        Timer::after(ACCEPT_RETRY_DELAY).await;
    }

    fn spawn(&self, stream: Async<TcpStream>) {
        let registration = self.connections.register();
        let connection = Connection::new(stream, self.context.clone(), registration);
        self.spawner.spawn(async move {
            // A connection error affects only its client, which notices it.
            let _ = connection.serve().await;
        });
    }
}
