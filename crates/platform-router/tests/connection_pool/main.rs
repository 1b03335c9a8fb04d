//! The connection pool.

#[path = "../common/mod.rs"]
mod common;
mod connections;
mod not_sent;
mod support;
