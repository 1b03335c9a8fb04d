#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod attempts;
mod concurrency;
mod controller;
mod deadlines;
mod dispatch;
mod endpoints;
mod interface;
mod queues;
mod scheduler;
mod state;

pub use interface::{
    Action, Arrival, AttemptStatus, Class, DeduplicationScope, Discovery, EndpointEntry, EngineId, Event,
    Hold, HoldTarget, Idempotency, KeyId, Limits, ListScope, LoadReport, Micros, Outcome, Progress,
    Readiness, RequestId, RetryBudget, Rules, Settings, SettingsError,
};
pub use state::Controller;
