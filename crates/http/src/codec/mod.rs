//! Owns the bytes of one direction of a connection: fed as they come, it yields events. No I/O, no clock.
//!
//! ```
//! use hoptiller_http::{Decoder, Event, Limits, Side};
//! let mut decoder = Decoder::new(Side::Requests, Limits::default());
//! decoder.feed(b"GET /v1/info HTTP/1.1\r\nHost: a\r\n\r\n");
//! assert!(matches!(decoder.next(), Ok(Some(Event::Head(_)))));
//! assert!(matches!(decoder.next(), Ok(Some(Event::End))));
//! assert!(matches!(decoder.next(), Ok(None)));
//! ```

mod head;

use crate::message::{Head, Method, StartLine, Status};

/// How much of anything is read, so that no peer decides how much memory it takes.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bytes of start line and fields together.
    pub head: usize,
    /// Fields.
    pub fields: usize,
    /// Bytes of the target.
    pub target: usize,
    /// Bytes of the content.
    pub body: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            head: 16 << 10,
            fields: 100,
            target: 4 << 10,
            body: 1 << 20,
        }
    }
}

/// Which messages come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// From a client.
    Requests,
    /// From a server.
    Responses,
}

/// What the bytes say.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A message begins.
    Head(Head),
    /// Part of its content.
    Body(Vec<u8>),
    /// It is over.
    End,
}

/// Bytes that are no message. The decoder takes nothing after one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ParseError {
    /// A start line that is none.
    StartLine(&'static str),
    /// Neither HTTP/1.1 nor HTTP/1.0.
    Version,
    /// A field that is none.
    Field(&'static str),
    /// Lengths that repeat, conflict or are no numbers.
    Length(&'static str),
    /// A transfer coding other than `chunked`.
    Coding,
    /// A chunk that is none.
    Chunk(&'static str),
    /// Start line and fields pass the limit.
    HeadTooLarge,
    /// The target passes the limit.
    TargetTooLong,
    /// The content passes the limit.
    BodyTooLarge,
    /// The peer closed in the middle.
    Cut,
    /// Too much is coming in from all connections together; found by the server.
    NoRoom,
}

impl ParseError {
    /// The status to answer a client with.
    pub fn status(&self) -> u16 {
        match self {
            ParseError::Version => 505,
            ParseError::Coding => 501,
            ParseError::HeadTooLarge => 431,
            ParseError::TargetTooLong => 414,
            ParseError::BodyTooLarge => 413,
            ParseError::NoRoom => 503,
            _ => 400,
        }
    }
}

impl std::fmt::Display for ParseError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ParseError::StartLine(what) => write!(f, "start line: {what}"),
            ParseError::Version => write!(f, "start line: neither HTTP/1.1 nor HTTP/1.0"),
            ParseError::Field(what) => write!(f, "header field: {what}"),
            ParseError::Length(what) => write!(f, "content length: {what}"),
            ParseError::Coding => write!(f, "transfer coding: only chunked is known"),
            ParseError::Chunk(what) => write!(f, "chunk: {what}"),
            ParseError::HeadTooLarge => write!(f, "start line and header fields pass the limit"),
            ParseError::TargetTooLong => write!(f, "the target passes the limit"),
            ParseError::BodyTooLarge => write!(f, "the content passes the limit"),
            ParseError::NoRoom => write!(f, "too much is coming in; come back later"),
            ParseError::Cut => write!(f, "the connection closed in the middle of a message"),
        }
    }
}

impl std::error::Error for ParseError {}

/// Bytes that an idle connection may keep for the next message.
const IDLE: usize = 1 << 10;

/// Longest line of a chunk size with its extensions, and of one trailer field.
const CHUNK_LINE: usize = 256;

#[derive(Debug)]
enum State {
    Head,
    Sized(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailer(usize),
    /// Content up to the end of the connection.
    Rest,
    End,
    Failed(ParseError),
}

/// Turns bytes into [`Event`]s.
#[derive(Debug)]
pub struct Decoder {
    side: Side,
    limits: Limits,
    state: State,
    buf: Vec<u8>,
    /// Bytes of `buf` that are used up, and how far the present line was searched.
    used: usize,
    seen: usize,
    line: usize,
    body: u64,
    no_body: bool,
}

impl Decoder {
    /// A decoder at the start of a connection.
    pub fn new(side: Side, limits: Limits) -> Decoder {
        let (buf, used, seen, line, body) = (Vec::new(), 0, 0, 0, 0);
        Decoder {
            side,
            limits,
            state: State::Head,
            buf,
            used,
            seen,
            line,
            body,
            no_body: false,
        }
    }

    /// The next response answers a `HEAD` request: it has no content whatever its fields say.
    pub fn expect_no_body(&mut self) {
        self.no_body = true;
    }

    /// Takes bytes from the peer.
    pub fn feed(&mut self, bytes: &[u8]) {
        if self.used > 0 {
            self.buf.drain(..self.used);
            self.seen -= self.used;
            self.line -= self.used;
            self.used = 0;
        }
        self.buf.extend_from_slice(bytes);
    }

    /// Whether a message has begun that is not yet over.
    pub fn inside(&self) -> bool {
        !matches!(self.state, State::Head) || self.buf.len() > self.used
    }

    /// Whether bytes are held that no event has used.
    pub fn holds(&self) -> bool {
        self.buf.len() > self.used
    }

    /// Frees what an idle connection need not hold.
    pub fn shrink(&mut self) {
        if !self.inside() {
            (self.used, self.seen, self.line) = (0, 0, 0);
            match self.buf.capacity() > IDLE {
                true => self.buf = Vec::new(),
                false => self.buf.clear(),
            }
        }
    }

    /// The peer has closed its side. An error where that cuts a message.
    pub fn finish(&mut self) -> Result<Option<Event>, ParseError> {
        match self.state {
            State::Rest => {
                self.state = State::Head;
                Ok(Some(Event::End))
            }
            State::Head if self.buf.len() == self.used => Ok(None),
            State::Failed(ref e) => Err(e.clone()),
            _ => self.fail(ParseError::Cut),
        }
    }

    /// The next event; none before more bytes come.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Result<Option<Event>, ParseError> {
        loop {
            match self.state {
                State::Failed(ref e) => return Err(e.clone()),
                State::Head => return self.head(),
                State::End => {
                    self.state = State::Head;
                    self.body = 0;
                    return Ok(Some(Event::End));
                }
                State::Sized(left) => {
                    let Some(part) = self.take(left) else {
                        return Ok(None);
                    };
                    let left = left - part.len() as u64;
                    self.state = if left == 0 {
                        State::End
                    } else {
                        State::Sized(left)
                    };
                    return Ok(Some(Event::Body(part)));
                }
                State::Rest => {
                    let Some(part) = self.take(u64::MAX) else {
                        return Ok(None);
                    };
                    self.body += part.len() as u64;
                    if self.body > self.limits.body {
                        return self.fail(ParseError::BodyTooLarge);
                    }
                    return Ok(Some(Event::Body(part)));
                }
                State::ChunkSize => {
                    let Some(line) =
                        self.line(CHUNK_LINE, ParseError::Chunk("size line too long"))?
                    else {
                        return Ok(None);
                    };
                    match self.chunk_size(line) {
                        Ok(0) => self.state = State::Trailer(0),
                        Ok(size) => {
                            self.body = self.body.saturating_add(size);
                            if self.body > self.limits.body {
                                return self.fail(ParseError::BodyTooLarge);
                            }
                            self.state = State::ChunkData(size);
                        }
                        Err(e) => return self.fail(e),
                    }
                }
                State::ChunkData(left) => {
                    let Some(part) = self.take(left) else {
                        return Ok(None);
                    };
                    let left = left - part.len() as u64;
                    self.state = if left == 0 {
                        State::ChunkEnd
                    } else {
                        State::ChunkData(left)
                    };
                    return Ok(Some(Event::Body(part)));
                }
                State::ChunkEnd => {
                    match self.line(2, ParseError::Chunk("no line break behind its data"))? {
                        None => return Ok(None),
                        Some((from, to)) if from == to => self.state = State::ChunkSize,
                        Some(_) => return self.fail(ParseError::Chunk("longer than its size")),
                    }
                }
                State::Trailer(count) => {
                    match self.line(CHUNK_LINE, ParseError::Chunk("trailer too long"))? {
                        None => return Ok(None),
                        Some((from, to)) if from == to => self.state = State::End,
                        Some(_) if count >= self.limits.fields => {
                            return self.fail(ParseError::HeadTooLarge);
                        }
                        Some(_) => self.state = State::Trailer(count + 1),
                    }
                }
            }
        }
    }

    fn fail<T>(&mut self, e: ParseError) -> Result<T, ParseError> {
        self.state = State::Failed(e.clone());
        Err(e)
    }

    fn take(&mut self, most: u64) -> Option<Vec<u8>> {
        let there = (self.buf.len() - self.used) as u64;
        let n = there.min(most) as usize;
        if n == 0 {
            return None;
        }
        let part = self.buf[self.used..self.used + n].to_vec();
        self.used += n;
        (self.seen, self.line) = (self.used, self.used);
        Some(part)
    }

    /// The bounds of the next line, without its break.
    fn line(
        &mut self,
        most: usize,
        over: ParseError,
    ) -> Result<Option<(usize, usize)>, ParseError> {
        match self.buf[self.seen..].iter().position(|b| *b == b'\n') {
            None => {
                self.seen = self.buf.len();
                if self.seen - self.used > most {
                    self.fail(over)
                } else {
                    Ok(None)
                }
            }
            Some(at) => {
                let (from, end) = (self.used, self.seen + at);
                if end + 1 - from > most.max(2) {
                    return self.fail(over);
                }
                if end == from || self.buf[end - 1] != b'\r' {
                    return self.fail(ParseError::Chunk("bare line feed"));
                }
                self.used = end + 1;
                (self.seen, self.line) = (self.used, self.used);
                Ok(Some((from, end - 1)))
            }
        }
    }

    fn chunk_size(&self, (from, to): (usize, usize)) -> Result<u64, ParseError> {
        let line = &self.buf[from..to];
        let digits = line.iter().take_while(|b| b.is_ascii_hexdigit()).count();
        if digits == 0 || digits > 15 {
            return Err(ParseError::Chunk(
                "size is no hexadecimal number of at most 15 digits",
            ));
        }
        let rest = line[digits..].trim_ascii_start();
        if rest.first().is_some_and(|b| *b != b';')
            || rest.iter().any(|b| b.is_ascii_control() && *b != b'\t')
        {
            return Err(ParseError::Chunk(
                "size followed by other than an extension",
            ));
        }
        let digits = std::str::from_utf8(&line[..digits]).unwrap_or_default();
        u64::from_str_radix(digits, 16).map_err(|_| ParseError::Chunk("size is no number"))
    }

    /// Looks for the end of the head, line by line, and parses it once it is whole.
    fn head(&mut self) -> Result<Option<Event>, ParseError> {
        loop {
            let Some(at) = self.buf[self.seen..].iter().position(|b| *b == b'\n') else {
                self.seen = self.buf.len();
                return match self.seen - self.used > self.limits.head {
                    true => self.fail(ParseError::HeadTooLarge),
                    false => Ok(None),
                };
            };
            let end = self.seen + at;
            if end + 1 - self.used > self.limits.head {
                return self.fail(ParseError::HeadTooLarge);
            }
            if end == self.line || self.buf[end - 1] != b'\r' {
                return self.fail(match self.line == self.used {
                    true => ParseError::StartLine("bare line feed"),
                    false => ParseError::Field("bare line feed"),
                });
            }
            let empty = end == self.line + 1;
            let first = self.line == self.used;
            (self.seen, self.line) = (end + 1, end + 1);
            if empty && first {
                self.used = end + 1; // An empty line before a message is passed over (RFC 9112, 2.2).
            } else if empty {
                let (from, to) = (self.used, end - 1);
                self.used = end + 1;
                return match head::parse(self.side, &self.buf[from..to], &self.limits) {
                    Ok(head) => self.begin(head).map(Some),
                    Err(e) => self.fail(e),
                };
            }
        }
    }

    /// Which content follows a head (RFC 9112, section 6.3).
    fn begin(&mut self, head: Head) -> Result<Event, ParseError> {
        self.body = 0;
        let framing = head::framing(&head);
        let (length, chunked) = match framing {
            Ok(f) => f,
            Err(e) => return self.fail(e),
        };
        let bare = match &head.start {
            StartLine::Request { method, .. } => *method == Method::Head,
            StartLine::Response(Status(code)) => {
                std::mem::take(&mut self.no_body) || *code < 200 || *code == 204 || *code == 304
            }
        };
        self.state = match (length, chunked) {
            _ if bare && self.side == Side::Responses => State::End,
            (_, true) => State::ChunkSize,
            (Some(0), _) => State::End,
            (Some(n), _) if n > self.limits.body => return self.fail(ParseError::BodyTooLarge),
            (Some(n), _) => State::Sized(n),
            (None, _) if self.side == Side::Responses => State::Rest,
            (None, _) => State::End,
        };
        Ok(Event::Head(head))
    }
}
