//! Scenarios of routers without a coordination store. A file specifies the routers, engines, clients and timed faults.
//! Faults affect engines, discovery and processes, but not the connections between them.

mod clients;
mod cluster;
mod duration;
mod event;
mod http_call;
mod router_process;
mod run;
mod scenario;

pub use clients::{RouterClientDraws, RouterLoadConfig, RouterWorkloadClass};
pub use event::{RouterEvent, ScheduledRouterEvent};
pub use run::{Progress, RouterRunOptions};
pub use scenario::{RouterEngineSpec, RouterScenario};
