//! Task leases in simulated time: their assignment while routers join, leave and lose responses, and that no router acts
//! under another's lease.

mod assignment;
mod cluster;
#[path = "../common.rs"]
mod common;
mod holding;
