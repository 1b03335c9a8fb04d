//! Owns the connections to engines. A connection carries one request at a time: an answer that is spoilt, cut or lost
//! makes its connection useless, and so takes nothing else with it. They are kept open and used again.
//!
//! What is told of an attempt is what is sure: it never ran where not one byte of it was written, or the engine says
//! so; else it may have run.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::{AsyncReadExt, AsyncWrite, AsyncWriteExt, future};
use hoptiller::{EngineId, LoadReport};
use hoptiller_platform::engine::{self, Served};
use hoptiller_platform::{Gather, Lines, Member, Phase, Said};

use crate::attempt::{Failed, Order, Whole};

/// An engine.
struct Target {
    addr: SocketAddr,
    /// Its start as told: another one is another process.
    started_ms: u64,
    gone: bool,
    /// Attempts and probes under way.
    used: usize,
    /// Idle connections, the one used last at the end.
    idle: Vec<Link>,
}

/// A connection.
struct Link {
    stream: Async<TcpStream>,
    lines: Lines,
    since: Instant,
    /// The request it carried last: a late or second answer to that one may still come.
    carried: String,
    _place: Place,
}

/// One of the descriptors for engines; given back when dropped.
struct Place(Rc<Cell<usize>>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Times and bounds.
#[derive(Clone, Copy, Debug)]
pub struct Manner {
    /// A connection that is not up by then has not come about.
    pub connect_within: Duration,
    /// Idle connections are closed after this time, before engines do.
    pub idle: Duration,
    /// A probe's time-out.
    pub probe_within: Duration,
    /// Connections at once.
    pub most: usize,
    /// Bytes of results that are being gathered, all together.
    pub held: u64,
}

/// The connections to all engines.
pub struct Links {
    manner: Manner,
    targets: RefCell<HashMap<EngineId, Target>>,
    open: Rc<Cell<usize>>,
    held: Rc<Cell<u64>>,
    freed: Event,
    probes: Cell<u64>,
}

impl Links {
    /// To nobody yet.
    pub fn new(manner: Manner) -> Links {
        let (targets, open, held) = Default::default();
        Links { manner, targets, open, held, freed: Event::new(), probes: Cell::new(0) }
    }

    /// News of an engine. By its id, not its address: another one may get that.
    pub fn told(&self, m: &Member) {
        let mut targets = self.targets.borrow_mut();
        let id = EngineId(m.id);
        let (addr, started_ms, gone) = (m.addr, m.started_ms, m.phase == Phase::Gone);
        let fresh = || Target { addr, started_ms, gone, used: 0, idle: Vec::new() };
        let target = targets.entry(id).or_insert_with(fresh);
        if target.addr != addr || target.started_ms != started_ms || gone {
            target.idle.clear();
        }
        (target.addr, target.started_ms, target.gone) = (addr, started_ms, gone);
        if gone && target.used == 0 {
            targets.remove(&id);
        }
    }

    /// Engines that were listed before and are not on a whole list have gone.
    pub fn keep_only(&self, listed: &[Member]) {
        self.targets.borrow_mut().retain(|id, t| {
            t.gone |= !listed.iter().any(|m| m.id == id.0);
            if t.gone {
                t.idle.clear();
            }
            !t.gone || t.used > 0
        });
    }

    /// Connections open, and engines known.
    pub fn sizes(&self) -> (usize, usize) {
        (self.open.get(), self.targets.borrow().len())
    }

    /// Closes what has been idle for long.
    pub fn tidy(&self) {
        let old = self.manner.idle;
        for t in self.targets.borrow_mut().values_mut() {
            t.idle.retain(|l| l.since.elapsed() < old);
        }
        self.freed.notify(usize::MAX);
    }

    /// Sends a request and gathers its result. `stop` ends the wait.
    pub async fn attempt(&self, engine: EngineId, order: &Order<'_>, stop: &Event) -> Result<Whole, Failed> {
        let _use = self.enter(engine).ok_or(Failed::NoEngine)?;
        let stopped = stop.listen();
        let work = self.exchange(engine, order);
        let late = async {
            Timer::after(order.wait).await;
            Err(Failed::Late)
        };
        let withdrawn = async {
            stopped.await;
            Err(Failed::Withdrawn)
        };
        // A connection that is dropped here with its request open is closed: that gives the request up.
        future::or(work, future::or(late, withdrawn)).await
    }

    async fn exchange(&self, engine: EngineId, order: &Order<'_>) -> Result<Whole, Failed> {
        let wait_ms = order.wait.as_millis().max(1) as u64;
        let line = engine::request(order.id, order.class, wait_ms, order.priority, order.text);
        let mut link = loop {
            let (mut link, used_before) = self.link(engine, order.id).await?;
            match write(&mut link.stream, line.as_bytes()).await {
                Ok(()) => break link,
                // An idle one that the engine had closed: nothing was sent, and there are others.
                Err((0, _)) if used_before => {}
                Err((0, e)) => return Err(Failed::Unsent(e)),
                Err((_, e)) => return Err(Failed::Broken(e)),
            }
        };
        link.carried = order.id.to_owned();
        let served = loop {
            match link.answer(order.id).await? {
                Said::Served(served) => break served,
                Said::Full => return self.refused(engine, link, Failed::Full),
                Said::Error => return self.refused(engine, link, Failed::Error),
                Said::Nobody => return self.refused(engine, link, Failed::Nobody),
                Said::Rows(..) | Said::Probed(_) => {}
            }
        };
        let (work, report) = (served.work, served.report);
        let rows = self.gather(&mut link, order.id, served).await?;
        self.give_back(engine, link);
        Ok(Whole { rows, work, report })
    }

    fn refused<T>(&self, engine: EngineId, link: Link, why: Failed) -> Result<T, Failed> {
        self.give_back(engine, link);
        Err(why)
    }

    /// Fetches the further pages, all at once, while there is room for them.
    async fn gather(&self, link: &mut Link, id: &str, served: Served) -> Result<String, Failed> {
        let mut gather = Gather::new(served.pages);
        gather.take(0, served.page).map_err(Failed::Rows)?;
        if served.pages > 1 {
            let _share = self.room(served.pages as u64 * hoptiller_platform::rows::PAGE as u64).await;
            let lines: String = (1..served.pages).map(|page| engine::fetch(id, page)).collect();
            write(&mut link.stream, lines.as_bytes()).await.map_err(|(_, e)| Failed::Broken(e))?;
            while !gather.is_whole() {
                match link.answer(id).await? {
                    Said::Rows(number, page) => gather.take(number, page).map_err(Failed::Rows)?,
                    Said::Error => return Err(Failed::Error),
                    // A second copy of what was had.
                    _ => {}
                }
            }
        }
        gather.json().map_err(Failed::Rows)
    }

    /// Waits for room for a result.
    async fn room(&self, bytes: u64) -> Share {
        loop {
            let freed = self.freed.listen();
            let held = self.held.get();
            if held == 0 || held + bytes <= self.manner.held {
                self.held.set(held + bytes);
                return Share { held: self.held.clone(), bytes };
            }
            future::or(freed, async { _ = Timer::after(Duration::from_millis(20)).await }).await;
        }
    }

    /// Asks an engine for its load.
    pub async fn probe(&self, engine: EngineId) -> Option<LoadReport> {
        let _use = self.enter(engine)?;
        self.probes.set(self.probes.get() + 1);
        let tag = format!("load-{}", self.probes.get());
        let work = async {
            let (mut link, _) = self.link(engine, &tag).await.ok()?;
            write(&mut link.stream, engine::stat(&tag).as_bytes()).await.ok()?;
            loop {
                if let Said::Probed(report) = link.answer(&tag).await.ok()? {
                    self.give_back(engine, link);
                    return report;
                }
            }
        };
        future::or(work, async {
            Timer::after(self.manner.probe_within).await;
            None
        })
        .await
    }

    fn enter(&self, engine: EngineId) -> Option<Use<'_>> {
        self.targets.borrow_mut().get_mut(&engine)?.used += 1;
        Some(Use { links: self, engine })
    }

    /// A connection to an engine, and whether it was used before.
    async fn link(&self, engine: EngineId, id: &str) -> Result<(Link, bool), Failed> {
        loop {
            let Some(mut link) = self.take_idle(engine, id) else { break };
            if link.is_sound() {
                return Ok((link, true));
            }
        }
        let addr = self.targets.borrow().get(&engine).map(|t| t.addr).ok_or(Failed::NoEngine)?;
        let until = Instant::now() + self.manner.connect_within;
        let place = self.place(until).await.ok_or(Failed::NoDescriptor)?;
        let connect = Async::<TcpStream>::connect(addr);
        let stream = future::or(connect, async {
            Timer::at(until).await;
            Err(io::ErrorKind::TimedOut.into())
        });
        let stream = stream.await.map_err(Failed::Connect)?;
        let _ = stream.get_ref().set_nodelay(true);
        let (lines, since) = (Lines::default(), Instant::now());
        Ok((Link { stream, lines, since, carried: String::new(), _place: place }, false))
    }

    /// Danger: a late answer to an earlier attempt of the same request must not be taken for this one's.
    fn take_idle(&self, engine: EngineId, id: &str) -> Option<Link> {
        let mut targets = self.targets.borrow_mut();
        let idle = &mut targets.get_mut(&engine)?.idle;
        let at = idle.iter().rposition(|l| l.carried != id)?;
        Some(idle.remove(at))
    }

    /// A descriptor: a free one, or that of the connection which was idle longest.
    async fn place(&self, until: Instant) -> Option<Place> {
        loop {
            let freed = self.freed.listen();
            if self.open.get() >= self.manner.most {
                self.close_oldest();
            }
            if self.open.get() < self.manner.most {
                self.open.set(self.open.get() + 1);
                return Some(Place(self.open.clone()));
            }
            let in_time = future::or(
                async {
                    freed.await;
                    true
                },
                async {
                    Timer::at(until).await;
                    false
                },
            );
            if !in_time.await {
                return None;
            }
        }
    }

    fn close_oldest(&self) {
        let mut targets = self.targets.borrow_mut();
        let oldest = targets.values_mut().filter(|t| !t.idle.is_empty()).min_by_key(|t| t.idle[0].since);
        if let Some(t) = oldest {
            t.idle.remove(0);
        }
    }

    fn give_back(&self, engine: EngineId, mut link: Link) {
        link.lines.shrink();
        link.since = Instant::now();
        if let Some(t) = self.targets.borrow_mut().get_mut(&engine).filter(|t| !t.gone)
            && link.stream.get_ref().peer_addr().is_ok_and(|peer| peer == t.addr)
        {
            t.idle.push(link);
        }
        self.freed.notify(1);
    }
}

impl Link {
    /// The next answer to this request; others are passed over.
    async fn answer(&mut self, id: &str) -> Result<Said, Failed> {
        loop {
            while let Some(answer) = self.lines.next().map_err(Failed::Line)? {
                if answer.id == id {
                    return Ok(answer.said);
                }
            }
            let mut bytes = [0; 4096];
            match self.stream.read(&mut bytes).await {
                Ok(0) => return Err(Failed::Broken(io::ErrorKind::UnexpectedEof.into())),
                Ok(n) => self.lines.feed(&bytes[..n]),
                Err(e) => return Err(Failed::Broken(e)),
            }
        }
    }

    /// Whether it can carry a request: it is open, and what came meanwhile can be passed over.
    fn is_sound(&mut self) -> bool {
        let mut bytes = [0; 4096];
        loop {
            match io::Read::read(&mut self.stream.get_ref(), &mut bytes) {
                Ok(0) => return false,
                Ok(n) => self.lines.feed(&bytes[..n]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(_) => return false,
            }
            while let Ok(Some(_)) = self.lines.next() {}
        }
        // Half a line may be the start of noise.
        self.lines.next().is_ok() && !self.lines.holds()
    }
}

/// An engine's entry stays while it is used.
struct Use<'a> {
    links: &'a Links,
    engine: EngineId,
}

impl Drop for Use<'_> {
    fn drop(&mut self) {
        let mut targets = self.links.targets.borrow_mut();
        if let Some(t) = targets.get_mut(&self.engine) {
            t.used -= 1;
            if t.gone && t.used == 0 {
                targets.remove(&self.engine);
            }
        }
        drop(targets);
        self.links.freed.notify(1);
    }
}

/// Room for a result; given back when dropped.
struct Share {
    held: Rc<Cell<u64>>,
    bytes: u64,
}

impl Drop for Share {
    fn drop(&mut self) {
        self.held.set(self.held.get() - self.bytes);
    }
}

/// Writes all, or tells how much was written before it broke.
async fn write<S: AsyncWrite + Unpin>(s: &mut S, bytes: &[u8]) -> Result<(), (usize, io::Error)> {
    let mut done = 0;
    while done < bytes.len() {
        match s.write(&bytes[done..]).await {
            Ok(0) => return Err((done, io::ErrorKind::WriteZero.into())),
            Ok(n) => done += n,
            Err(e) => return Err((done, e)),
        }
    }
    Ok(())
}
