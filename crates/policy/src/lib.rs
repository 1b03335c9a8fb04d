#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod control;
mod interface;

pub use control::Controller;
pub use interface::*;
