//! The statement protocol, without I/O: messages, headers, paging tokens, states and errors.
//!
//! Source: the client REST API and the discovery protocol in Trino's public documentation. What that
//! specification lacks (load reports, progress, options of an attempt) travels in optional headers that start
//! with `X-Hoptiller-`; a peer that leaves them out is served all the same.

#![warn(missing_docs)]

pub mod client;
pub mod discovery;
mod duration;
mod error;
pub mod extra;
mod query_id;
mod results;
mod token;

pub use client::{ClientHeaders, HeaderError};
pub use duration::parse_duration;
pub use error::{ErrorName, ErrorType};
pub use query_id::QueryId;
pub use results::{FailureInfo, QueryError, QueryResults, State, Stats};
pub use token::{Idempotency, PageToken, Phase, RecoveryState, TokenError, TokenKey};

/// The path that statements are posted to.
pub const STATEMENT_PATH: &str = "/v1/statement";
