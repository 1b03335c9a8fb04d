//! Scenarios of a whole fleet: a file says what it consists of, what clients do, and which versions are proposed and which
//! faults happen when. Events may also be drawn from a seed: the same seed draws the same ones.

mod event;
mod random_events;
mod report;
mod rollouts;
mod run;
mod scenario;
mod timeline;

pub use event::{ScenarioEvent, ScheduledEvent};
pub use report::{FleetReport, Outcome, OutcomeEntry, percentile};
pub use run::RunOptions;
pub use scenario::FleetScenario;
pub use timeline::Timeline;
