//! The server: accepts connections up to a bound, reads their requests within limits of size and time, and responds to
//! them one after the other.

mod connection;
mod connections;
mod incoming_budget;
mod request_reader;

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
use incoming_budget::IncomingBudget;

/// Pause after an accept that failed, or before the next one while the bound is reached.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Time in which a server that stops accepts the connections of the kernel's accept queue.
const ACCEPT_QUEUE_TIMEOUT: Duration = Duration::from_secs(1);

/// Limits of a server and its connections.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Bounds on the parts of a request.
    pub limits: Limits,
    /// Open connections at once. While the bound is reached, a connection without an open request is closed for each
    /// one that arrives, first those that never sent a request; while all have one open, accepting pauses.
    pub max_connections: usize,
    /// Bytes of content that is still arriving, of all connections together. A request that exceeds it gets a 503.
    pub max_incoming_bytes: u64,
    /// Time from the first byte of a request to its last.
    pub request_timeout: Duration,
    /// Time from a connection's start to the first byte of its first request.
    pub first_byte_timeout: Duration,
    /// Time that a connection may be idle between requests.
    pub idle_timeout: Duration,
    /// Time that a write may make no progress.
    pub write_timeout: Duration,
    /// Time for which the sender of a malformed request is still read from, so that the response reaches it.
    pub linger_timeout: Duration,
    /// Whether a handler is dropped when its client closes the connection, or only its sending side: TCP shows both
    /// alike until something is written, and a client that has stopped waiting may have no other way to say so. The
    /// handler must tolerate that at every await.
    pub cancels_on_disconnect: bool,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            limits: Limits::default(),
            max_connections: 32 << 10,
            max_incoming_bytes: 256 << 20,
            request_timeout: Duration::from_secs(10),
            first_byte_timeout: Duration::from_secs(60),
            idle_timeout: Duration::from_secs(60),
            write_timeout: Duration::from_secs(20),
            linger_timeout: Duration::from_secs(1),
            cancels_on_disconnect: false,
        }
    }
}

/// What is done with a request. The variants without a complete response exist for mock servers with faults.
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
        /// How many bytes of it are sent at most.
        max_bytes: usize,
    },
    /// Never responds, and keeps the connection open.
    Hang,
}

impl From<Response> for Reply {
    fn from(response: Response) -> Reply {
        Reply::Send(response)
    }
}

/// Responds to requests.
pub type Handler = Rc<dyn Fn(Request) -> future::BoxedLocal<Reply>>;

/// Binds a listener.
///
/// # Errors
///
/// Where the address can't be bound.
pub fn bind(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(address)
}

/// Accepts connections until the future is dropped; each is served by a task of its own.
pub async fn serve(
    listener: Async<TcpListener>,
    config: Config,
    handler: Handler,
    spawner: Spawner,
) {
    let connections = Rc::new(ServerConnections::new(config.max_connections));
    let never = future::pending();
    serve_until(listener, config, handler, spawner, &connections, never).await;
}

/// Accepts connections until `stop` completes, and then those of the kernel's accept queue: dropping the listener
/// would reset them, requests and all. `connections` lets the caller see and close the connections; its bound is the
/// one that holds.
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
        incoming: Rc::new(IncomingBudget::new(config.max_incoming_bytes)),
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

/// What the connections of one server share.
struct Context {
    config: Config,
    handler: Handler,
    timer: CoarseTimer,
    incoming: Rc<IncomingBudget>,
}

/// Accepts connections and starts a task for each.
struct Acceptor {
    listener: Async<TcpListener>,
    context: Rc<Context>,
    connections: Rc<ServerConnections>,
    spawner: Spawner,
}

impl Acceptor {
    async fn accept_forever(&self) {
        loop {
            self.connections.ready().await;
            match self.listener.accept().await {
                Ok((stream, _)) => self.spawn(stream),
                // Out of file descriptors, or the peer has gone: open connections are not affected.
                Err(_) => self.pause().await,
            }
        }
    }

    /// Accepts what the kernel has accepted already, as far as there is room for it in time.
    async fn accept_queued(&self) {
        let deadline = Instant::now() + ACCEPT_QUEUE_TIMEOUT;
        while Instant::now() < deadline {
            if self.connections.is_full() {
                self.pause().await;
                continue;
            }
            let accepted = self.listener.get_ref().accept();
            match accepted.map(|(stream, _)| Async::new(stream)) {
                Ok(Ok(stream)) => self.spawn(stream),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Ok(Err(_)) | Err(_) => self.pause().await,
            }
        }
    }

    /// Asks one idle connection to close, and waits: no event says when accepting works again.
    async fn pause(&self) {
        self.connections.close_one_idle();
        Timer::after(ACCEPT_RETRY_DELAY).await;
    }

    fn spawn(&self, stream: Async<TcpStream>) {
        let permit = self.connections.admit();
        let connection = Connection::new(stream, self.context.clone(), permit);
        self.spawner.spawn(async move {
            // A connection that fails concerns its client alone, who sees it fail.
            let _ = connection.serve().await;
        });
    }
}
