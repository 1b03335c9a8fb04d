//! The statement protocol, without I/O: messages, headers, paging tokens, states and errors.
//!
//! Source: the client REST API and the discovery protocol in Trino's public documentation. Data that the specification
//! does not cover (load reports, progress, options of an attempt) is sent in optional headers that start with
//! `X-Hoptiller-`. Peers may omit these headers.

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

/// Path to which clients post statements.
pub const STATEMENT_PATH: &str = "/v1/statement";
