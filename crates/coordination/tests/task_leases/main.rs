//! Tests of task leases in simulated time: their assignment while routers join, leave and lose responses, and that at
//! most one router holds the lease of a shard by its own clock.

mod assignment;
mod cluster;
#[path = "../common.rs"]
mod common;
mod holding;
