//! Forwards the list of engines to the policy.

use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

use hoptiller_policy::{EndpointEntry, EngineId, ListScope, Micros, Readiness};

use super::Service;
use crate::discovery::EndpointListener;

impl EndpointListener for Service {
    fn now(&self) -> Micros {
        self.context.event_loop().now()
    }

    fn endpoints_changed(&self, scope: ListScope, mut entries: Vec<EndpointEntry>) {
        if scope != ListScope::Failed {
            self.mark_draining_by_configuration(&mut entries);
            let by_engine = entries.iter().map(|entry| (entry.engine, entry.clone()));
            *self.listed_engines.borrow_mut() = by_engine.collect();
            self.context.set_listed_engines(entries.len());
            tracing::info!(engines = entries.len(), "engine list changed");
        }
        self.context
            .with_core(|core, now| core.update_endpoints(now, scope, entries));
    }

    fn address_changed(&self, engine: EngineId, name: &str, addr: SocketAddr) {
        self.context.engines().update_address(engine, name, addr);
    }
}

impl Service {
    /// Marks engines as draining if the fleet configuration does not let them accept new statements.
    fn mark_draining_by_configuration(&self, entries: &mut [EndpointEntry]) {
        let Some(member) = self.context.fleet_member() else {
            return;
        };
        for entry in entries {
            let name = self.context.engine_name(entry.engine);
            if !member.accepts_work(&name, self.started_at_ms(entry)) {
                entry.readiness = Readiness::Draining;
            }
        }
    }

    /// Returns the start time of an engine's process in ms since 1970.
    pub(super) fn started_at_ms(&self, entry: &EndpointEntry) -> u64 {
        let age = self
            .context
            .event_loop()
            .now()
            .saturating_sub(entry.ready_at);
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |elapsed| elapsed.as_micros() as u64);
        now.saturating_sub(age) / 1000
    }
}
