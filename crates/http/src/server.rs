//! Owns server connections: accepting within a bound, reading requests within limits of size and time, and
//! answering them one after the other.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use futures_lite::{AsyncRead, AsyncWrite, AsyncWriteExt, future};

use crate::codec::{Decoder, Event, Limits, ParseError, Side};
use crate::gate::{Gate, Seat};
use crate::io::{discard, read_into, write_all};
use crate::message::{Request, Response, StartLine};
use crate::spawn::Spawner;
use crate::ticks::Ticks;

/// Pause after an accept that failed.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);
/// Time in which what waits in the kernel is accepted once a server stops.
const EMPTY_WITHIN: Duration = Duration::from_secs(1);
/// A connection that the server closes is read on for so long, and to so many bytes: a close over unread bytes resets
/// it, and takes away what the client has not read yet.
const PARTING: (Duration, u64) = (Duration::from_millis(300), 1 << 20);
/// Bytes that a sender of what is no request may still send.
const LINGER_BYTES: u64 = 256 << 20;

/// What a server does with a connection.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Sizes.
    pub limits: Limits,
    /// Connections at once. One more takes the place of one that has no request open, first of those that never
    /// sent one; while all have, accepting pauses.
    pub connections: usize,
    /// Bytes of contents that are still coming in, of all connections together; one more is answered 503.
    pub incoming: u64,
    /// Time from the first byte of a request to its last.
    pub request_within: Duration,
    /// Time from a connection's start to the first byte of its first request.
    pub first_byte: Duration,
    /// Time that a connection may stand idle between requests.
    pub idle: Duration,
    /// Time that a write may stand without any progress.
    pub stalled: Duration,
    /// Time for which a sender of what is no request is still read from, so that its answer reaches it.
    pub linger: Duration,
    /// A client that closes, also one that closes only its sending side, has left: its handler is dropped. Such a
    /// handler must bear that at any wait. TCP shows both closes alike until something is written, and a client that
    /// waits no longer may have no other way to say so.
    pub watch: bool,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            limits: Limits::default(),
            connections: 32 << 10,
            incoming: 256 << 20,
            request_within: Duration::from_secs(10),
            first_byte: Duration::from_secs(60),
            idle: Duration::from_secs(60),
            stalled: Duration::from_secs(20),
            linger: Duration::from_secs(1),
            watch: false,
        }
    }
}

/// What is done with a request. The last three exist for stand-ins that fail on purpose.
#[derive(Debug)]
pub enum Reply {
    /// Answers.
    Send(Response),
    /// Closes without an answer.
    Close,
    /// Sends only so many bytes of an answer, and closes.
    Cut(Response, usize),
    /// Never answers, and holds the connection.
    Never,
}

impl From<Response> for Reply {
    fn from(r: Response) -> Reply {
        Reply::Send(r)
    }
}

/// A future on this thread.
pub type Local<T> = Pin<Box<dyn Future<Output = T>>>;

/// What answers requests.
pub type Handler = Rc<dyn Fn(Request) -> Local<Reply>>;

/// Accepts until the future is dropped; each connection is a task of its own.
pub async fn serve(
    listener: Async<TcpListener>,
    config: Config,
    handler: Handler,
    spawner: Spawner,
) -> io::Result<()> {
    let gate = Rc::new(Gate::new(config.connections));
    serve_until(listener, config, handler, spawner, &gate, future::pending()).await;
    Ok(())
}

/// The same at a gate of the caller's, through which its connections can be seen and closed, until it is told to stop.
/// What the kernel has accepted by then is served too: a listener that is dropped resets it, requests and all.
pub async fn serve_until(
    listener: Async<TcpListener>,
    config: Config,
    handler: Handler,
    spawner: Spawner,
    gate: &Rc<Gate>,
    stop: impl Future<Output = ()>,
) {
    let server = Server {
        config,
        handler,
        ticks: Ticks::new(&spawner),
        incoming: Rc::new(Cell::new(0u64)),
        spawner,
        gate: gate.clone(),
    };
    future::or(stop, server.accept(&listener)).await;
    server.empty(&listener).await;
}

/// What the connections of one server share.
struct Server {
    config: Config,
    handler: Handler,
    ticks: Ticks,
    incoming: Rc<Cell<u64>>,
    spawner: Spawner,
    gate: Rc<Gate>,
}

impl Server {
    /// Accepts for ever.
    async fn accept(&self, listener: &Async<TcpListener>) {
        loop {
            self.gate.room().await;
            match listener.accept().await {
                Ok((stream, _)) => self.open(stream),
                // Out of descriptors, or the peer has gone again: what is open goes on.
                Err(_) => {
                    self.gate.make_room();
                    Timer::after(ACCEPT_AGAIN).await;
                }
            }
        }
    }

    /// Accepts what the kernel has accepted already, as far as there comes to be room for it in time.
    async fn empty(&self, listener: &Async<TcpListener>) {
        let until = Instant::now() + EMPTY_WITHIN;
        while Instant::now() < until {
            if self.gate.is_full() {
                self.gate.make_room();
                Timer::after(ACCEPT_AGAIN).await;
                continue;
            }
            match listener
                .get_ref()
                .accept()
                .map(|(stream, _)| Async::new(stream))
            {
                Ok(Ok(stream)) => self.open(stream),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Ok(Err(_)) | Err(_) => {
                    self.gate.make_room();
                    Timer::after(ACCEPT_AGAIN).await;
                }
            }
        }
    }

    fn open(&self, stream: Async<TcpStream>) {
        let (seat, config) = (self.gate.enter(), self.config);
        let (handler, ticks, incoming) = (
            self.handler.clone(),
            self.ticks.clone(),
            self.incoming.clone(),
        );
        self.spawner.spawn(async move {
            let _ = stream.get_ref().set_nodelay(true);
            let _ = converse(stream, config, &handler, &ticks, &incoming, &seat).await;
        });
    }
}

/// Binds a listener, with a queue long enough for a crowd that connects at once.
pub fn bind(addr: std::net::SocketAddr) -> io::Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(addr)
}

async fn converse(
    mut s: Async<TcpStream>,
    config: Config,
    handler: &Handler,
    ticks: &Ticks,
    incoming: &Rc<Cell<u64>>,
    seat: &Seat,
) -> io::Result<()> {
    let mut decoder = Decoder::new(Side::Requests, config.limits);
    loop {
        let (request, keep) =
            match next_request(&mut s, &mut decoder, &config, ticks, incoming, seat).await? {
                Ok(Some(next)) => next,
                Ok(None) if seat.is_closing() => return part(s, PARTING.0, PARTING.1, ticks).await,
                Ok(None) => return Ok(()),
                Err(e) => {
                    let answer = Response::text(e.status(), &e.to_string());
                    write_all(&mut s, &answer.encode(true), config.stalled, ticks).await?;
                    return part(s, config.linger, LINGER_BYTES, ticks).await;
                }
            };
        let overrun = Cell::new(false);
        let head_only = request.method == crate::message::Method::Head;
        let reply = match config.watch {
            false => Some(handler(request).await),
            true => {
                let answered = async { Some(handler(request).await) };
                let left = async {
                    gone(&mut s, &mut decoder, config.limits.head, &overrun).await;
                    None
                };
                future::or(answered, left).await
            }
        };
        let Some(reply) = reply else { return Ok(()) };
        match reply {
            Reply::Send(response) => {
                let keep = keep && !overrun.get() && !seat.is_ending();
                let mut bytes = response.encode(!keep);
                if head_only {
                    bytes.truncate(bytes.len() - response.body.len());
                }
                write_all(&mut s, &bytes, config.stalled, ticks).await?;
                if !keep {
                    return part(s, PARTING.0, PARTING.1, ticks).await;
                }
            }
            Reply::Close => return Ok(()),
            Reply::Cut(response, most) => {
                let bytes = response.encode(false);
                return write_all(
                    &mut s,
                    &bytes[..most.min(bytes.len())],
                    config.stalled,
                    ticks,
                )
                .await;
            }
            Reply::Never => return future::pending().await,
        }
    }
}

/// Ends once the peer has closed. What it sends meanwhile is kept for the next request, up to a bound. Past that one it
/// is read and dropped, so that the peer's end is still seen, and its connection has no further request.
async fn gone(s: &mut Async<TcpStream>, decoder: &mut Decoder, most: usize, overrun: &Cell<bool>) {
    let mut kept = 0;
    loop {
        let read = match overrun.get() {
            true => discard(s).await,
            false => read_into(s, decoder).await,
        };
        match read {
            Ok(0) | Err(_) => return,
            Ok(n) => kept += n,
        }
        overrun.set(kept > most);
        // A peer that sends without a pause must not keep the thread from all others.
        future::yield_now().await;
    }
}

/// Closes gently: says that nothing more comes, and reads on within a bound of time and bytes until the client has
/// closed too. A close over unread bytes would reset the connection, and take away an answer that is not read yet.
async fn part(
    mut s: Async<TcpStream>,
    time: Duration,
    bytes: u64,
    ticks: &Ticks,
) -> io::Result<()> {
    // Not `AsyncWriteExt::close`, which only flushes here.
    s.get_ref().shutdown(Shutdown::Write)?;
    let read_on = async {
        let mut left = bytes;
        while left > 0 {
            match discard(&mut s).await? {
                0 => break,
                n => left = left.saturating_sub(n as u64),
            }
            future::yield_now().await;
        }
        Ok(())
    };
    ticks.within(time, read_on).await
}

type Next = Result<Option<(Request, bool)>, ParseError>;

async fn next_request<S: AsyncRead + AsyncWrite + Unpin>(
    s: &mut S,
    decoder: &mut Decoder,
    config: &Config,
    ticks: &Ticks,
    incoming: &Rc<Cell<u64>>,
    seat: &Seat,
) -> io::Result<Next> {
    decoder.shrink();
    let (fresh, told) = (seat.is_fresh(), seat.rest());
    let begun = Cell::new(decoder.inside());
    let read = async {
        let limit = if fresh {
            config.first_byte
        } else {
            config.idle
        };
        if !decoder.inside() && ticks.within(limit, read_into(s, decoder)).await? == 0 {
            return Ok(Some(Ok(None)));
        }
        begun.set(true);
        if !fresh {
            seat.work();
        }
        let share = Share {
            all: incoming.clone(),
            own: 0,
            most: config.incoming,
        };
        ticks
            .within(config.request_within, read_request(s, decoder, share))
            .await
            .map(Some)
    };
    // One that is told to go while a request comes in finishes that one; so does a first one where the server ends, but
    // not where others need its place.
    let next = future::or(read, async {
        told.await;
        if !seat.rests() || (seat.is_closing() && begun.get()) {
            future::pending::<()>().await;
        }
        Ok(None)
    })
    .await?;
    seat.work();
    Ok(next.unwrap_or(Ok(None)))
}

/// One request's part of the contents that are still coming in; given back when it is whole, or ends.
struct Share {
    all: Rc<Cell<u64>>,
    own: u64,
    most: u64,
}

impl Share {
    fn take(&mut self, bytes: u64) -> bool {
        let fits = self.all.get() + bytes <= self.most;
        if fits {
            self.all.set(self.all.get() + bytes);
            self.own += bytes;
        }
        fits
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.all.set(self.all.get() - self.own);
    }
}

async fn read_request<S: AsyncRead + AsyncWrite + Unpin>(
    s: &mut S,
    decoder: &mut Decoder,
    mut share: Share,
) -> io::Result<Next> {
    let mut request: Option<(Request, bool)> = None;
    loop {
        match decoder.next() {
            Err(e) => return Ok(Err(e)),
            Ok(Some(Event::Head(head))) => {
                let keep = head.keeps_alive();
                if head.headers.lists("expect", "100-continue") {
                    s.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
                }
                if let StartLine::Request { method, target } = head.start {
                    request = Some((
                        Request {
                            method,
                            target,
                            headers: head.headers,
                            body: Vec::new(),
                        },
                        keep,
                    ));
                }
            }
            Ok(Some(Event::Body(part))) => {
                if !share.take(part.len() as u64) {
                    return Ok(Err(ParseError::NoRoom));
                }
                if let Some((r, _)) = &mut request {
                    r.body.extend_from_slice(&part);
                }
            }
            Ok(Some(Event::End)) => return Ok(Ok(request)),
            Ok(None) => {
                if read_into(s, decoder).await? == 0 {
                    return Ok(match decoder.finish() {
                        Err(e) => Err(e),
                        Ok(_) => Ok(None),
                    });
                }
            }
        }
    }
}
