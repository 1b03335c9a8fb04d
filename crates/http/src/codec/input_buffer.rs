//! The bytes that a decoder has received and not yet used, and the search for line breaks in them.

use std::ops::Range;

/// Capacity that an idle connection may keep for its next message; a larger buffer is freed.
const MAX_IDLE_CAPACITY: usize = 1 << 10;

/// The end of a line, with its carriage return.
const LINE_BREAK_BYTES: usize = 2;

/// Why a line can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LineError {
    /// The line, or the head that it is part of, exceeds its limit.
    TooLong,
    /// A line feed without a carriage return.
    BareLineFeed {
        /// Whether it is in the first line.
        in_first_line: bool,
    },
}

/// Received bytes. What has been searched for a line break is not searched again, so that bytes that arrive one by one
/// cost no more than the same bytes at once.
#[derive(Debug, Default)]
pub(super) struct InputBuffer {
    bytes: Vec<u8>,
    /// Bytes at the start that are used.
    consumed: usize,
    /// Where the search for the next line feed continues.
    scanned: usize,
    /// Where the line begins that is being searched for its end.
    line_start: usize,
}

impl InputBuffer {
    /// Appends received bytes.
    pub(super) fn feed(&mut self, bytes: &[u8]) {
        if self.consumed > 0 {
            self.bytes.drain(..self.consumed);
            self.scanned -= self.consumed;
            self.line_start -= self.consumed;
            self.consumed = 0;
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// Whether all received bytes are used.
    pub(super) fn is_empty(&self) -> bool {
        self.unused_bytes() == 0
    }

    /// The bytes of a range that this buffer has returned. Valid until the next [`feed`](InputBuffer::feed).
    pub(super) fn slice(&self, range: Range<usize>) -> &[u8] {
        &self.bytes[range]
    }

    /// Releases memory that an idle connection need not hold. Only for an empty buffer.
    pub(super) fn shrink(&mut self) {
        (self.consumed, self.scanned, self.line_start) = (0, 0, 0);
        if self.bytes.capacity() > MAX_IDLE_CAPACITY {
            self.bytes = Vec::new();
        } else {
            self.bytes.clear();
        }
    }

    /// Uses up to `max` bytes; none where there are no bytes.
    pub(super) fn take(&mut self, max: u64) -> Option<Vec<u8>> {
        let count = (self.unused_bytes() as u64).min(max) as usize;
        if count == 0 {
            return None;
        }
        let part = self.bytes[self.consumed..self.consumed + count].to_vec();
        self.consume_to(self.consumed + count);
        Some(part)
    }

    /// Uses the next line of up to `max` bytes: its range without the line break. None while its end is missing.
    pub(super) fn take_line(&mut self, max: usize) -> Result<Option<Range<usize>>, LineError> {
        let Some(line_feed) = self.find_line_feed() else {
            return if self.unused_bytes() > max {
                Err(LineError::TooLong)
            } else {
                Ok(None)
            };
        };
        let start = self.consumed;
        if line_feed + 1 - start > max.max(LINE_BREAK_BYTES) {
            return Err(LineError::TooLong);
        }
        self.check_carriage_return(start, line_feed)?;
        self.consume_to(line_feed + 1);
        Ok(Some(start..line_feed - 1))
    }

    /// Uses the lines up to the first empty one, of up to `max` bytes together: their range without the empty line.
    /// None while that line is missing. Empty lines before the first are ignored (RFC 9112, section 2.2).
    pub(super) fn take_head(&mut self, max: usize) -> Result<Option<Range<usize>>, LineError> {
        loop {
            let Some(line_feed) = self.find_line_feed() else {
                return if self.unused_bytes() > max {
                    Err(LineError::TooLong)
                } else {
                    Ok(None)
                };
            };
            if line_feed + 1 - self.consumed > max {
                return Err(LineError::TooLong);
            }
            self.check_carriage_return(self.line_start, line_feed)?;
            let is_first_line = self.line_start == self.consumed;
            let is_empty_line = line_feed == self.line_start + 1;
            (self.scanned, self.line_start) = (line_feed + 1, line_feed + 1);
            if is_empty_line && is_first_line {
                self.consumed = line_feed + 1;
            } else if is_empty_line {
                let start = self.consumed;
                self.consumed = line_feed + 1;
                return Ok(Some(start..line_feed - 1));
            }
        }
    }

    fn unused_bytes(&self) -> usize {
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

    fn check_carriage_return(&self, line_start: usize, line_feed: usize) -> Result<(), LineError> {
        if line_feed == line_start || self.bytes[line_feed - 1] != b'\r' {
            return Err(LineError::BareLineFeed {
                in_first_line: line_start == self.consumed,
            });
        }
        Ok(())
    }
}
