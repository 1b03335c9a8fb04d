//! A running router: the core with its front ends, engine client, discovery and fleet membership.

mod command_executor;
mod configuration;
mod endpoint_listener;
mod engine_observer;
mod finding_log;
mod shutdown;
mod startup;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};

use hoptiller_policy::{EndpointEntry, EngineId, Micros};
use hoptiller_router_core::StatementId;

use crate::context::RouterContext;
use crate::discovery::Discovery;
use crate::settings::Settings;
use crate::statistics_store::StatisticsStore;

pub use shutdown::ShutdownOutcome;

/// Time reserved before a client's timeout for the outcome of the last attempt, the decision and the response.
pub const RESPONSE_MARGIN: Micros = 150_000;

/// A running router.
pub struct Service {
    weak_self: Weak<Service>,
    /// The settings of the router's own file, without the fleet configuration.
    file_settings: Rc<Settings>,
    /// The engines of the last list.
    listed_engines: RefCell<HashMap<EngineId, EndpointEntry>>,
    context: Rc<RouterContext>,
    statistics_store: Option<StatisticsStore>,
    discovery: Rc<Discovery>,
    admin_addr: Cell<Option<SocketAddr>>,
}

impl Service {
    /// Returns the settings that apply now.
    pub fn settings(&self) -> Rc<Settings> {
        self.context.settings()
    }

    /// Returns the number of engines on the last list.
    pub fn listed_engines(&self) -> usize {
        self.context.listed_engines()
    }

    /// Returns the address of the administration API, or `None` if it is not served.
    pub fn admin_addr(&self) -> Option<SocketAddr> {
        self.admin_addr.get()
    }

    /// Returns the suffix of a statement's id, which identifies the statement in logs.
    fn statement_id_suffix(&self, id: StatementId) -> String {
        format!("{id:05}_{}", self.context.incarnation())
    }
}

/// Returns the names of the classes, by index.
fn class_names(settings: &Settings) -> Vec<String> {
    settings
        .classes
        .iter()
        .map(|class| class.name.clone())
        .collect()
}
