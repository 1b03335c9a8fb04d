//! Keys of the table of single values. The strings are part of the stored format and must not change.

pub(super) const IDENTITY: &str = "identity";
pub(super) const INCARNATION: &str = "life";
pub(super) const WRITE_SEQUENCE: &str = "step";
pub(super) const PEERS: &str = "peers";
pub(super) const PROMISE: &str = "promise";
pub(super) const ACCEPTED_ROUND: &str = "accepted_round";
pub(super) const DECIDED: &str = "decided";
pub(super) const STOP_SIGN: &str = "stopsign";
pub(super) const COMPACTED: &str = "base";
pub(super) const SNAPSHOT: &str = "state";
pub(super) const MEMBERSHIP: &str = "members";
