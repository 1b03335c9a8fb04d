//! Owns what the coordinator tells of the engine list: numbered events, as frames and as JSON.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

use serde::Deserialize;

/// State of an engine as told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Takes work.
    Ready,
    /// Finishes what it has.
    Draining,
    /// Gone.
    Gone,
}

/// One engine as told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its number; in text `s-` and 8 hex digits.
    pub id: u32,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its zone by position, where known.
    pub zone: Option<usize>,
    /// Its machine kind by position, where known.
    pub kind: Option<usize>,
    /// Its cell.
    pub cell: u32,
    /// Its state.
    pub phase: Phase,
    /// Unix time of a late start, in ms; 0: long ago.
    pub started_ms: u64,
}

/// One event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    /// Its number.
    pub number: u64,
    /// It holds the whole list; otherwise what changed.
    pub whole: bool,
    /// The engines.
    pub members: Vec<Member>,
}

// ---- JSON ---------------------------------------------------------------------------------------

/// The events as of a router's start.
#[derive(Default, Deserialize)]
pub(crate) struct Known {
    index: u64,
    #[serde(default)]
    updates: Vec<KnownUpdate>,
}

#[derive(Deserialize)]
struct KnownUpdate {
    endpoints: Endpoints,
}

#[derive(Deserialize)]
struct Endpoints {
    #[serde(default)]
    complete: bool,
    #[serde(default)]
    members: Vec<KnownMember>,
}

#[derive(Deserialize)]
struct KnownMember {
    id: String,
    host_port: SocketAddr,
    #[serde(default)]
    locality: String,
    #[serde(default)]
    flavor: String,
    #[serde(default)]
    cell: u32,
    phase: String,
    #[serde(default)]
    up_since_ms: u64,
}

impl Known {
    /// All events as one whole list.
    pub(crate) fn fold(&self, zones: &[String], kinds: &[String]) -> Result<Update, &'static str> {
        let mut all = BTreeMap::new();
        for update in &self.updates {
            if update.endpoints.complete {
                all.clear();
            }
            for m in &update.endpoints.members {
                let phase = match m.phase.as_str() {
                    "in_service" => Phase::Ready,
                    "terminating" => Phase::Draining,
                    "terminated" => Phase::Gone,
                    _ => return Err("a phase that is none"),
                };
                let id = id_of(&m.id).ok_or("an id other than s- and 8 hex digits")?;
                let member = Member {
                    id,
                    addr: m.host_port,
                    zone: hoptiller_policy_settings::position(zones, &m.locality),
                    kind: hoptiller_policy_settings::position(kinds, &m.flavor),
                    cell: m.cell,
                    phase,
                    started_ms: m.up_since_ms,
                };
                match phase {
                    Phase::Gone => all.remove(&id),
                    _ => all.insert(id, member),
                };
            }
        }
        Ok(Update {
            number: self.index,
            whole: true,
            members: all.into_values().collect(),
        })
    }
}

fn id_of(text: &str) -> Option<u32> {
    let digits = text.strip_prefix("s-").filter(|d| d.len() == 8)?;
    u32::from_str_radix(digits, 16).ok()
}

// ---- frames -------------------------------------------------------------------------------------

/// Bytes of a record, and of what stands before the payload.
const RECORD: usize = 27;
const HEAD: usize = 9;
/// More engines than any list has.
const MOST: usize = 4096;

/// Bytes that no event can be read from. The connection is of no further use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// A length that no frame has.
    Length(u32),
    /// A kind that is none.
    Kind(u8),
    /// A state that is none.
    State(u8),
    /// Events are missing before this one.
    Gap(u64),
}

impl std::fmt::Display for FrameError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            FrameError::Length(n) => write!(f, "a frame of {n} bytes"),
            FrameError::Kind(k) => write!(f, "a frame of kind {k}"),
            FrameError::State(s) => write!(f, "an engine in state {s}"),
            FrameError::Gap(n) => write!(f, "events are missing before number {n}"),
        }
    }
}

impl std::error::Error for FrameError {}

/// What a frame tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame {
    /// Nothing new, or what was had before.
    Nothing,
    /// The next event.
    Next(Update),
}

/// Turns the bytes of one connection into events.
#[derive(Debug)]
pub struct Frames {
    last: u64,
    buf: Vec<u8>,
    used: usize,
}

impl Frames {
    /// For a connection that was asked for what follows this number.
    pub fn new(last: u64) -> Frames {
        Frames {
            last,
            buf: Vec::new(),
            used: 0,
        }
    }

    /// Takes bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buf.drain(..std::mem::take(&mut self.used));
        self.buf.extend_from_slice(bytes);
    }

    /// The next frame, once it is whole.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Result<Option<Frame>, FrameError> {
        let bytes = &self.buf[self.used..];
        let Some((length, rest)) = bytes.split_first_chunk() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*length);
        let size = length as usize;
        if !(HEAD..=HEAD + MOST * RECORD).contains(&size) || !(size - HEAD).is_multiple_of(RECORD) {
            return Err(FrameError::Length(length));
        }
        let Some(frame) = rest.get(..size) else {
            return Ok(None);
        };
        let frame = read(self.last, frame, length)?;
        self.used += 4 + size;
        if let Frame::Next(update) = &frame {
            self.last = update.number;
        }
        Ok(Some(frame))
    }
}

fn read(last: u64, frame: &[u8], length: u32) -> Result<Frame, FrameError> {
    let mut r = Reader(frame);
    let (number, kind) = (r.u64(), r.u8());
    let whole = match kind {
        0 if r.0.is_empty() => return Ok(Frame::Nothing),
        0 => return Err(FrameError::Length(length)),
        1 => true,
        2 => false,
        other => return Err(FrameError::Kind(other)),
    };
    if number <= last {
        return Ok(Frame::Nothing);
    }
    // Danger: a change that follows on one never had would be laid over the wrong list.
    if !whole && number != last + 1 {
        return Err(FrameError::Gap(number));
    }
    let mut members = Vec::with_capacity(r.0.len() / RECORD);
    while !r.0.is_empty() {
        members.push(r.member()?);
    }
    Ok(Frame::Next(Update {
        number,
        whole,
        members,
    }))
}

/// Reads big-endian numbers; past the end, zeros. Lengths are checked before.
struct Reader<'a>(&'a [u8]);

impl Reader<'_> {
    fn take<const N: usize>(&mut self) -> [u8; N] {
        let (head, rest) = self
            .0
            .split_first_chunk()
            .map_or(([0; N], &[][..]), |(h, r)| (*h, r));
        self.0 = rest;
        head
    }

    fn u8(&mut self) -> u8 {
        self.take::<1>()[0]
    }

    fn u32(&mut self) -> u32 {
        u32::from_be_bytes(self.take())
    }

    fn u64(&mut self) -> u64 {
        u64::from_be_bytes(self.take())
    }

    fn member(&mut self) -> Result<Member, FrameError> {
        let id = self.u32();
        let ip = Ipv4Addr::from(self.take::<4>());
        let port = u16::from_be_bytes(self.take());
        let phase = match self.u8() {
            0 => Phase::Ready,
            1 => Phase::Draining,
            2 => Phase::Gone,
            other => return Err(FrameError::State(other)),
        };
        let (zone, kind) = (Some(self.u8().into()), Some(self.u8().into()));
        let cell = u16::from_be_bytes(self.take()).into();
        let _weight = self.u32();
        let started_ms = self.u64();
        Ok(Member {
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
