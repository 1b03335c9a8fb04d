#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod admission;
mod attempt;
mod attempt_progress;
mod capacity;
mod class_queue;
mod class_statistics;
mod completion;
mod concurrency_limit;
mod congestion_window;
mod controller;
mod endpoint_list;
mod endpoint_selection;
mod engine;
mod engine_health;
mod health_check;
mod hold;
mod idempotency;
mod interface;
mod intervals;
mod load;
mod memory_grant;
mod ordering_key;
mod outlier_detection;
mod priority;
mod rendezvous;
mod reported_value;
mod request;
mod retry;
mod scheduler;
mod slow_start;
mod units;

pub use controller::Controller;
pub use interface::{
    Action, Arrival, AttemptStatus, Class, DeduplicationScope, Discovery, EndpointEntry, EngineId,
    Event, Hold, HoldTarget, Idempotency, KeyId, Limits, ListScope, LoadReport, Micros, Outcome,
    Progress, Readiness, RequestId, RetryBudget, Rules, Settings, SettingsError,
};
pub use retry::RetryUsage;
