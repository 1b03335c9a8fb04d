//! The buffer for bytes that a decoder has received and not yet consumed, and the search for line breaks in it.

use std::ops::Range;

/// Maximum capacity that an idle connection keeps for its next message; a larger buffer is freed.
const MAX_IDLE_CAPACITY_BYTES: usize = 1 << 10;

/// Maximum number of empty lines before a head.
const MAX_SKIPPED_LINES: usize = 16;

/// Length of a line break: carriage return and line feed.
const LINE_BREAK_BYTES: usize = 2;

/// The reason why a line can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LineError {
    /// The line exceeds its limit.
    TooLong,
    /// Its line feed has no carriage return before it.
    BareLineFeed,
}

/// The reason why a head can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HeadError {
    /// The head exceeds its limit.
    TooLong,
    /// There are too many empty lines before the head.
    TooManyEmptyLines,
    /// A line feed has no carriage return before it.
    BareLineFeed {
        /// Whether it ends the first line of the head.
        in_first_line: bool,
    },
}

/// A buffer for received bytes. It does not search the same bytes twice for a line break, so that bytes that arrive one
/// by one cost no more than the same bytes at once.
#[derive(Debug, Default)]
pub(super) struct InputBuffer {
    bytes: Vec<u8>,
    /// Number of bytes at the start that have been consumed.
    consumed: usize,
    /// Position from which the search for the next line feed continues.
    scanned: usize,
    /// Start of the line whose end is being searched for.
    line_start: usize,
    /// Number of empty lines skipped before the next head.
    skipped_lines: usize,
}

impl InputBuffer {
    /// Appends received bytes.
    pub(super) fn feed(&mut self, bytes: &[u8]) {
        let capacity = self.capacity_after(bytes.len());
        self.drop_consumed();
        self.bytes.reserve_exact(capacity - self.bytes.len());
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns the number of bytes that the buffer occupies.
    pub(super) fn capacity(&self) -> usize {
        self.bytes.capacity()
    }

    /// Returns the number of bytes that the buffer occupies once `count` further bytes have been fed. It grows by
    /// doubling, so that bytes that arrive one by one are not copied each time.
    pub(super) fn capacity_after(&self, count: usize) -> usize {
        let needed = self.unconsumed_bytes() + count;
        match self.bytes.capacity() {
            capacity if capacity >= needed => capacity,
            capacity => needed.max(2 * capacity),
        }
    }

    fn drop_consumed(&mut self) {
        self.bytes.drain(..self.consumed);
        self.scanned -= self.consumed;
        self.line_start -= self.consumed;
        self.consumed = 0;
    }

    /// Returns whether all received bytes have been consumed.
    pub(super) fn is_empty(&self) -> bool {
        self.unconsumed_bytes() == 0
    }

    /// Returns the bytes of a range that this buffer has returned. Ranges are valid until the next
    /// [`feed`](InputBuffer::feed) or [`shrink`](InputBuffer::shrink).
    pub(super) fn slice(&self, range: Range<usize>) -> &[u8] {
        &self.bytes[range]
    }

    /// Frees the memory of consumed bytes, once they are at least half of the buffer, so that each byte is moved only a
    /// few times however many messages arrive at once.
    pub(super) fn shrink(&mut self) {
        if self.consumed < self.unconsumed_bytes() {
            return;
        }
        self.drop_consumed();
        if self.bytes.capacity() > MAX_IDLE_CAPACITY_BYTES {
            self.bytes.shrink_to_fit();
        }
    }

    /// Consumes and returns up to `max` bytes, or `None` if there are none.
    pub(super) fn take(&mut self, max: u64) -> Option<Vec<u8>> {
        let count = (self.unconsumed_bytes() as u64).min(max) as usize;
        if count == 0 {
            return None;
        }
        let part = self.bytes[self.consumed..self.consumed + count].to_vec();
        self.consume_to(self.consumed + count);
        self.shrink();
        Some(part)
    }

    /// Consumes the next line of up to `max` bytes, and returns its range without the line break, or `None` until its
    /// end has arrived.
    pub(super) fn take_line(&mut self, max: usize) -> Result<Option<Range<usize>>, LineError> {
        let Some(line_feed) = self.find_line_feed() else {
            return if self.unconsumed_bytes() > max {
                Err(LineError::TooLong)
            } else {
                Ok(None)
            };
        };
        let start = self.consumed;
        if line_feed + 1 - start > max.max(LINE_BREAK_BYTES) {
            return Err(LineError::TooLong);
        }
        if !self.has_carriage_return(start, line_feed) {
            return Err(LineError::BareLineFeed);
        }
        self.consume_to(line_feed + 1);
        Ok(Some(start..line_feed - 1))
    }

    /// Consumes the lines up to the first empty one, of up to `max` bytes together, and returns their range without the
    /// empty line, or `None` until that line has arrived. A few leading empty lines are skipped (RFC 9112, section 2.2).
    pub(super) fn take_head(&mut self, max: usize) -> Result<Option<Range<usize>>, HeadError> {
        loop {
            let Some(line_feed) = self.find_line_feed() else {
                return if self.unconsumed_bytes() > max {
                    Err(HeadError::TooLong)
                } else {
                    Ok(None)
                };
            };
            if line_feed + 1 - self.consumed > max {
                return Err(HeadError::TooLong);
            }
            let is_first_line = self.line_start == self.consumed;
            if !self.has_carriage_return(self.line_start, line_feed) {
                return Err(HeadError::BareLineFeed {
                    in_first_line: is_first_line,
                });
            }
            let is_empty_line = line_feed == self.line_start + 1;
            (self.scanned, self.line_start) = (line_feed + 1, line_feed + 1);
            if is_empty_line && is_first_line {
                self.consumed = line_feed + 1;
                self.skipped_lines += 1;
                if self.skipped_lines > MAX_SKIPPED_LINES {
                    return Err(HeadError::TooManyEmptyLines);
                }
            } else if is_empty_line {
                let start = self.consumed;
                self.consumed = line_feed + 1;
                self.skipped_lines = 0;
                return Ok(Some(start..line_feed - 1));
            }
        }
    }

    /// Returns the number of bytes that have not been consumed.
    pub(super) fn unconsumed_bytes(&self) -> usize {
        self.bytes.len() - self.consumed
    }

    fn consume_to(&mut self, end: usize) {
        (self.consumed, self.scanned, self.line_start) = (end, end, end);
    }

    fn find_line_feed(&mut self) -> Option<usize> {
        let unscanned = &self.bytes[self.scanned..];
        let found = unscanned.iter().position(|byte| *byte == b'\n');
        if found.is_none() {
            self.scanned = self.bytes.len();
        }
        found.map(|offset| self.scanned + offset)
    }

    fn has_carriage_return(&self, line_start: usize, line_feed: usize) -> bool {
        line_feed > line_start && self.bytes[line_feed - 1] == b'\r'
    }
}
