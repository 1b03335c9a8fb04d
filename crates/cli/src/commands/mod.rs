//! The subcommands. Each module has the arguments of its command and a function `run` that returns the exit code.

pub(crate) mod audit;
pub(crate) mod beliefs;
pub(crate) mod check;
pub(crate) mod day;
pub(crate) mod demo;
pub(crate) mod experiment;
pub(crate) mod fleet;
pub(crate) mod keep;
pub(crate) mod node;
pub(crate) mod route;
pub(crate) mod runaways;
mod service;
pub(crate) mod settings;
pub(crate) mod standin;

use serde::Serialize;

/// Prints a value as indented JSON.
fn print_json(value: &impl Serialize) {
    println!(
        "{}",
        serde_json::to_string_pretty(value).unwrap_or_default()
    );
}
