//! The front ends: the statement API for clients, and the administration API.

pub mod admin_api;
mod query_results;
pub mod statement_api;
mod statement_info;
mod submission;
