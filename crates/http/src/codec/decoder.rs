//! The state machine that turns bytes into messages.

use super::head::{self, Framing};
use super::input_buffer::{InputBuffer, LineError};
use super::{Limits, MessageKind, ParseError};
use crate::message::{Head, Method, StartLine, Status};

/// Longest line of a chunk size with its extensions, and of one trailer field.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// The line break that ends the data of a chunk.
const CHUNK_END_BYTES: usize = 2;

/// Hexadecimal digits of a chunk size at most, so that it fits 64 bits.
const MAX_CHUNK_SIZE_DIGITS: usize = 15;

/// A part of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The head: a message begins.
    Head(Head),
    /// A part of the content.
    Body(Vec<u8>),
    /// The message is complete.
    End,
}

#[derive(Debug)]
enum State {
    Head,
    /// Content of a known length: the bytes still missing.
    Sized(u64),
    ChunkSize,
    /// The bytes of the chunk still missing.
    ChunkData(u64),
    ChunkEnd,
    /// The number of trailer fields so far.
    Trailer(usize),
    /// Content up to the end of the connection.
    UntilClose,
    End,
    Failed(ParseError),
}

/// Turns the bytes of one direction of a connection into [`Event`]s, message after message. After an error it returns
/// that error for ever.
#[derive(Debug)]
pub struct Decoder {
    kind: MessageKind,
    limits: Limits,
    state: State,
    buffer: InputBuffer,
    /// Bytes of the present message's content whose length was not announced by its head.
    body_bytes: u64,
    /// The next response answers a `HEAD` request.
    is_without_body: bool,
}

impl Decoder {
    /// A decoder at the start of a connection.
    pub fn new(kind: MessageKind, limits: Limits) -> Decoder {
        Decoder {
            kind,
            limits,
            state: State::Head,
            buffer: InputBuffer::default(),
            body_bytes: 0,
            is_without_body: false,
        }
    }

    /// Announces that the next response answers a `HEAD` request: it has no content whatever its fields say.
    pub fn expect_no_body(&mut self) {
        self.is_without_body = true;
    }

    /// Accepts bytes from the peer.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.feed(bytes);
    }

    /// Whether a message has begun that is not complete.
    pub fn is_inside_message(&self) -> bool {
        !matches!(self.state, State::Head) || self.has_buffered_bytes()
    }

    /// Whether there are bytes that no event has used.
    pub fn has_buffered_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Releases memory that an idle connection need not hold. Does nothing within a message.
    pub fn shrink(&mut self) {
        if !self.is_inside_message() {
            self.buffer.shrink();
        }
    }

    /// Reports that the peer has closed its side: the end of a message that lasts until then, or nothing between
    /// messages.
    ///
    /// # Errors
    ///
    /// [`ParseError::UnexpectedEof`] where the close cuts a message; the error of the decoder if it has failed.
    pub fn finish(&mut self) -> Result<Option<Event>, ParseError> {
        match &self.state {
            State::UntilClose => {
                self.state = State::Head;
                Ok(Some(Event::End))
            }
            State::Head if self.buffer.is_empty() => Ok(None),
            State::Failed(error) => Err(error.clone()),
            _ => self.fail(ParseError::UnexpectedEof),
        }
    }

    /// The next event, or none before more bytes arrive.
    ///
    /// # Errors
    ///
    /// Where the bytes are not an HTTP/1.1 message, or exceed the limits; the same error from then on.
    pub fn next_event(&mut self) -> Result<Option<Event>, ParseError> {
        loop {
            match &self.state {
                State::Failed(error) => return Err(error.clone()),
                State::Head => return self.read_head(),
                State::Sized(missing) => {
                    let missing = *missing;
                    return Ok(self.read_body(missing, State::Sized, State::End));
                }
                State::UntilClose => return self.read_until_close(),
                State::ChunkSize => match self.read_chunk_line()? {
                    Some(size) => self.begin_chunk(size)?,
                    None => return Ok(None),
                },
                State::ChunkData(missing) => {
                    let missing = *missing;
                    return Ok(self.read_body(missing, State::ChunkData, State::ChunkEnd));
                }
                State::ChunkEnd => {
                    let too_long = ParseError::Chunk("no line break behind its data");
                    match self.read_line(CHUNK_END_BYTES, too_long)? {
                        None => return Ok(None),
                        Some(line) if line.is_empty() => self.state = State::ChunkSize,
                        Some(_) => return self.fail(ParseError::Chunk("longer than its size")),
                    }
                }
                State::Trailer(count) => {
                    let count = *count;
                    let too_long = ParseError::Chunk("trailer too long");
                    match self.read_line(MAX_CHUNK_LINE_BYTES, too_long)? {
                        None => return Ok(None),
                        Some(line) if line.is_empty() => self.state = State::End,
                        Some(_) if count >= self.limits.max_fields => {
                            return self.fail(ParseError::HeadTooLarge);
                        }
                        Some(_) => self.state = State::Trailer(count + 1),
                    }
                }
                State::End => {
                    self.state = State::Head;
                    self.body_bytes = 0;
                    return Ok(Some(Event::End));
                }
            }
        }
    }

    fn fail<T>(&mut self, error: ParseError) -> Result<T, ParseError> {
        self.state = State::Failed(error.clone());
        Err(error)
    }

    fn read_head(&mut self) -> Result<Option<Event>, ParseError> {
        let range = match self.buffer.take_head(self.limits.max_head_bytes) {
            Ok(Some(range)) => range,
            Ok(None) => return Ok(None),
            Err(LineError::TooLong) => return self.fail(ParseError::HeadTooLarge),
            Err(LineError::BareLineFeed { in_first_line }) => {
                return self.fail(if in_first_line {
                    ParseError::StartLine("bare line feed")
                } else {
                    ParseError::HeaderField("bare line feed")
                });
            }
        };
        match head::parse(self.kind, self.buffer.slice(range), &self.limits) {
            Ok(head) => self.begin_message(head).map(Some),
            Err(error) => self.fail(error),
        }
    }

    /// Determines which content follows a head (RFC 9112, section 6.3).
    fn begin_message(&mut self, head: Head) -> Result<Event, ParseError> {
        self.body_bytes = 0;
        let framing = match head::framing(&head) {
            Ok(framing) => framing,
            Err(error) => return self.fail(error),
        };
        let is_without_body = match &head.start {
            StartLine::Request { method, .. } => *method == Method::Head,
            StartLine::Response(Status(code)) => {
                std::mem::take(&mut self.is_without_body)
                    || *code < 200
                    || *code == 204
                    || *code == 304
            }
        };
        let is_response = self.kind == MessageKind::Response;
        self.state = match framing {
            _ if is_without_body && is_response => State::End,
            Framing::Chunked => State::ChunkSize,
            Framing::Length(0) => State::End,
            Framing::Length(bytes) if bytes > self.limits.max_body_bytes => {
                return self.fail(ParseError::BodyTooLarge);
            }
            Framing::Length(bytes) => State::Sized(bytes),
            Framing::Unspecified if is_response => State::UntilClose,
            Framing::Unspecified => State::End,
        };
        Ok(Event::Head(head))
    }

    /// A part of content of which `missing` bytes are missing. What remains missing decides on the next state.
    fn read_body(
        &mut self,
        missing: u64,
        incomplete: fn(u64) -> State,
        complete: State,
    ) -> Option<Event> {
        let part = self.buffer.take(missing)?;
        self.state = match missing - part.len() as u64 {
            0 => complete,
            missing => incomplete(missing),
        };
        Some(Event::Body(part))
    }

    fn read_until_close(&mut self) -> Result<Option<Event>, ParseError> {
        let Some(part) = self.buffer.take(u64::MAX) else {
            return Ok(None);
        };
        self.count_body_bytes(part.len() as u64)?;
        Ok(Some(Event::Body(part)))
    }

    /// Counts content whose length the head did not announce.
    fn count_body_bytes(&mut self, bytes: u64) -> Result<(), ParseError> {
        self.body_bytes = self.body_bytes.saturating_add(bytes);
        if self.body_bytes > self.limits.max_body_bytes {
            return self.fail(ParseError::BodyTooLarge);
        }
        Ok(())
    }

    /// A line of chunked content, without its break.
    fn read_line(
        &mut self,
        max: usize,
        too_long: ParseError,
    ) -> Result<Option<std::ops::Range<usize>>, ParseError> {
        self.buffer.take_line(max).or_else(|error| match error {
            LineError::TooLong => self.fail(too_long),
            LineError::BareLineFeed { .. } => self.fail(ParseError::Chunk("bare line feed")),
        })
    }

    /// The size of the next chunk.
    fn read_chunk_line(&mut self) -> Result<Option<u64>, ParseError> {
        let too_long = ParseError::Chunk("size line too long");
        let Some(line) = self.read_line(MAX_CHUNK_LINE_BYTES, too_long)? else {
            return Ok(None);
        };
        match parse_chunk_size(self.buffer.slice(line)) {
            Ok(size) => Ok(Some(size)),
            Err(error) => self.fail(error),
        }
    }

    fn begin_chunk(&mut self, size: u64) -> Result<(), ParseError> {
        if size == 0 {
            self.state = State::Trailer(0);
            return Ok(());
        }
        self.count_body_bytes(size)?;
        self.state = State::ChunkData(size);
        Ok(())
    }
}

fn parse_chunk_size(line: &[u8]) -> Result<u64, ParseError> {
    let digits = line.iter().take_while(|b| b.is_ascii_hexdigit()).count();
    if digits == 0 || digits > MAX_CHUNK_SIZE_DIGITS {
        return Err(ParseError::Chunk(
            "size is no hexadecimal number of at most 15 digits",
        ));
    }
    let extensions = line[digits..].trim_ascii_start();
    if extensions.first().is_some_and(|byte| *byte != b';')
        || extensions
            .iter()
            .any(|byte| byte.is_ascii_control() && *byte != b'\t')
    {
        return Err(ParseError::Chunk(
            "size followed by other than an extension",
        ));
    }
    let digits = std::str::from_utf8(&line[..digits]).unwrap_or_default();
    u64::from_str_radix(digits, 16).map_err(|_| ParseError::Chunk("size is no number"))
}
