//! The protocol of the coordination server, for routers, for the command line and between replicas: message bodies
//! ([`wire`]), authentication ([`secret`]), a [`client`], and a [`clock`] that counts time asleep. The replicated state
//! itself is [`hoptiller_coordination`]'s.

#![warn(missing_docs)]

pub mod client;
pub mod clock;
pub mod secret;
pub mod wire;

pub use client::{CallError, CoordinationClient};
pub use clock::Clock;
pub use secret::Secret;
