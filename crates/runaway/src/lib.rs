//! Statements that run far longer and heavier than their kind should: found, named, held, ended by rule.
//!
//! [`RunawayDetector`] is fed with attempts' starts, what engines tell of them, and their ends; it yields [`Decision`]s. It
//! does no I/O and has no clock: same events, same decisions. What it holds is carried out by the routing
//! decisions (`hoptiller_policy::Event::Hold`), so that every send still passes their one door.
//!
//! - [`interface`]: what goes in and comes out.
//! - [`expect`]: what is usual for a kind, a class, an announced size.
//! - [`watch`]: the attempts that are out, and what engines tell of them.
//! - [`judge`]: the verdicts on them.
//! - `others`: those of other routers and of earlier lives; `acts`: what is done about them.
//! - [`change`]: whether all of a kind run long.
//! - [`findings`]: verdicts that stand, and those that did.
//! - [`blame`]: who stands behind whom.
//! - [`engines`]: how slow each engine is by itself.
//! - [`hold`]: how many of a kind may run, where, and how that grows back.
//! - [`ending`]: what may be said of a statement that was ended.
//! - [`snapshot`]: what survives a restart.

mod acts;
pub mod blame;
pub mod change;
pub mod ending;
pub mod engines;
pub mod expect;
pub mod findings;
pub mod hold;
pub mod interface;
pub mod judge;
mod others;
mod sketch;
pub mod snapshot;
pub mod watch;

pub use ending::{Proof, Verdict as EndingVerdict, answer_after_end};
pub use interface::*;
pub use snapshot::SnapshotError;
pub use watch::RunawayDetector;
