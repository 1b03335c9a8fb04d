//! The statement protocol, without I/O: messages, headers, paging tokens, states and errors.
//!
//! Source: the client REST API and the discovery protocol in Trino's public documentation. What that
//! specification lacks (a load report, notes of progress, terms of an attempt) travels in optional headers
//! that start with `X-Hoptiller-`; a peer that leaves them out is served all the same.

pub mod client;
pub mod discovery;
pub mod error;
pub mod extra;
pub mod ids;
pub mod results;
pub mod token;

pub use client::{ClientHeaders, HeaderError};
pub use error::{ErrorName, ErrorType};
pub use ids::QueryId;
pub use results::{Column, QueryError, QueryResults, State, Stats};
pub use token::{Key, Known, Phase, Repeat, Token, TokenError};

/// The path that statements are posted to.
pub const STATEMENT: &str = "/v1/statement";
