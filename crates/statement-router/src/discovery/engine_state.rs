//! Reads the state and the uptime of each listed engine.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_io::Timer;
use hoptiller_coordination::{Shard, Task};
use hoptiller_fleet_tasks::{
    EngineObservation, EngineObservations, TaskAssignment, health_check_shard,
};
use hoptiller_http::Spawner;
use hoptiller_policy::Micros;
use hoptiller_statement::discovery::{NodeInfo, NodeState};
use hoptiller_statement::parse_duration;

use super::adaptive_timeout::AdaptiveTimeout;
use super::{Discovery, EndpointListener, ShardObservations};
use crate::fleet_member::LeasedOperation;

const INFO_PATH: &str = "/v1/info";
const STATE_PATH: &str = "/v1/info/state";

/// The state that an engine reports of itself; a field is `None` if the engine did not respond.
struct EngineReading {
    uptime: Option<Duration>,
    state: Option<NodeState>,
}

/// The server of an engine, and the timeout of requests to it.
#[derive(Clone, Copy)]
struct EngineServer<'a> {
    addr: SocketAddr,
    timeout: &'a RefCell<AdaptiveTimeout>,
}

impl Discovery {
    /// Starts a watching task for each listed engine that has none.
    pub(super) fn start_engine_watchers(
        self: &Rc<Self>,
        spawner: &Spawner,
        listener: &Rc<dyn EndpointListener>,
    ) {
        for name in self.engine_names() {
            if self.watched_engines.borrow_mut().insert(name.clone()) {
                let (discovery, listener) = (self.clone(), listener.clone());
                spawner.spawn(async move {
                    discovery.watch_engine(&name, listener.as_ref()).await;
                    discovery.watched_engines.borrow_mut().remove(&name);
                });
            }
        }
    }

    /// Reads the state of an engine at the configured interval for as long as the engine is listed.
    async fn watch_engine(&self, name: &str, listener: &dyn EndpointListener) {
        let timeout = RefCell::new(AdaptiveTimeout::new(self.settings.discovery.timeout));
        loop {
            let addr = self.endpoints.borrow().address(name);
            let Some(addr) = addr else { return };
            let shard = self.health_check_shard(name);
            let assignment =
                shard.map_or(TaskAssignment::EachRouter, |shard| self.assignment(shard));
            match assignment {
                TaskAssignment::Remote(note) => self.apply_note(name, &note, listener.now()),
                assignment => {
                    let server = EngineServer {
                        addr,
                        timeout: &timeout,
                    };
                    self.read_engine(name, server, &assignment, shard, listener)
                        .await;
                }
            }
            self.publish(listener);
            Timer::after(self.settings.discovery.state_interval).await;
        }
    }

    fn health_check_shard(&self, engine: &str) -> Option<Shard> {
        let member = self.fleet_member.as_ref()?;
        health_check_shard(engine, member.shard_count(Task::HealthCheck))
    }

    /// Applies an observation of another router.
    fn apply_note(&self, name: &str, note: &str, now: Micros) {
        let observations = EngineObservations::from_note(note);
        let Some(observation) = observations.get(name) else {
            return;
        };
        let uptime = unix_millis().saturating_sub(observation.started_at_ms);
        let state = match observation.draining {
            true => NodeState::ShuttingDown,
            false => NodeState::Active,
        };
        let mut endpoints = self.endpoints.borrow_mut();
        endpoints.update_uptime(now, name, Duration::from_millis(uptime));
        endpoints.update_state(name, state);
    }

    /// Reads the state of an engine, for this router or for the whole fleet.
    async fn read_engine(
        &self,
        name: &str,
        server: EngineServer<'_>,
        assignment: &TaskAssignment,
        shard: Option<Shard>,
        listener: &dyn EndpointListener,
    ) {
        let operation = shard.map_or(Ok(None), |shard| self.begin(assignment, shard));
        let Ok(operation) = operation else { return };
        let reading = self.request_state(server, operation.as_ref()).await;
        if let Some(uptime) = reading.uptime {
            let mut endpoints = self.endpoints.borrow_mut();
            endpoints.update_uptime(listener.now(), name, uptime);
        }
        if let Some(state) = reading.state {
            self.endpoints.borrow_mut().update_state(name, state);
        }
        if let (Some(operation), Some(uptime), Some(state)) =
            (&operation, reading.uptime, reading.state)
        {
            let observation = EngineObservation {
                started_at_ms: unix_millis().saturating_sub(uptime.as_millis() as u64),
                draining: state == NodeState::ShuttingDown,
            };
            self.record_observation(operation, name, observation);
        }
    }

    async fn request_state(
        &self,
        server: EngineServer<'_>,
        operation: Option<&LeasedOperation>,
    ) -> EngineReading {
        let mut reading = EngineReading {
            uptime: None,
            state: None,
        };
        let EngineServer { addr, timeout } = server;
        if let Ok(response) = self.get(addr, INFO_PATH, operation, timeout).await
            && let Ok(info) = serde_json::from_slice::<NodeInfo>(&response.body)
        {
            reading.uptime = parse_duration(&info.uptime);
        }
        if let Ok(response) = self.get(addr, STATE_PATH, operation, timeout).await {
            reading.state = serde_json::from_slice(&response.body).ok();
        }
        reading
    }

    /// Records an observation for the other routers. Under a new lease, the observations start from the note of the
    /// previous holder.
    fn record_observation(
        &self,
        operation: &LeasedOperation,
        name: &str,
        observation: EngineObservation,
    ) {
        let Some(member) = &self.fleet_member else {
            return;
        };
        let mut observations = self.observations.borrow_mut();
        let shard = observations.entry(operation.shard()).or_default();
        if shard.fencing_token != operation.fencing_token() {
            let note = member.last_note(operation.shard());
            let engines = note.as_deref().map(EngineObservations::from_note);
            *shard = ShardObservations {
                fencing_token: operation.fencing_token(),
                engines: engines.unwrap_or_default(),
            };
        }
        let listed = self.engine_names().into_iter().collect();
        if shard.engines.record(name, observation) | shard.engines.retain(&listed) {
            operation.record_note(shard.engines.to_note());
        }
    }
}

fn unix_millis() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
