//! Time and identifiers used by settings, events and actions.

/// Point in time on the host's monotonic clock, or a duration, in whole microseconds.
pub type Micros = u64;

/// Identifier of a request, assigned by the host and never reused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Identifier of an engine; it stays the same when the engine's process restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineId(pub u32);

/// Identifier of an ordering key, interned by the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyId(pub u64);
