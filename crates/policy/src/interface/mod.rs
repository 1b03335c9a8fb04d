//! Input and output of the [`Controller`](crate::Controller): settings, events and actions. Plain data without
//! decisions.

mod actions;
mod events;
mod ids;
mod settings;

pub use actions::Action;
pub use events::{
    Arrival, AttemptStatus, EndpointEntry, Event, Hold, HoldTarget, ListScope, LoadReport, Outcome,
    Progress, Readiness,
};
pub use ids::{EngineId, KeyId, Micros, RequestId};
pub use settings::{
    Class, DeduplicationScope, Discovery, Idempotency, Limits, RetryBudget, Rules, Settings,
    SettingsError,
};
