//! Checks the seven rules, and what is promised of configuration versions and leases, from records of what passed on the
//! sockets: what clients submitted and were answered, what reached engines, what discovery and engines told routers.
//! No router is asked.

#![warn(missing_docs)]

mod judge;
mod reader;
mod record;
mod recorder;
mod rules;
mod verdict;

pub use judge::judge;
pub use reader::{MalformedLine, RecordFiles, read_records};
pub use record::{Outcome, Record, SentVersions};
pub use recorder::{Recorder, WriterPanicked, unix_micros};
pub use rules::{ClassRules, RetryBudget, Rules, VersionRules};
pub use verdict::{ClassTally, LeaseReport, Rule, Verdict, VersionOverlap, Violation};
