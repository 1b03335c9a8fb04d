//! Decisions of a query gateway that keeps short and long queries apart on shared engines.
//!
//! Sans-IO: the host feeds [`Event`]s with its clock and carries out [`Action`]s.
//!
//! ```
//! use hoptiller::*;
//!
//! let lookup = Class {
//!     aim: 1_000_000, aim_stretch: 2.0, deadline: 5_000_000, effect: Effect::Pure, in_turn: false,
//!     late_worth: 0.1, worth: 1.0, zones: None, kinds: None, threads: 1.0,
//! };
//! let settings = Settings {
//!     gateways: 1, tick: 5_000, classes: vec![lookup], cores: vec![8.0], tenants: vec![],
//!     over_share_worth: 1.0, bills: false, marks_retry: false, discovery: Discovery::Push,
//!     limits: Limits {
//!         max_attempts: 3, second_copies: false, retry_after: true, max_retry_after: 1_000_000, priorities: false,
//!     },
//!     rules: Rules {
//!         start_capacity: 0.3, ramp_time: 10_000_000, overload_factor: 3.0, fall: 1_000_000,
//!         order_pause: 0, retry_budget: None, ask_within: 10_000_000,
//!     },
//! };
//! let mut router = Controller::new(settings, 7)?;
//! let engine = Entry {
//!     engine: EngineId(1), zone: None, kind: Some(0), cell: 0, ready_at: 0, readiness: Readiness::Up,
//! };
//! let query = Arrival {
//!     request: RequestId(1), class: 0, tenant: None, key: None, valid_until: 6_000_000, guess: None, retry: false,
//! };
//! let mut actions = Vec::new();
//! let events = [Event::List(Scope::All, vec![engine]), Event::Arrival(query)];
//! router.handle(1_000_000, &events, &mut actions);
//! assert!(actions.contains(&Action::Send { request: RequestId(1), engine: EngineId(1), not_past: None }));
//! # Ok::<(), SettingsError>(())
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod control;
mod interface;

pub use control::Controller;
pub use interface::*;
