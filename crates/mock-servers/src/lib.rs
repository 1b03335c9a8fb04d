//! Stand-ins, written from public specifications: engines that model work and burn none, a discovery service,
//! scripted clients. They fail on purpose, and record what passes on their sockets.

pub mod client;
pub mod discovery;
pub mod engine;
pub mod fault;
mod lease;
pub mod ledger;
pub mod model;
pub mod shape;
mod thread;

pub use thread::Running;
