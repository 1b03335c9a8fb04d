//! Owns the connections to engines. A connection carries one request at a time: an answer that is spoilt, cut or lost
//! makes its connection useless, and so takes nothing else with it. They are kept open and used again.
//!
//! What is told of an attempt is what is sure: it never ran where not one byte of it was written, or the engine says
//! so; else it may have run.
//!
//! A connection may take long to come about. Whether an attempt may begin is looked at right before its first byte, by
//! the list, the clock and the client as they are then.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use hoptiller_platform_protocol::engine_response::{LineError, ServedResult};
use hoptiller_platform_protocol::{
    Endpoint, LineDecoder, Phase, ResponseBody, RowAssembler, engine_command,
};
use hoptiller_policy::{EngineId, LoadReport};

use crate::attempt::{Failed, NotBegun, Order, Whole};
use crate::cancel::CancelToken;
use crate::retries::Retries;

/// Ids that a connection has carried at most: it never carries one twice, as a late or second answer to the first time
/// would be taken for one to the second.
const CARRIED: usize = 256;
/// Bytes that one request may make a connection bring. A result and its copy are far less.
const READ: usize = 512 << 10;
/// Bytes that may have come over a connection while it was idle.
const READ_IDLE: usize = 64 << 10;

/// What the list says of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listing {
    addr: SocketAddr,
    /// Its start as told: another one is another process.
    started_ms: u64,
    phase: Phase,
}

impl Listing {
    fn of(m: &Endpoint) -> Listing {
        Listing {
            addr: m.addr,
            started_ms: m.started_ms,
            phase: m.phase,
        }
    }

    fn is_gone(&self) -> bool {
        self.phase == Phase::Removed
    }

    fn is_same_process(&self, other: &Listing) -> bool {
        (self.addr, self.started_ms) == (other.addr, other.started_ms)
    }
}

/// An engine.
struct Target {
    listing: Listing,
    /// Attempts and probes under way.
    used: usize,
    /// Idle connections, the one used last at the end.
    idle: Vec<Link>,
}

/// A connection.
struct Link {
    stream: Async<TcpStream>,
    lines: LineDecoder,
    since: Instant,
    /// The process it leads to.
    listing: Listing,
    /// The requests that it carried; a late or second answer to each may still come.
    carried: Vec<u64>,
    /// Bytes that the present request made it bring.
    read: usize,
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
    retries: Rc<Retries>,
}

impl Links {
    /// To nobody yet.
    pub fn new(manner: Manner, retries: Rc<Retries>) -> Links {
        let (targets, open, held) = Default::default();
        Links {
            manner,
            targets,
            open,
            held,
            freed: Event::new(),
            probes: Cell::new(0),
            retries,
        }
    }

    /// News of an engine. By its id, not its address: another one may get that.
    pub fn told(&self, m: &Endpoint) {
        let mut targets = self.targets.borrow_mut();
        let (id, listing) = (EngineId(m.id), Listing::of(m));
        let fresh = || Target {
            listing,
            used: 0,
            idle: Vec::new(),
        };
        let target = targets.entry(id).or_insert_with(fresh);
        if !target.listing.is_same_process(&listing) || listing.is_gone() {
            target.idle.clear();
        }
        target.listing = listing;
        if listing.is_gone() && target.used == 0 {
            targets.remove(&id);
        }
    }

    /// Engines that were listed before and are not on a whole list have gone.
    pub fn keep_only(&self, listed: &[Endpoint]) {
        self.targets.borrow_mut().retain(|id, t| {
            if !listed.iter().any(|m| m.id == id.0) {
                t.listing.phase = Phase::Removed;
                t.idle.clear();
            }
            !t.listing.is_gone() || t.used > 0
        });
    }

    /// What the list says of an engine; `None`: it has gone, or was never there.
    pub fn listing(&self, engine: EngineId) -> Option<Listing> {
        self.targets
            .borrow()
            .get(&engine)
            .map(|t| t.listing)
            .filter(|l| !l.is_gone())
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

    /// Sends a request and gathers its result, until it is taken back.
    pub async fn attempt(&self, engine: EngineId, order: &Order<'_>) -> Result<Whole, Failed> {
        let _use = self.enter(engine).ok_or(Failed::NoEngine)?;
        let over = |begun, not_begun| match order.token.has_begun() {
            true => Err(begun),
            false => Err(Failed::NotBegun(not_begun)),
        };
        let late = async {
            Timer::at(order.until).await;
            over(Failed::Late, NotBegun::Late)
        };
        let cancelled = async {
            order.token.cancelled().await;
            over(Failed::Withdrawn, NotBegun::Cancelled)
        };
        // A connection that is dropped here with its request open is closed: that gives the request up.
        future::or(self.exchange(engine, order), future::or(late, cancelled)).await
    }

    async fn exchange(&self, engine: EngineId, order: &Order<'_>) -> Result<Whole, Failed> {
        let key = key_of(order.send.id);
        let mut link = loop {
            let (mut link, used_before) = self.link(engine, Some(key)).await?;
            match self.send(engine, order, &mut link).await {
                Ok(()) => break link,
                // An idle one that the engine had closed: nothing was sent, and there are others.
                Err(Failed::Unsent(_)) if used_before => {}
                // The connection is good, and paid for.
                Err(Failed::NotBegun(why)) => {
                    return self.refused(engine, link, Failed::NotBegun(why));
                }
                Err(why) => return Err(why),
            }
        };
        link.carried.push(key);
        let served = loop {
            match link.answer(order.send.id).await? {
                ResponseBody::Served(served) => break served,
                ResponseBody::Overloaded => return self.refused(engine, link, Failed::Full),
                ResponseBody::Crashed => return self.refused(engine, link, Failed::Error),
                ResponseBody::NotExecuted => return self.refused(engine, link, Failed::Nobody),
                ResponseBody::Page { .. } | ResponseBody::Load(_) => {}
            }
        };
        let (work, report) = (served.work, served.load_report);
        let rows = match self.gather(&mut link, order, served).await {
            Err(Failed::Abandoned) => return self.refused(engine, link, Failed::Abandoned),
            rows => rows?,
        };
        self.give_back(engine, link);
        Ok(Whole { rows, work, report })
    }

    /// Writes a request. Its first byte goes out at a moment at which nothing speaks against it; how long its answer is
    /// waited for is told as of then.
    async fn send(
        &self,
        engine: EngineId,
        order: &Order<'_>,
        link: &mut Link,
    ) -> Result<(), Failed> {
        let (line, written) = loop {
            self.may_begin(engine, order).map_err(Failed::NotBegun)?;
            let wait_ms = order
                .until
                .saturating_duration_since(Instant::now())
                .as_millis()
                .max(1) as u64;
            let line = engine_command::encode_statement(&order.send, wait_ms);
            match io::Write::write(&mut link.stream.get_ref(), line.as_bytes()) {
                Ok(0) => return Err(Failed::Unsent(io::ErrorKind::WriteZero.into())),
                Ok(n) => break (line, n),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    link.stream.writable().await.map_err(Failed::Unsent)?;
                }
                Err(e) => return Err(Failed::Unsent(e)),
            }
        };
        order.token.begin();
        if order.further {
            self.retries.begun(Instant::now());
        }
        link.stream
            .write_all(&line.as_bytes()[written..])
            .await
            .map_err(Failed::Broken)
    }

    /// Whether an attempt may begin now. Danger: between the decision and a connection lies time, in which clients
    /// leave, engines drain or give their address to another, and windows pass.
    fn may_begin(&self, engine: EngineId, order: &Order<'_>) -> Result<(), NotBegun> {
        let now = Instant::now();
        if order.token.is_cancelled() {
            Err(NotBegun::Cancelled)
        } else if now >= order.until {
            Err(NotBegun::Late)
        } else if order.send_by.is_some_and(|by| now >= by) {
            Err(NotBegun::WindowPassed)
        } else if order.further && !self.retries.may_begin(now) {
            Err(NotBegun::Budget)
        } else if self.listing(engine) != Some(order.listing) {
            Err(NotBegun::Relisted)
        } else {
            Ok(())
        }
    }

    fn refused<T>(&self, engine: EngineId, link: Link, why: Failed) -> Result<T, Failed> {
        self.give_back(engine, link);
        Err(why)
    }

    /// Fetches the further pages, all at once, while there is room for them.
    async fn gather(
        &self,
        link: &mut Link,
        order: &Order<'_>,
        served: ServedResult,
    ) -> Result<String, Failed> {
        let id = order.send.id;
        let mut gather = RowAssembler::new(served.pages);
        gather
            .add_page(0, served.first_page)
            .map_err(Failed::Rows)?;
        if served.pages > 1 {
            let bytes = served.pages as u64
                * hoptiller_platform_protocol::result_rows::MAX_PAGE_BYTES as u64;
            let Some(_share) = self.room(bytes, order.token).await else {
                link.stream
                    .write_all(engine_command::encode_end(id).as_bytes())
                    .await
                    .map_err(Failed::Broken)?;
                return Err(Failed::Abandoned);
            };
            let lines: String = (1..served.pages)
                .map(|page| engine_command::encode_fetch(id, page))
                .collect();
            link.stream
                .write_all(lines.as_bytes())
                .await
                .map_err(Failed::Broken)?;
            while !gather.is_complete() {
                match link.answer(id).await? {
                    ResponseBody::Page { number, bytes } => {
                        gather.add_page(number, bytes).map_err(Failed::Rows)?
                    }
                    ResponseBody::Crashed => return Err(Failed::Error),
                    // A second copy of what was had.
                    _ => {}
                }
            }
        }
        gather.to_json().map_err(Failed::Rows)
    }

    /// Waits for room for a result; `None` once nobody waits for that.
    async fn room(&self, bytes: u64, token: &CancelToken) -> Option<Share> {
        loop {
            if token.is_abandoned() {
                return None;
            }
            let freed = self.freed.listen();
            let held = self.held.get();
            if held == 0 || held + bytes <= self.manner.held {
                self.held.set(held + bytes);
                return Some(Share {
                    held: self.held.clone(),
                    bytes,
                });
            }
            future::or(freed, async {
                _ = Timer::after(Duration::from_millis(20)).await
            })
            .await;
        }
    }

    /// Asks an engine for its load.
    pub async fn probe(&self, engine: EngineId) -> Option<LoadReport> {
        let _use = self.enter(engine)?;
        self.probes.set(self.probes.get() + 1);
        let tag = format!("load-{}", self.probes.get());
        let work = async {
            let (mut link, _) = self.link(engine, None).await.ok()?;
            link.stream
                .write_all(engine_command::encode_stat(&tag).as_bytes())
                .await
                .ok()?;
            loop {
                if let ResponseBody::Load(report) = link.answer(&tag).await.ok()? {
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
        self.targets
            .borrow_mut()
            .get_mut(&engine)
            .filter(|t| !t.listing.is_gone())?
            .used += 1;
        Some(Use {
            links: self,
            engine,
        })
    }

    /// A connection to an engine that has not carried this request, and whether it was used before.
    async fn link(&self, engine: EngineId, key: Option<u64>) -> Result<(Link, bool), Failed> {
        loop {
            let Some(mut link) = self.take_idle(engine, key) else {
                break;
            };
            if link.is_sound() {
                return Ok((link, true));
            }
        }
        let listing = self.listing(engine).ok_or(Failed::NoEngine)?;
        let addr = listing.addr;
        let until = Instant::now() + self.manner.connect_within;
        let place = self.place(until).await.ok_or(Failed::NoDescriptor)?;
        let connect = Async::<TcpStream>::connect(addr);
        let stream = future::or(connect, async {
            Timer::at(until).await;
            Err(io::ErrorKind::TimedOut.into())
        });
        let stream = stream.await.map_err(Failed::Connect)?;
        let _ = stream.get_ref().set_nodelay(true);
        let (lines, since) = (LineDecoder::default(), Instant::now());
        let (carried, read) = (Vec::new(), 0);
        Ok((
            Link {
                stream,
                lines,
                since,
                listing,
                carried,
                read,
                _place: place,
            },
            false,
        ))
    }

    /// Danger: a late answer to an earlier attempt of the same request must not be taken for this one's.
    fn take_idle(&self, engine: EngineId, key: Option<u64>) -> Option<Link> {
        let mut targets = self.targets.borrow_mut();
        let idle = &mut targets.get_mut(&engine)?.idle;
        let at = idle
            .iter()
            .rposition(|l| key.is_none_or(|key| !l.carried.contains(&key)))?;
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
        let oldest = targets
            .values_mut()
            .filter(|t| !t.idle.is_empty())
            .min_by_key(|t| t.idle[0].since);
        if let Some(t) = oldest {
            t.idle.remove(0);
        }
    }

    fn give_back(&self, engine: EngineId, mut link: Link) {
        link.lines.release_empty_buffer();
        (link.since, link.read) = (Instant::now(), 0);
        if let Some(t) = self.targets.borrow_mut().get_mut(&engine)
            && !t.listing.is_gone()
            && t.listing.is_same_process(&link.listing)
            && link.carried.len() < CARRIED
        {
            t.idle.push(link);
        }
        // Danger: to wake one at a time would lose a wake-up where two are given back before the first has run.
        self.freed.notify(usize::MAX);
    }
}

impl Link {
    /// The next answer to this request; others are passed over, up to a bound.
    async fn answer(&mut self, id: &str) -> Result<ResponseBody, Failed> {
        loop {
            while let Some(answer) = self.lines.next_response().map_err(Failed::Line)? {
                if answer.id == id {
                    return Ok(answer.body);
                }
            }
            let mut bytes = [0; 4096];
            match self.stream.read(&mut bytes).await {
                Ok(0) => return Err(Failed::Broken(io::ErrorKind::UnexpectedEof.into())),
                // Danger: an engine that sends without end would keep the thread from all others.
                Ok(n) if self.read + n > READ => return Err(Failed::Line(LineError::TooLong)),
                Ok(n) => {
                    self.read += n;
                    self.lines.feed(&bytes[..n]);
                }
                Err(e) => return Err(Failed::Broken(e)),
            }
        }
    }

    /// Whether it can carry a request: it is open, and what came meanwhile can be passed over.
    fn is_sound(&mut self) -> bool {
        let (mut bytes, mut read) = ([0; 4096], 0);
        loop {
            match io::Read::read(&mut self.stream.get_ref(), &mut bytes) {
                Ok(0) => return false,
                Ok(n) if read + n > READ_IDLE => return false,
                Ok(n) => {
                    read += n;
                    self.lines.feed(&bytes[..n]);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(_) => return false,
            }
            while let Ok(Some(_)) = self.lines.next_response() {}
        }
        // Half a line may be the start of noise.
        self.lines.next_response().is_ok() && !self.lines.has_pending_bytes()
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
            if t.listing.is_gone() && t.used == 0 {
                targets.remove(&self.engine);
            }
        }
        drop(targets);
        self.links.freed.notify(usize::MAX);
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

/// An id as connections remember it.
fn key_of(id: &str) -> u64 {
    u64::from_str_radix(id, 16).unwrap_or_else(|_| hoptiller_router_core::group_of(id))
}
