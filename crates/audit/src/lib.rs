//! The seven rules, judged from records of what passed on the sockets: what clients sent and were answered,
//! what reached engines, what discovery and engines told routers. Nothing here asks a router.

pub mod judge;
pub mod leases;
pub mod record;

pub use judge::{
    ClassRules, ClassTally, RetryBudget, Rules, Verdict, VersionOverlap, VersionRules, Violation,
    judge,
};
pub use leases::LeaseReport;
pub use record::{
    MalformedLine, Outcome, Record, Recorder, SentVersions, read_records, unix_micros,
};
