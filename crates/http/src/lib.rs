//! HTTP/1.1 for the routers and the mock servers: a codec without I/O ([`codec`]), and [`server`] and [`client`]
//! connections that use it.
//!
//! The codec follows RFC 9112 and is strict where lenient parsers may disagree with each other: bare line feeds, folded
//! lines, repeated or conflicting lengths and unsupported transfer codings are errors. This crate never retries a
//! request; an error tells whether the request may have reached the peer.

pub mod client;
mod coarse_timer;
pub mod codec;
mod headers;
mod io;
pub mod message;
pub mod server;
mod spawner;

pub use coarse_timer::{CoarseTimer, TICK};
pub use codec::{Decoder, Event, Limits, MessageKind, ParseError};
pub use headers::Headers;
pub use message::{Head, Method, Request, Response, StartLine, Status, Version};
pub use spawner::Spawner;
