//! Time and identifiers that settings, events and actions share.

/// Time in whole microseconds, on the host's clock; it only advances.
pub type Micros = u64;

/// A request, named by the host; never reused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// An engine. It keeps its id when its process restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineId(pub u32);

/// An ordering key, interned by the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyId(pub u64);
