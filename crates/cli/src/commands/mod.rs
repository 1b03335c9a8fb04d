//! The sub-commands.

pub mod audit;
pub mod check;
pub mod demo;
pub mod route;
pub mod standin;
