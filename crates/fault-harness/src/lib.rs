//! A whole fleet of processes on loopback: keepers, routers, stand-ins and clients, with a proxy on each link between
//! them that can be cut, slowed and reset ([`link`]), and processes that can be killed, stopped and gone on with
//! ([`process`]). What comes of it is judged from what crossed sockets, by [`hoptiller_audit`].

pub mod crowd;
pub mod day;
pub mod link;
pub mod process;
pub mod stage;

pub use crowd::{Clients, Crowd, Mix};
pub use day::{Day, Outcome};
pub use link::{Faults, Link, Way};
pub use process::Process;
pub use stage::{Layout, Stage};
