//! Reads the list of engines from discovery, and the state of each engine from the engine itself.
//!
//! In a fleet with these tasks, the holder of a task lease performs them for all routers, and the others use its
//! notes. The readings are interpreted in [`endpoint_list`](crate::endpoint_list).

mod adaptive_timeout;
mod engine_state;
mod request;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

use async_io::Timer;
use event_listener::Event;
use futures_lite::future;
use hoptiller_coordination::Shard;
use hoptiller_fleet_tasks::{DISCOVERY_SHARD, EngineObservations, TaskAssignment};
use hoptiller_http::Spawner;
use hoptiller_http::client::ClientError;
use hoptiller_policy::{EndpointEntry, EngineId, ListScope, Micros};
use hoptiller_statement::discovery::{ENGINE_SERVICE_TYPE, SERVICE_PATH, Services};

use crate::endpoint_list::EndpointList;
use crate::fleet_member::{FleetMember, LeasedOperation};
use crate::settings::Settings;
use adaptive_timeout::AdaptiveTimeout;

/// Consecutive failed reads after which another router takes over reading the list.
const MAX_FAILED_READS: u32 = 3;

/// A receiver of changes of the engine list.
pub trait EndpointListener {
    /// Returns the time, by the clock of the core.
    fn now(&self) -> Micros;

    /// Called when the list has changed, or, with [`ListScope::Failed`] and no entries, when it could not be read.
    fn endpoints_changed(&self, scope: ListScope, entries: Vec<EndpointEntry>);

    /// Called with the name and the address of each listed engine on every update, changed or not.
    fn address_changed(&self, engine: EngineId, name: &str, addr: SocketAddr);
}

/// An error of reading the list from discovery.
#[derive(Debug, thiserror::Error)]
enum ListError {
    #[error(transparent)]
    Exchange(#[from] ClientError),
    #[error("discovery responded with status {0}, expected 200")]
    Status(u16),
    #[error("the response is not a service list: {0}")]
    Invalid(#[source] serde_json::Error),
}

/// The error that the task lease does not allow an operation now.
#[derive(Debug, thiserror::Error)]
#[error("the task lease does not allow an operation now")]
struct LeaseUnavailable;

/// The reader of discovery and of the engines' states for one router.
pub struct Discovery {
    settings: Rc<Settings>,
    endpoints: RefCell<EndpointList>,
    /// Names of the engines whose state a task reads.
    watched_engines: RefCell<HashSet<String>>,
    fleet_member: Option<Rc<FleetMember>>,
    observations: RefCell<BTreeMap<Shard, ShardObservations>>,
    is_failing: Cell<bool>,
    /// Consecutive failed reads since the task was last handed over.
    failed_reads: Cell<u32>,
    list_timeout: RefCell<AdaptiveTimeout>,
    refresh_requested: Event,
}

/// The observations that this router has made for the fleet under one lease.
#[derive(Default)]
struct ShardObservations {
    fencing_token: u64,
    engines: EngineObservations,
}

impl Discovery {
    /// Creates a reader that knows no engine yet. Without a fleet member, this router reads everything itself.
    pub fn new(settings: Rc<Settings>, fleet_member: Option<Rc<FleetMember>>) -> Rc<Discovery> {
        let endpoints = EndpointList::new(
            &settings.discovery.environment,
            kind_names(&settings),
            settings.zones.clone(),
        );
        let list_timeout = AdaptiveTimeout::new(settings.discovery.timeout);
        Rc::new(Discovery {
            settings,
            endpoints: RefCell::new(endpoints),
            watched_engines: RefCell::default(),
            fleet_member,
            observations: RefCell::default(),
            is_failing: Cell::new(false),
            failed_reads: Cell::new(0),
            list_timeout: RefCell::new(list_timeout),
            refresh_requested: Event::new(),
        })
    }

    /// Applies the kinds and zones of changed settings and reports the list again.
    pub fn update_settings(&self, settings: &Settings, listener: &dyn EndpointListener) {
        self.endpoints
            .borrow_mut()
            .set_kinds_and_zones(kind_names(settings), settings.zones.clone());
        self.publish(listener);
    }

    /// Requests an immediate read of the list.
    pub fn refresh(&self) {
        self.refresh_requested.notify(1);
    }

    /// Reads the list at its interval, when a read is requested, and when task leases have changed. Never returns.
    pub async fn run(self: Rc<Self>, spawner: Spawner, listener: Rc<dyn EndpointListener>) {
        let mut applied_note = String::new();
        loop {
            let leases_changed = self
                .fleet_member
                .as_ref()
                .map(|member| member.listen_leases_changed());
            match self.assignment(DISCOVERY_SHARD) {
                TaskAssignment::Remote(note) => {
                    if note != applied_note {
                        if let Ok(list) = serde_json::from_str::<Services>(&note) {
                            self.apply_list(&list, &spawner, &listener);
                        }
                        applied_note = note;
                    }
                }
                assignment => {
                    applied_note.clear();
                    self.read_list(&assignment, &spawner, &listener).await;
                }
            }
            let refresh_requested = self.refresh_requested.listen();
            let interval = async {
                Timer::after(self.settings.discovery.list_interval).await;
            };
            let leases_changed = async {
                match leases_changed {
                    Some(changed) => changed.await,
                    None => future::pending().await,
                }
            };
            future::or(interval, future::or(refresh_requested, leases_changed)).await;
        }
    }

    /// Returns which router performs a shard of a task now.
    fn assignment(&self, shard: Shard) -> TaskAssignment {
        match &self.fleet_member {
            Some(member) => member.assignment(shard),
            None => TaskAssignment::EachRouter,
        }
    }

    /// Begins an operation on a shard: under its lease for the whole fleet, or without a lease for this router alone.
    fn begin(
        &self,
        assignment: &TaskAssignment,
        shard: Shard,
    ) -> Result<Option<LeasedOperation>, LeaseUnavailable> {
        match (assignment, &self.fleet_member) {
            (TaskAssignment::Local, Some(member)) => member
                .begin_operation(shard)
                .map(Some)
                .ok_or(LeaseUnavailable),
            _ => Ok(None),
        }
    }

    /// Reads the list from discovery, for this router or for the whole fleet.
    async fn read_list(
        self: &Rc<Self>,
        assignment: &TaskAssignment,
        spawner: &Spawner,
        listener: &Rc<dyn EndpointListener>,
    ) {
        let Ok(operation) = self.begin(assignment, DISCOVERY_SHARD) else {
            return;
        };
        match self.request_list(operation.as_ref()).await {
            Ok(list) => {
                self.is_failing.set(false);
                if let Some(operation) = &operation {
                    operation.record_note(serde_json::to_string(&list).unwrap_or_default());
                }
                self.apply_list(&list, spawner, listener);
            }
            Err(error) => self.report_failure(&error, listener.as_ref()),
        }
        self.hand_over_after_failures(operation);
    }

    async fn request_list(
        &self,
        operation: Option<&LeasedOperation>,
    ) -> Result<Services, ListError> {
        let discovery = &self.settings.discovery;
        let target = format!("{SERVICE_PATH}{ENGINE_SERVICE_TYPE}/general");
        let response = self
            .get(discovery.address, &target, operation, &self.list_timeout)
            .await?;
        if response.status.0 != 200 {
            return Err(ListError::Status(response.status.0));
        }
        serde_json::from_slice(&response.body).map_err(ListError::Invalid)
    }

    fn report_failure(&self, error: &ListError, listener: &dyn EndpointListener) {
        if !self.is_failing.replace(true) {
            tracing::warn!(%error, "discovery not read; the last list is used");
        }
        listener.endpoints_changed(ListScope::Failed, Vec::new());
    }

    /// Hands the task over after repeated failures. A router that alone cannot reach discovery would otherwise keep
    /// the others on an old list for as long as it holds the lease.
    fn hand_over_after_failures(&self, operation: Option<LeasedOperation>) {
        let failed_reads = match self.is_failing.get() {
            true => self.failed_reads.get() + 1,
            false => 0,
        };
        self.failed_reads.set(failed_reads);
        if let Some(operation) = operation
            && failed_reads >= MAX_FAILED_READS
        {
            tracing::warn!(failed_reads, "discovery handed over to another router");
            operation.hand_over();
            self.failed_reads.set(0);
        }
    }

    fn apply_list(
        self: &Rc<Self>,
        list: &Services,
        spawner: &Spawner,
        listener: &Rc<dyn EndpointListener>,
    ) {
        let errors = self.endpoints.borrow_mut().update(listener.now(), list);
        for error in errors {
            tracing::debug!(%error, "engine list entry skipped");
        }
        self.publish(listener.as_ref());
        self.start_engine_watchers(spawner, listener);
    }

    fn publish(&self, listener: &dyn EndpointListener) {
        let mut endpoints = self.endpoints.borrow_mut();
        for endpoint in endpoints.endpoints() {
            listener.address_changed(endpoint.id, &endpoint.name, endpoint.addr);
        }
        if let Some(entries) = endpoints.take_changed() {
            listener.endpoints_changed(ListScope::All, entries);
        }
    }

    fn engine_names(&self) -> Vec<String> {
        let endpoints = self.endpoints.borrow();
        let names = endpoints.endpoints().map(|endpoint| endpoint.name.clone());
        names.collect()
    }
}

fn kind_names(settings: &Settings) -> Vec<String> {
    settings
        .kinds
        .iter()
        .map(|kind| kind.name.clone())
        .collect()
}
