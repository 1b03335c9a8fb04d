//! The seven rules, judged from records of what passed on the sockets: what clients sent and were answered,
//! what reached engines, what discovery and engines told routers. Nothing here asks a router.

pub mod judge;
pub mod leases;
pub mod record;

pub use judge::{Agreement, Break, Class, Rules, Tally, Verdict, judge};
pub use leases::Leases;
pub use record::{How, Record, Recorder, now, read_dir};
