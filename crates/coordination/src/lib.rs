//! Settings and lists of a whole fleet, in numbered versions on which its routers agree, so that no two act on rules
//! that contradict each other. Decisions only: no I/O, no clock, no threads; time is fed in.
//!
//! [`document`] holds the settings, [`meet`] what contradicts neither of two versions, [`fleet`] the state that keepers
//! replicate, with the course of a change from proposed to in force, [`permit`] the times on both sides, [`follower`]
//! a router's side, [`lease`] which router does a task for all, [`tenant`] its side of that, [`lists`] lists of engines that several have seen.

pub mod document;
pub mod fleet;
pub mod follower;
pub mod lease;
pub mod lists;
pub mod meet;
mod pairs;
pub mod permit;
pub mod plant;
mod span;
pub mod tenant;

pub use document::{Document, Flaw};
pub use fleet::{Act, Answer, Fleet, Granted, Holder, Number, Put, Refused, Version};
pub use follower::Follower;
pub use lease::{Leases, Offer, Part, Task};
pub use meet::{Change, Difference, Meet};
pub use permit::{Bounds, Micros, Permit, Terms};
pub use span::Span;
pub use tenant::{Right, Tenant};
