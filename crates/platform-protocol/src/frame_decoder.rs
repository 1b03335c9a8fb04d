//! Decoding of the coordinator's frames, each of which is an update of the endpoint list or a keep-alive.
//!
//! A frame consists of a length (32 bits), an event number (64 bits), a kind (8 bits), and one record of 27 bytes per
//! endpoint. All numbers are big-endian.
//!
//! A record consists of the engine's id (32 bits), IPv4 address (32 bits), port (16 bits), phase (8 bits), zone (8
//! bits), machine kind (8 bits), cell (16 bits), weight (32 bits, not used) and start time in Unix ms (64 bits).

use std::net::Ipv4Addr;

use crate::endpoint_list::{Endpoint, EndpointListUpdate, Phase};

/// Size of the length field.
const LENGTH_BYTES: usize = 4;
/// Size of the event number and the kind, which the length includes.
const HEADER_BYTES: usize = 9;
/// Size of an endpoint's record.
const RECORD_BYTES: usize = 27;
/// Maximum number of records in a frame.
const MAX_RECORDS: usize = 4096;

const KIND_KEEP_ALIVE: u8 = 0;
const KIND_COMPLETE: u8 = 1;
const KIND_CHANGES: u8 = 2;

const PHASE_READY: u8 = 0;
const PHASE_DRAINING: u8 = 1;
const PHASE_REMOVED: u8 = 2;

/// An invalid frame. The rest of its connection can't be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The length is invalid for a frame, or for a frame of its kind.
    #[error(
        "invalid frame length {0}: expected {HEADER_BYTES} bytes and up to {MAX_RECORDS} records of {RECORD_BYTES} \
         bytes, or no record in a keep-alive"
    )]
    Length(u32),
    /// The kind is unknown.
    #[error("unknown frame kind {0}")]
    Kind(u8),
    /// An endpoint's phase is unknown.
    #[error("unknown endpoint phase {0}")]
    Phase(u8),
    /// Events are missing.
    #[error("expected event {expected}, found event {found}")]
    Gap {
        /// The number of the next event.
        expected: u64,
        /// The number of the event received.
        found: u64,
    },
}

/// A decoded frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame {
    /// A keep-alive, or an event that was already received.
    NoChange,
    /// The next update.
    Update(EndpointListUpdate),
}

/// Decodes the bytes of one connection into frames.
#[derive(Debug)]
pub struct FrameDecoder {
    last_event: u64,
    buffer: Vec<u8>,
    /// The number of bytes in `buffer` that belong to decoded frames.
    consumed: usize,
}

impl FrameDecoder {
    /// Creates a decoder for a connection on which the events after `last_event` were requested.
    pub fn new(last_event: u64) -> FrameDecoder {
        FrameDecoder {
            last_event,
            buffer: Vec::new(),
            consumed: 0,
        }
    }

    /// Appends received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.drain(..std::mem::take(&mut self.consumed));
        self.buffer.extend_from_slice(bytes);
    }

    /// Decodes the next frame. Returns `None` until it is complete.
    ///
    /// # Errors
    /// Returns an error if the frame is invalid or events before it are missing.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, FrameError> {
        let bytes = &self.buffer[self.consumed..];
        let Some((length, rest)) = bytes.split_first_chunk() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*length);
        let size = length as usize;
        let valid_sizes = HEADER_BYTES..=HEADER_BYTES + MAX_RECORDS * RECORD_BYTES;
        if !valid_sizes.contains(&size) || !(size - HEADER_BYTES).is_multiple_of(RECORD_BYTES) {
            return Err(FrameError::Length(length));
        }
        let Some(frame) = rest.get(..size) else {
            return Ok(None);
        };
        let frame = parse_frame(self.last_event, frame, length)?;
        self.consumed += LENGTH_BYTES + size;
        if let Frame::Update(update) = &frame {
            self.last_event = update.number;
        }
        Ok(Some(frame))
    }
}

fn parse_frame(last_event: u64, frame: &[u8], length: u32) -> Result<Frame, FrameError> {
    let mut reader = Reader(frame);
    let (number, kind) = (reader.u64(), reader.u8());
    let is_complete = match kind {
        KIND_KEEP_ALIVE if reader.is_empty() => return Ok(Frame::NoChange),
        KIND_KEEP_ALIVE => return Err(FrameError::Length(length)),
        KIND_COMPLETE => true,
        KIND_CHANGES => false,
        other => return Err(FrameError::Kind(other)),
    };
    if number <= last_event {
        return Ok(Frame::NoChange);
    }
    // After a missed event, changes would be applied to an outdated list.
    if !is_complete && number != last_event + 1 {
        return Err(FrameError::Gap {
            expected: last_event + 1,
            found: number,
        });
    }
    let mut endpoints = Vec::with_capacity(reader.0.len() / RECORD_BYTES);
    while !reader.is_empty() {
        endpoints.push(reader.endpoint()?);
    }
    Ok(Frame::Update(EndpointListUpdate {
        number,
        is_complete,
        endpoints,
    }))
}

/// Reads big-endian numbers. Lengths are checked beforehand; reading past the end gives zeros.
struct Reader<'a>(&'a [u8]);

impl Reader<'_> {
    fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    fn bytes<const N: usize>(&mut self) -> [u8; N] {
        let (bytes, rest) = self
            .0
            .split_first_chunk()
            .map_or(([0; N], &[][..]), |(bytes, rest)| (*bytes, rest));
        self.0 = rest;
        bytes
    }

    fn u8(&mut self) -> u8 {
        self.bytes::<1>()[0]
    }

    fn u16(&mut self) -> u16 {
        u16::from_be_bytes(self.bytes())
    }

    fn u32(&mut self) -> u32 {
        u32::from_be_bytes(self.bytes())
    }

    fn u64(&mut self) -> u64 {
        u64::from_be_bytes(self.bytes())
    }

    fn endpoint(&mut self) -> Result<Endpoint, FrameError> {
        let id = self.u32();
        let ip = Ipv4Addr::from(self.bytes::<4>());
        let port = self.u16();
        let phase = match self.u8() {
            PHASE_READY => Phase::Ready,
            PHASE_DRAINING => Phase::Draining,
            PHASE_REMOVED => Phase::Removed,
            other => return Err(FrameError::Phase(other)),
        };
        let zone = Some(self.u8().into());
        let kind = Some(self.u8().into());
        let cell = self.u16().into();
        let _weight = self.u32();
        let started_ms = self.u64();
        Ok(Endpoint {
            id,
            addr: (ip, port).into(),
            zone,
            kind,
            cell,
            phase,
            started_ms,
        })
    }
}

#[cfg(test)]
mod tests;
