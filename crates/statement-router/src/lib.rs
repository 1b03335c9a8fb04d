//! The router: takes statements, lets the decision module say where each goes, and carries that out.
//!
//! Dependencies point one way: [`settings`], [`hoptiller_router_core`] and [`membership`] know nothing of sockets; [`engines`],
//! [`discovery`], [`agreed`], [`leased`] and [`fronts`] move bytes and decide nothing; what these ask of a running router is at
//! its [`desk`];
//! [`service`] ties them together.

pub mod agreed;
pub mod desk;
pub mod discovery;
pub mod engines;
pub mod fronts;
pub mod learnt;
pub mod leased;
pub mod membership;
pub mod restart;
pub mod service;
pub mod settings;

pub use service::{Service, Stopped};
pub use settings::{Problem, Settings};
