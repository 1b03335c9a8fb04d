//! Our platform's protocol, without I/O: what clients ask ([`call`]) and are answered, what engines are sent and say
//! ([`engine`], [`rows`]), what the coordinator tells ([`coordinator`]), and how a router is set up ([`config`]).
//!
//! Every length is checked before anything is kept for it; no input is a panic.

pub mod call;
pub mod config;
pub mod coordinator;
pub mod engine;
pub mod group;
pub mod rows;

pub use call::{Call, CallError, Names};
pub use config::{Config, ConfigError};
pub use coordinator::{Frames, Member, Phase, Update};
pub use engine::{Answer, Lines, Said};
pub use rows::{Gather, RowsError};
