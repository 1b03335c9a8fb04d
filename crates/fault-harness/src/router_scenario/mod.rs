//! Scenarios of routers without a coordination store: a file says which routers, engines and clients there are, and what
//! goes wrong when. Faults are those of engines, discovery and processes; nothing is between them.

mod clients;
mod cluster;
mod duration;
mod event;
mod http_call;
mod router_process;
mod run;
mod scenario;

pub use clients::{ClientConfig, ClientDraws, StatementClassConfig};
pub use event::{RouterEvent, ScheduledRouterEvent};
pub use run::{Progress, RouterRunOptions};
pub use scenario::{RouterEngineSpec, RouterScenario};
