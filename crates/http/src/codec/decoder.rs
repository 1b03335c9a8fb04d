//! The state machine that turns bytes into messages.

use super::head::{self, Framing};
use super::input_buffer::{HeadError, InputBuffer, LineError};
use super::{Limits, MessageKind, ParseError};
use crate::message::{Head, Method, StartLine, Status};

/// Maximum length of a chunk size line with its extensions, and of a trailer field line.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// Length of the line break after the data of a chunk.
const CHUNK_END_BYTES: usize = 2;

/// Maximum number of hexadecimal digits of a chunk size, so that the size is below 2^60 and fits into 64 bits.
const MAX_CHUNK_SIZE_DIGITS: usize = 15;

/// A decoded part of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The head, with which a message begins.
    Head(Head),
    /// A part of the content, which is also called body.
    Body(Vec<u8>),
    /// The message is complete.
    End,
}

#[derive(Debug)]
enum State {
    Head,
    /// Content of a known length, with the number of bytes still to come.
    Sized(u64),
    ChunkSize,
    /// Data of a chunk, with the number of bytes still to come.
    ChunkData(u64),
    ChunkEnd,
    /// The trailer section, with the number of fields read so far.
    Trailer(usize),
    /// Content that ends when the peer closes the connection.
    UntilClose,
    End,
    Failed(ParseError),
}

/// A decoder that turns the bytes of one direction of a connection into [`Event`]s, message after message. After an
/// error, it returns the same error for every further call.
#[derive(Debug)]
pub struct Decoder {
    kind: MessageKind,
    limits: Limits,
    state: State,
    buffer: InputBuffer,
    /// Content bytes of the current message, counted if its head does not state their number.
    body_bytes: u64,
    /// Whether the next response is to a `HEAD` request.
    expects_no_body: bool,
}

impl Decoder {
    /// Creates a decoder for a new connection.
    pub fn new(kind: MessageKind, limits: Limits) -> Decoder {
        Decoder {
            kind,
            limits,
            state: State::Head,
            buffer: InputBuffer::default(),
            body_bytes: 0,
            expects_no_body: false,
        }
    }

    /// Declares the next response to be to a `HEAD` request, so that it has no content whatever its header fields say.
    pub fn expect_no_body(&mut self) {
        self.expects_no_body = true;
    }

    /// Appends bytes received from the peer.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.feed(bytes);
    }

    /// Returns whether a message has begun and its end has not been returned, bytes after it have been fed, or decoding
    /// has failed.
    pub fn is_inside_message(&self) -> bool {
        !matches!(self.state, State::Head) || self.has_buffered_bytes()
    }

    /// Returns whether there are bytes that have not been decoded yet.
    pub fn has_buffered_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the memory in bytes that fed bytes occupy until they are decoded. It includes spare capacity.
    pub fn buffer_capacity(&self) -> usize {
        self.buffer.capacity()
    }

    /// Returns [`buffer_capacity`](Decoder::buffer_capacity) as it will be once `count` further bytes have been fed.
    pub fn buffer_capacity_after(&self, count: usize) -> usize {
        self.buffer.capacity_after(count)
    }

    /// Returns the number of bytes that have not been decoded yet.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.unconsumed_bytes()
    }

    /// Returns how many bytes are worth feeding next. A caller that feeds no more keeps little of what follows the
    /// current message: less than the size limit of a head.
    pub fn bytes_wanted(&self) -> usize {
        let max_head_bytes = self.limits.max_head_bytes;
        match self.state {
            State::Sized(remaining) => usize::try_from(remaining).unwrap_or(usize::MAX),
            State::ChunkData(remaining) => {
                usize::try_from(remaining).map_or(usize::MAX, |bytes| bytes.max(max_head_bytes))
            }
            State::UntilClose => usize::MAX,
            _ => max_head_bytes.saturating_sub(self.buffered_bytes()).max(1),
        }
    }

    /// Handles that the peer has closed its sending side. Returns the end of a message that is delimited by the close,
    /// or `None` between messages.
    ///
    /// # Errors
    ///
    /// Returns [`ParseError::UnexpectedEof`] if the close truncates a message, or the earlier error if decoding has
    /// failed.
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

    /// Returns the next event, or `None` until more bytes are fed.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a valid HTTP/1.1 message or exceed the limits, and the same error from
    /// then on.
    pub fn next_event(&mut self) -> Result<Option<Event>, ParseError> {
        loop {
            match &self.state {
                State::Failed(error) => return Err(error.clone()),
                State::Head => return self.read_head(),
                State::Sized(remaining) => {
                    let remaining = *remaining;
                    return Ok(self.read_body(remaining, State::Sized, State::End));
                }
                State::UntilClose => return self.read_until_close(),
                State::ChunkSize => match self.read_chunk_size()? {
                    Some(size) => self.begin_chunk(size)?,
                    None => return Ok(None),
                },
                State::ChunkData(remaining) => {
                    let remaining = *remaining;
                    return Ok(self.read_body(remaining, State::ChunkData, State::ChunkEnd));
                }
                State::ChunkEnd => {
                    let no_line_break = ParseError::Chunk("expected a line break after its data");
                    match self.read_line(CHUNK_END_BYTES, no_line_break.clone())? {
                        None => return Ok(None),
                        Some(line) if line.is_empty() => self.state = State::ChunkSize,
                        // Not reached, because the limit allows only an empty line.
                        Some(_) => return self.fail(no_line_break),
                    }
                }
                State::Trailer(count) => {
                    let count = *count;
                    let too_long = ParseError::Chunk("trailer field line exceeds the limit");
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
                    self.buffer.shrink();
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
            Err(HeadError::TooLong) => return self.fail(ParseError::HeadTooLarge),
            Err(HeadError::TooManyEmptyLines) => {
                return self.fail(ParseError::StartLine("too many empty lines before it"));
            }
            Err(HeadError::BareLineFeed { in_first_line }) => {
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

    /// Determines how the content after a head is delimited (RFC 9112, section 6.3).
    fn begin_message(&mut self, head: Head) -> Result<Event, ParseError> {
        self.body_bytes = 0;
        let framing = match head::framing(&head) {
            Ok(framing) => framing,
            Err(error) => return self.fail(error),
        };
        let has_no_body = match &head.start {
            StartLine::Request { method, .. } => *method == Method::Head,
            StartLine::Response(Status(code)) => {
                std::mem::take(&mut self.expects_no_body)
                    || *code < 200
                    || *code == 204
                    || *code == 304
            }
        };
        let is_response = self.kind == MessageKind::Response;
        self.state = match framing {
            _ if has_no_body && is_response => State::End,
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

    /// Reads a part of content of which `remaining` bytes are still to come. The next state is `complete` if that was
    /// all of it, otherwise `incomplete` with the number of bytes still to come.
    fn read_body(
        &mut self,
        remaining: u64,
        incomplete: fn(u64) -> State,
        complete: State,
    ) -> Option<Event> {
        let part = self.buffer.take(remaining)?;
        self.state = match remaining - part.len() as u64 {
            0 => complete,
            remaining => incomplete(remaining),
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

    /// Counts content bytes whose number the head does not state, and fails once they exceed the limit.
    fn count_body_bytes(&mut self, bytes: u64) -> Result<(), ParseError> {
        self.body_bytes = self.body_bytes.saturating_add(bytes);
        if self.body_bytes > self.limits.max_body_bytes {
            return self.fail(ParseError::BodyTooLarge);
        }
        Ok(())
    }

    /// Reads a line of the chunked coding, and returns its range without the line break.
    fn read_line(
        &mut self,
        max: usize,
        too_long: ParseError,
    ) -> Result<Option<std::ops::Range<usize>>, ParseError> {
        self.buffer.take_line(max).or_else(|error| match error {
            LineError::TooLong => self.fail(too_long),
            LineError::BareLineFeed => self.fail(ParseError::Chunk("bare line feed")),
        })
    }

    /// Reads the size line of the next chunk.
    fn read_chunk_size(&mut self) -> Result<Option<u64>, ParseError> {
        let too_long = ParseError::Chunk("size line exceeds the limit");
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
            "size is not a hexadecimal number of at most 15 digits",
        ));
    }
    let extensions = line[digits..].trim_ascii_start();
    if extensions.first().is_some_and(|byte| *byte != b';')
        || extensions
            .iter()
            .any(|byte| byte.is_ascii_control() && *byte != b'\t')
    {
        return Err(ParseError::Chunk(
            "size is followed by something other than an extension",
        ));
    }
    let digits = std::str::from_utf8(&line[..digits]).unwrap_or_default();
    u64::from_str_radix(digits, 16).map_err(|_| ParseError::Chunk("size is not a number"))
}
