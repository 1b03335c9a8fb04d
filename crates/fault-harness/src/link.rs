//! A link between two processes: a TCP proxy that forwards bytes in both directions, with faults that can change while
//! it runs.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use hoptiller_mock_servers::ServerThread;

const BUFFER_BYTES: usize = 16 << 10;

/// Faults in one direction of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DirectionFaults {
    /// Whether the direction is blocked. Bytes sent while it is blocked are delivered after it is unblocked, as in a
    /// network that retransmits.
    pub blocked: bool,
    /// Latency added to each chunk.
    pub latency: Duration,
    /// Number of bytes after which each connection stalls; `None` for no limit.
    pub max_bytes: Option<u64>,
}

impl DirectionFaults {
    /// Returns faults that block the direction.
    pub fn blocked() -> DirectionFaults {
        DirectionFaults {
            blocked: true,
            ..DirectionFaults::default()
        }
    }

    /// Returns faults that add `latency` to each chunk.
    pub fn delayed(latency: Duration) -> DirectionFaults {
        DirectionFaults {
            latency,
            ..DirectionFaults::default()
        }
    }
}

/// Faults of both directions of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkFaults {
    /// Faults from the connecting side to the target: for requests.
    pub outbound: DirectionFaults,
    /// Faults from the target to the connecting side: for responses.
    pub inbound: DirectionFaults,
    /// Whether the link closes new connections immediately.
    pub rejects_connections: bool,
}

impl LinkFaults {
    /// Returns faults that block both directions.
    pub fn blocked() -> LinkFaults {
        LinkFaults::both_ways(DirectionFaults::blocked())
    }

    /// Returns faults that block requests, but not responses.
    pub fn blocked_requests() -> LinkFaults {
        LinkFaults {
            outbound: DirectionFaults::blocked(),
            ..LinkFaults::default()
        }
    }

    /// Returns faults that block responses, but not requests.
    pub fn blocked_responses() -> LinkFaults {
        LinkFaults {
            inbound: DirectionFaults::blocked(),
            ..LinkFaults::default()
        }
    }

    /// Returns faults that add `latency` to each chunk in both directions.
    pub fn delayed(latency: Duration) -> LinkFaults {
        LinkFaults::both_ways(DirectionFaults::delayed(latency))
    }

    fn both_ways(faults: DirectionFaults) -> LinkFaults {
        LinkFaults {
            outbound: faults,
            inbound: faults,
            rejects_connections: false,
        }
    }
}

#[derive(Clone, Copy, Default)]
struct State {
    faults: LinkFaults,
    target: Option<SocketAddr>,
    /// Number of times that open connections were reset.
    resets: u64,
    forwarded_bytes: u64,
}

/// State shared by a link and its connections.
#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    /// Notified whenever the faults, the target or the number of resets change.
    changed: Event,
}

impl Shared {
    fn state(&self) -> State {
        self.state.lock().map(|state| *state).unwrap_or_default()
    }

    fn update(&self, change: impl FnOnce(&mut State)) {
        if let Ok(mut state) = self.state.lock() {
            change(&mut state);
        }
        self.changed.notify(usize::MAX);
    }

    /// Waits until `ready` returns a value for the state, and returns the value.
    async fn wait_for<T>(&self, ready: impl Fn(&State) -> Option<T>) -> T {
        loop {
            // Listens before reading the state, so that no later change is missed.
            let changed = self.changed.listen();
            if let Some(value) = ready(&self.state()) {
                return value;
            }
            changed.await;
        }
    }
}

/// A link between two processes. Dropping it closes its connections.
pub struct Link {
    shared: Arc<Shared>,
    proxy: ServerThread,
}

impl Link {
    /// Starts a link on a thread called `name`. It closes connections until [`set_target`](Link::set_target) is called.
    ///
    /// # Errors
    ///
    /// Returns an error if no loopback address can be bound or no thread can be started.
    pub fn new(name: &str) -> io::Result<Link> {
        let shared: Arc<Shared> = Arc::default();
        let proxy_shared = shared.clone();
        let proxy = ServerThread::spawn(name, move |spawner| {
            let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
            let address = listener.get_ref().local_addr()?;
            let connections = spawner.clone();
            spawner.spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let shared = proxy_shared.clone();
                    connections.spawn(async move {
                        // An error closes the connection, which is all that its two ends can observe.
                        let _ = forward_connection(stream, &shared).await;
                    });
                }
            });
            Ok(address)
        })?;
        Ok(Link { shared, proxy })
    }

    /// Returns the address on which the link accepts connections.
    pub fn addr(&self) -> SocketAddr {
        self.proxy.addr
    }

    /// Forwards new connections to `target`.
    pub fn set_target(&self, target: SocketAddr) {
        self.shared.update(|state| state.target = Some(target));
    }

    /// Returns the number of bytes forwarded so far, in both directions together.
    pub fn forwarded_bytes(&self) -> u64 {
        self.shared.state().forwarded_bytes
    }

    /// Replaces the faults of the link. The default value restores it.
    pub fn set_faults(&self, faults: LinkFaults) {
        self.shared.update(|state| state.faults = faults);
    }

    /// Closes all open connections.
    pub fn reset_connections(&self) {
        self.shared.update(|state| state.resets += 1);
    }
}

async fn forward_connection(client: Async<TcpStream>, shared: &Shared) -> io::Result<()> {
    let initial = shared.state();
    let Some(target) = initial
        .target
        .filter(|_| !initial.faults.rejects_connections)
    else {
        return Ok(());
    };
    let server = Async::<TcpStream>::connect(target).await?;
    let reset = async {
        shared
            .wait_for(|state| (state.resets != initial.resets).then_some(()))
            .await;
        Ok(())
    };
    let requests = forward(&client, &server, shared, |faults| faults.outbound);
    let responses = forward(&server, &client, shared, |faults| faults.inbound);
    // Closing either end closes both directions, as no HTTP peer here uses half-closed connections.
    future::or(reset, future::or(requests, responses)).await
}

/// Forwards bytes in one direction until the source closes.
async fn forward(
    mut source: &Async<TcpStream>,
    mut destination: &Async<TcpStream>,
    shared: &Shared,
    direction: impl Fn(&LinkFaults) -> DirectionFaults,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut forwarded_bytes = 0u64;
    loop {
        let length = source.read(&mut buffer).await?;
        let latency = direction(&shared.state().faults).latency;
        if !latency.is_zero() {
            Timer::after(latency).await;
        }
        if length == 0 {
            let unblocked = |state: &State| (!direction(&state.faults).blocked).then_some(());
            shared.wait_for(unblocked).await;
            return Ok(());
        }
        let mut pending = &buffer[..length];
        while !pending.is_empty() {
            let allowed = shared
                .wait_for(|state| allowed_bytes(&direction(&state.faults), forwarded_bytes))
                .await;
            let count = pending.len().min(allowed);
            destination.write_all(&pending[..count]).await?;
            forwarded_bytes += count as u64;
            if let Ok(mut state) = shared.state.lock() {
                state.forwarded_bytes += count as u64;
            }
            pending = &pending[count..];
        }
    }
}

/// Returns how many more bytes a connection may forward after `forwarded` bytes; `None` if it may forward none.
fn allowed_bytes(faults: &DirectionFaults, forwarded: u64) -> Option<usize> {
    let remaining = faults
        .max_bytes
        .map_or(u64::MAX, |max| max.saturating_sub(forwarded));
    (!faults.blocked && remaining > 0).then(|| remaining.try_into().unwrap_or(usize::MAX))
}
