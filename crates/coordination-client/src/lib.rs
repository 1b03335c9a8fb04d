//! How keepers are spoken to, for routers, for the command line and for keepers among each other: the bodies of their
//! calls ([`wire`]), what authenticates them ([`secret`]), a [`client`], and a [`clock`] that counts time asleep. The
//! decisions are [`hoptiller_coordination`]'s.

pub mod client;
pub mod clock;
pub mod secret;
pub mod wire;

pub use client::{Keepers, Unreached};
pub use clock::Clock;
pub use secret::Secret;
