//! Tests of task leases in simulated time: their assignment while routers join, leave and lose responses, and that at
//! most one router acts under the lease of a shard.

mod assignment;
mod cluster;
#[path = "../common.rs"]
mod common;
mod holding;
