//! Scenarios of a whole fleet. A file specifies the components of the fleet, the client load, and the times of
//! proposals and faults. Events can also be drawn at random; the same seed gives the same events.

mod event;
mod random_events;
mod report;
mod rollouts;
mod run;
mod scenario;
mod timeline;

pub use event::{ScenarioEvent, ScheduledEvent};
pub use report::{FleetReport, LoggedEvent, Outcome, percentile};
pub use run::RunOptions;
pub use scenario::FleetScenario;
pub use timeline::Timeline;
