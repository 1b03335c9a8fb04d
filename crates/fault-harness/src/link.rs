//! A link between two processes: a TCP proxy that forwards bytes both ways, with faults that are set while it runs.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use hoptiller_mock_servers::ServerThread;

const BUFFER_BYTES: usize = 16 << 10;

/// Faults of one direction of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DirectionFaults {
    /// Nothing passes. What is sent meanwhile passes once the link is restored, as in a network that retransmits.
    pub blocked: bool,
    /// Added to the time that each chunk takes.
    pub latency: Duration,
    /// Bytes of each connection that pass before nothing more does; `None`: no limit.
    pub max_bytes: Option<u64>,
}

impl DirectionFaults {
    /// Nothing passes in this direction.
    pub fn blocked() -> DirectionFaults {
        DirectionFaults {
            blocked: true,
            ..DirectionFaults::default()
        }
    }

    /// Everything passes later by `latency`.
    pub fn delayed(latency: Duration) -> DirectionFaults {
        DirectionFaults {
            latency,
            ..DirectionFaults::default()
        }
    }
}

/// Faults of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkFaults {
    /// From the side that connects: requests.
    pub outbound: DirectionFaults,
    /// To the side that connects: responses.
    pub inbound: DirectionFaults,
    /// Whether new connections are closed at once.
    pub rejects_connections: bool,
}

impl LinkFaults {
    /// Nothing passes in either direction.
    pub fn blocked() -> LinkFaults {
        LinkFaults::both_ways(DirectionFaults::blocked())
    }

    /// Requests are lost, responses are not.
    pub fn lost_requests() -> LinkFaults {
        LinkFaults {
            outbound: DirectionFaults::blocked(),
            ..LinkFaults::default()
        }
    }

    /// Responses are lost, requests are not.
    pub fn lost_responses() -> LinkFaults {
        LinkFaults {
            inbound: DirectionFaults::blocked(),
            ..LinkFaults::default()
        }
    }

    /// Everything passes later by `latency`, in each direction.
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
    /// How often open connections were reset.
    resets: u64,
    forwarded_bytes: u64,
}

/// What the owner of a link and its connections share.
#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    /// Notified whenever faults or the count of resets change.
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

    /// Waits until `ready` returns something for the state.
    async fn wait_for<T>(&self, ready: impl Fn(&State) -> Option<T>) -> T {
        loop {
            // Listens first: a change after the state was read is not missed.
            let changed = self.changed.listen();
            if let Some(value) = ready(&self.state()) {
                return value;
            }
            changed.await;
        }
    }
}

/// A link. Its connections close when it is dropped.
pub struct Link {
    shared: Arc<Shared>,
    proxy: ServerThread,
}

impl Link {
    /// Starts a link without a target yet: it closes connections until it has one. Its thread is called `name`.
    ///
    /// # Errors
    ///
    /// When no address on loopback can be bound or no thread started.
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
                        // A connection that breaks is closed, which is all that its ends can learn.
                        let _ = forward_connection(stream, &shared).await;
                    });
                }
            });
            Ok(address)
        })?;
        Ok(Link { shared, proxy })
    }

    /// The address that leads over this link.
    pub fn addr(&self) -> SocketAddr {
        self.proxy.addr
    }

    /// Leads new connections to `target`.
    pub fn set_target(&self, target: SocketAddr) {
        self.shared.update(|state| state.target = Some(target));
    }

    /// Bytes forwarded so far, in both directions together.
    pub fn forwarded_bytes(&self) -> u64 {
        self.shared.state().forwarded_bytes
    }

    /// Replaces the faults of this link; the default restores it.
    pub fn set_faults(&self, faults: LinkFaults) {
        self.shared.update(|state| state.faults = faults);
    }

    /// Closes the connections that are open.
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
    // Either end that closes ends both directions: HTTP needs no half-closed connections here.
    future::or(reset, future::or(requests, responses)).await
}

/// Forwards bytes in one direction until its source closes.
async fn forward(
    mut source: &Async<TcpStream>,
    mut destination: &Async<TcpStream>,
    shared: &Shared,
    direction: impl Fn(&LinkFaults) -> DirectionFaults,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut passed = 0u64;
    loop {
        let length = source.read(&mut buffer).await?;
        let latency = direction(&shared.state().faults).latency;
        if !latency.is_zero() {
            Timer::after(latency).await;
        }
        if length == 0 {
            let open = |state: &State| (!direction(&state.faults).blocked).then_some(());
            shared.wait_for(open).await;
            return Ok(());
        }
        let mut pending = &buffer[..length];
        while !pending.is_empty() {
            let allowed = shared
                .wait_for(|state| allowed_bytes(&direction(&state.faults), passed))
                .await;
            let count = pending.len().min(allowed);
            destination.write_all(&pending[..count]).await?;
            passed += count as u64;
            if let Ok(mut state) = shared.state.lock() {
                state.forwarded_bytes += count as u64;
            }
            pending = &pending[count..];
        }
    }
}

/// How many bytes more may pass on a connection on which `passed` have; `None` where none may.
fn allowed_bytes(faults: &DirectionFaults, passed: u64) -> Option<usize> {
    let left = faults
        .max_bytes
        .map_or(u64::MAX, |max| max.saturating_sub(passed));
    (!faults.blocked && left > 0).then(|| left.try_into().unwrap_or(usize::MAX))
}
