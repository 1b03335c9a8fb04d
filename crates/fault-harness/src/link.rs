//! Owns one link between two processes: a proxy that carries bytes both ways, and fails as told.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use hoptiller_mock_servers::ServerThread;

/// How one way of a link fails.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Way {
    /// Nothing passes; what was sent meanwhile passes once the link is whole again, as with a network that sends again.
    pub cut: bool,
    /// So long on its way.
    pub delay: Duration,
    /// So many bytes of each connection pass, then nothing.
    pub most: Option<u64>,
}

/// How a link fails.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// From the one that connects.
    pub there: Way,
    /// To it.
    pub back: Way,
    /// New connections are closed at once.
    pub refuse: bool,
    /// Counted up: what is open is closed.
    pub resets: u64,
}

impl Faults {
    /// Nothing passes, either way.
    pub fn cut() -> Faults {
        let way = Way {
            cut: true,
            ..Way::default()
        };
        Faults {
            there: way,
            back: way,
            ..Faults::default()
        }
    }
}

#[derive(Default)]
struct Shared {
    faults: Faults,
    target: Option<SocketAddr>,
    /// Bytes that have passed, both ways.
    carried: u64,
}

/// A link.
pub struct Link {
    shared: Arc<Mutex<Shared>>,
    running: ServerThread,
}

/// How often a way that is cut looks whether it is whole again.
const LOOK: Duration = Duration::from_millis(5);

impl Link {
    /// A link to nowhere yet.
    pub fn new(name: &str) -> io::Result<Link> {
        let shared: Arc<Mutex<Shared>> = Arc::default();
        let own = shared.clone();
        let running = ServerThread::spawn(name, move |spawner| {
            let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
            let addr = listener.get_ref().local_addr()?;
            let ex = spawner.clone();
            spawner.spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let shared = own.clone();
                    ex.spawn(async move {
                        let _ = carry(stream, &shared).await;
                    });
                }
            });
            Ok(addr)
        })?;
        Ok(Link { shared, running })
    }

    /// Where one connects to go over it.
    pub fn addr(&self) -> SocketAddr {
        self.running.addr
    }

    /// Where it leads from now on.
    pub fn lead_to(&self, target: SocketAddr) {
        if let Ok(mut shared) = self.shared.lock() {
            shared.target = Some(target);
        }
    }

    /// Bytes that have passed so far, both ways.
    pub fn carried(&self) -> u64 {
        self.shared.lock().map(|s| s.carried).unwrap_or_default()
    }

    /// How it fails from now on. Resets are not taken back.
    pub fn fail(&self, faults: Faults) {
        if let Ok(mut shared) = self.shared.lock() {
            let resets = shared.faults.resets;
            shared.faults = Faults { resets, ..faults };
        }
    }

    /// Closes what is open.
    pub fn reset(&self) {
        if let Ok(mut shared) = self.shared.lock() {
            shared.faults.resets += 1;
        }
    }
}

fn now(shared: &Mutex<Shared>) -> (Faults, Option<SocketAddr>) {
    shared
        .lock()
        .map(|s| (s.faults, s.target))
        .unwrap_or_default()
}

async fn carry(from: Async<TcpStream>, shared: &Mutex<Shared>) -> io::Result<()> {
    let (faults, target) = now(shared);
    let Some(target) = target.filter(|_| !faults.refuse) else {
        return Ok(());
    };
    let to = Async::<TcpStream>::connect(target).await?;
    let resets = faults.resets;
    let reset = async {
        while now(shared).0.resets == resets {
            Timer::after(LOOK).await;
        }
        Ok(())
    };
    let there = pump(&from, &to, shared, |f| f.there);
    let back = pump(&to, &from, shared, |f| f.back);
    // Either end that closes ends both ways: HTTP needs no half-closed connections here.
    future::or(reset, future::or(there, back)).await
}

async fn pump(
    mut from: &Async<TcpStream>,
    mut to: &Async<TcpStream>,
    shared: &Mutex<Shared>,
    way: impl Fn(&Faults) -> Way,
) -> io::Result<()> {
    let mut buffer = vec![0; 16 << 10];
    let mut passed = 0u64;
    loop {
        let n = from.read(&mut buffer).await?;
        let delay = way(&now(shared).0).delay;
        if !delay.is_zero() {
            Timer::after(delay).await;
        }
        let mut bytes = &buffer[..n];
        loop {
            let way = way(&now(shared).0);
            let room = way
                .most
                .map_or(u64::MAX, |most| most.saturating_sub(passed));
            if !way.cut && (room > 0 || n == 0) {
                let part = bytes.len().min(room.try_into().unwrap_or(usize::MAX));
                if n == 0 {
                    return Ok(());
                }
                to.write_all(&bytes[..part]).await?;
                passed += part as u64;
                if let Ok(mut shared) = shared.lock() {
                    shared.carried += part as u64;
                }
                bytes = &bytes[part..];
                if bytes.is_empty() {
                    break;
                }
            }
            Timer::after(LOOK).await;
        }
    }
}

#[cfg(test)]
mod tests;
