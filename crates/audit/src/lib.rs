//! Checks rules 1 to 7 of [`Rule`], and the guarantees on configuration versions and leases (rules 8 and 9), against
//! records of the traffic on sockets: what clients submitted and received, what reached engines, and what discovery and
//! engines reported to routers. The state of routers is not consulted.

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
