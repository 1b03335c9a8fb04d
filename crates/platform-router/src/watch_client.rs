//! A client that watches the coordinator's endpoint list. It requests the updates after the last one received and
//! reconnects after any error. While the coordinator is unreachable, the list stays unchanged.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use hoptiller_platform_protocol::frame_decoder::{Frame, FrameError};
use hoptiller_platform_protocol::{EndpointListUpdate, FrameDecoder};

/// The connection is closed if no complete frame arrives within this time; partial frames don't count. The coordinator
/// sends a keep-alive each second.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_millis(2_200);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
const MIN_BACKOFF: Duration = Duration::from_millis(20);
const MAX_BACKOFF: Duration = Duration::from_millis(400);
const READ_BUFFER_BYTES: usize = 8 << 10;

/// The reason why a connection to the coordinator ended.
#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("connecting or subscribing took over {} ms", CONNECT_TIMEOUT.as_millis())]
    ConnectTimedOut,
    #[error("no complete frame within {} ms", KEEP_ALIVE_TIMEOUT.as_millis())]
    FrameTimedOut,
    #[error("{0}")]
    Frame(#[from] FrameError),
    #[error("the coordinator's address has changed")]
    AddressChanged,
}

/// Watches the coordinator's endpoint list.
pub(crate) struct WatchClient {
    addr: Cell<SocketAddr>,
    last_event: Cell<u64>,
    /// Number of complete frames received over the current connection.
    frames: Cell<u64>,
    addr_changed: Event,
    backoff: RefCell<Duration>,
}

impl WatchClient {
    /// Creates a client for the coordinator at an address that watches the events after `last_event`.
    pub(crate) fn new(addr: SocketAddr, last_event: u64) -> WatchClient {
        WatchClient {
            addr: Cell::new(addr),
            last_event: Cell::new(last_event),
            frames: Cell::new(0),
            addr_changed: Event::new(),
            backoff: RefCell::new(MIN_BACKOFF),
        }
    }

    /// Reconnects if the address differs from the current one.
    pub(crate) fn set_addr(&self, addr: SocketAddr) {
        if self.addr.replace(addr) != addr {
            self.addr_changed.notify(usize::MAX);
        }
    }

    /// Returns the number of the last event received.
    pub(crate) fn last_event(&self) -> u64 {
        self.last_event.get()
    }

    /// Watches forever, calling `on_update` once for each update, in order.
    pub(crate) async fn run(&self, on_update: impl Fn(EndpointListUpdate)) {
        loop {
            let addr_changed = self.addr_changed.listen();
            let addr = self.addr.get();
            let started = Instant::now();
            self.frames.set(0);
            let error = future::or(self.watch_until_error(addr, &on_update), async {
                addr_changed.await;
                WatchError::AddressChanged
            })
            .await;
            tracing::debug!(
                %addr,
                last_event = self.last_event.get(),
                frames = self.frames.get(),
                age_ms = started.elapsed().as_millis(),
                %error,
                "coordinator disconnected"
            );
            if !matches!(error, WatchError::AddressChanged) {
                self.back_off(addr).await;
            }
        }
    }

    /// Waits before the next connection, but no longer than until the address changes.
    async fn back_off(&self, addr: SocketAddr) {
        let backoff = *self.backoff.borrow();
        *self.backoff.borrow_mut() = (backoff * 2).min(MAX_BACKOFF);
        let addr_changed = self.addr_changed.listen();
        if self.addr.get() == addr {
            future::or(addr_changed, async { _ = Timer::after(backoff).await }).await;
        }
    }

    async fn watch_until_error(
        &self,
        addr: SocketAddr,
        on_update: &impl Fn(EndpointListUpdate),
    ) -> WatchError {
        match self.watch(addr, on_update).await {
            Ok(never) => match never {},
            Err(error) => error,
        }
    }

    async fn watch(
        &self,
        addr: SocketAddr,
        on_update: &impl Fn(EndpointListUpdate),
    ) -> Result<std::convert::Infallible, WatchError> {
        let mut stream = with_timeout(
            CONNECT_TIMEOUT,
            WatchError::ConnectTimedOut,
            Async::<TcpStream>::connect(addr),
        )
        .await?;
        let _ = stream.get_ref().set_nodelay(true);
        let last_event = self.last_event.get().to_be_bytes();
        with_timeout(
            CONNECT_TIMEOUT,
            WatchError::ConnectTimedOut,
            stream.write_all(&last_event),
        )
        .await?;
        let mut decoder = FrameDecoder::new(self.last_event.get());
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        let mut last_frame_at = Instant::now();
        loop {
            let left = KEEP_ALIVE_TIMEOUT.saturating_sub(last_frame_at.elapsed());
            let n = with_timeout(left, WatchError::FrameTimedOut, stream.read(&mut buffer)).await?;
            if n == 0 {
                return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
            }
            decoder.feed(&buffer[..n]);
            while let Some(frame) = decoder.next_frame()? {
                *self.backoff.borrow_mut() = MIN_BACKOFF;
                last_frame_at = Instant::now();
                self.frames.set(self.frames.get() + 1);
                if let Frame::Update(update) = frame {
                    self.last_event.set(update.number);
                    on_update(update);
                }
            }
        }
    }
}

async fn with_timeout<T>(
    timeout: Duration,
    timeout_error: WatchError,
    work: impl Future<Output = io::Result<T>>,
) -> Result<T, WatchError> {
    let work = async { work.await.map_err(WatchError::Io) };
    future::or(work, async {
        Timer::after(timeout).await;
        Err(timeout_error)
    })
    .await
}
