//! Fronts: each speaks one protocol with clients, on the same core and under the same rules.

pub mod admin;
pub mod http;
mod render;
