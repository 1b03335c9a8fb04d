//! The protocol of the coordination server, for routers, for the command line and between replicas: message bodies
//! ([`wire`]), authentication ([`secret`]), a [`client`], and a [`clock`] that includes time in suspend. The crate
//! [`hoptiller_coordination`] defines the replicated state.

#![warn(missing_docs)]

pub mod client;
pub mod clock;
mod pending_calls;
pub mod secret;
pub mod wire;

pub use client::{CallError, CoordinationClient};
pub use clock::Clock;
pub use secret::Secret;
