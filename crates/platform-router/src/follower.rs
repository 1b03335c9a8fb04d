//! Owns the connection to the coordinator: asks on from the last event that came whole, and connects again at once
//! after whatever goes wrong. While the coordinator is away, the list stands.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use hoptiller_platform_protocol::frame_decoder::{Frame, FrameError};
use hoptiller_platform_protocol::{EndpointListUpdate, FrameDecoder};

/// An empty frame comes each second: without a whole one for so long, it has stopped. Single bytes are no sign of life.
const SILENT: Duration = Duration::from_millis(2_200);
const CONNECT_WITHIN: Duration = Duration::from_millis(1_000);
/// Pauses between tries that fail, from and up to.
const PAUSE: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(400));

/// Why a connection to the coordinator ended.
#[derive(Debug)]
enum Broken {
    Io(io::Error),
    Silent,
    Frame(FrameError),
    Moved,
}

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Broken::Io(e) => write!(f, "{e}"),
            Broken::Silent => write!(f, "it said nothing for {} ms", SILENT.as_millis()),
            Broken::Frame(e) => write!(f, "{e}"),
            Broken::Moved => write!(f, "the configuration names another address"),
        }
    }
}

impl From<io::Error> for Broken {
    fn from(e: io::Error) -> Broken {
        Broken::Io(e)
    }
}

/// Follows the coordinator.
pub struct Follower {
    addr: Cell<SocketAddr>,
    last: Cell<u64>,
    moved: Event,
    pause: RefCell<Duration>,
}

impl Follower {
    /// At that address, from what follows this event.
    pub fn new(addr: SocketAddr, last: u64) -> Follower {
        Follower {
            addr: Cell::new(addr),
            last: Cell::new(last),
            moved: Event::new(),
            pause: RefCell::new(PAUSE.0),
        }
    }

    /// The coordinator is at another address now.
    pub fn move_to(&self, addr: SocketAddr) {
        if self.addr.replace(addr) != addr {
            self.moved.notify(usize::MAX);
        }
    }

    /// Number of the last event that came.
    pub fn last(&self) -> u64 {
        self.last.get()
    }

    /// Follows for ever; each event is told once, in order.
    pub async fn run(&self, told: impl Fn(EndpointListUpdate)) {
        loop {
            let moved = self.moved.listen();
            let addr = self.addr.get();
            let why = future::or(self.connection(addr, &told), async {
                moved.await;
                Broken::Moved
            })
            .await;
            tracing::debug!(%addr, last = self.last.get(), %why, "coordinator: connecting again");
            if !matches!(why, Broken::Moved) {
                let pause = *self.pause.borrow();
                *self.pause.borrow_mut() = (pause * 2).min(PAUSE.1);
                let moved = self.moved.listen();
                if self.addr.get() == addr {
                    future::or(moved, async { _ = Timer::after(pause).await }).await;
                }
            }
        }
    }

    async fn connection(&self, addr: SocketAddr, told: &impl Fn(EndpointListUpdate)) -> Broken {
        match self.follow(addr, told).await {
            Ok(never) => match never {},
            Err(why) => why,
        }
    }

    async fn follow(
        &self,
        addr: SocketAddr,
        told: &impl Fn(EndpointListUpdate),
    ) -> Result<std::convert::Infallible, Broken> {
        let mut stream = limited(CONNECT_WITHIN, Async::<TcpStream>::connect(addr)).await?;
        let _ = stream.get_ref().set_nodelay(true);
        limited(
            CONNECT_WITHIN,
            stream.write_all(&self.last.get().to_be_bytes()),
        )
        .await?;
        let mut frames = FrameDecoder::new(self.last.get());
        let mut bytes = vec![0; 8 << 10];
        let mut heard = Instant::now();
        loop {
            let left = SILENT.saturating_sub(heard.elapsed());
            let n = limited(left, stream.read(&mut bytes)).await?;
            if n == 0 {
                return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
            }
            frames.feed(&bytes[..n]);
            while let Some(frame) = frames.next_frame().map_err(Broken::Frame)? {
                *self.pause.borrow_mut() = PAUSE.0;
                heard = Instant::now();
                if let Frame::Update(update) = frame {
                    self.last.set(update.number);
                    told(update);
                }
            }
        }
    }
}

async fn limited<T>(
    limit: Duration,
    work: impl Future<Output = io::Result<T>>,
) -> Result<T, Broken> {
    let work = async { work.await.map_err(Broken::Io) };
    future::or(work, async {
        Timer::after(limit).await;
        Err(Broken::Silent)
    })
    .await
}
