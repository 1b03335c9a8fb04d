//! Rollouts of versions with disconnected routers, late and lost responses, and clocks that run at different rates: no
//! two routers ever enforce versions that contradict each other.

#[path = "../common.rs"]
mod common;
mod leases;
mod proposals;
mod random_executions;
mod support;
