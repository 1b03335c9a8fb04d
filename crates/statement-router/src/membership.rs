//! Owns which engines there are, as far as discovery and the engines themselves have told: no I/O, no clock.
//!
//! Discovery's list names engines and where they are; it can be late and knows only whether a process runs.
//! Each engine tells its own state and how long it has run. A process that is younger than the one known is a
//! new one, even where the list has not noticed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use hoptiller_policy::{EndpointEntry, EngineId, Micros, Readiness};
use hoptiller_statement::discovery::{ENGINE_SERVICE_TYPE, NodeState, Service, Services};

/// Engines that one list may name; more are passed over.
const MOST: usize = 10_000;

/// An uptime that puts the start this much later than known tells of a new process. Less is the time that the
/// answer took, and the rounding of the text.
const NEW_PROCESS: Micros = 1_500_000;

/// An engine that is listed.
#[derive(Clone, Debug)]
pub struct Node {
    /// The engine, as the decision module knows it; kept for good.
    pub id: EngineId,
    /// Its name.
    pub name: String,
    /// Where it is.
    pub addr: SocketAddr,
    service: String,
    zone: Option<String>,
    kind: Option<String>,
    cell: u64,
    ready_at: Micros,
    told_uptime: bool,
    draining: bool,
}

/// The engines known.
#[derive(Debug, Default)]
pub struct Membership {
    environment: String,
    kinds: Vec<String>,
    zones: Vec<String>,
    ids: BTreeMap<String, EngineId>,
    nodes: BTreeMap<String, Node>,
    changed: bool,
}

impl Membership {
    /// Knows no engine yet; kinds and zones are those of the settings, in their order.
    pub fn new(environment: &str, kinds: Vec<String>, zones: Vec<String>) -> Membership {
        Membership {
            environment: environment.to_owned(),
            kinds,
            zones,
            ..Membership::default()
        }
    }

    /// Takes a complete list. What it lacks is gone. Returns what was passed over, and why.
    pub fn list(&mut self, now: Micros, list: &Services) -> Vec<String> {
        let mut passed = Vec::new();
        let mut nodes = BTreeMap::new();
        for service in list
            .services
            .iter()
            .filter(|s| s.kind == ENGINE_SERVICE_TYPE)
        {
            if nodes.len() == MOST {
                passed.push(format!("more than {MOST} engines"));
                break;
            }
            match self.node(now, list, service) {
                Err(why) => passed.push(format!("{:?}: {why}", service.node_id)),
                Ok(node) if nodes.contains_key(&node.name) => {
                    passed.push(format!("{:?}: listed twice", node.name));
                }
                Ok(node) => {
                    nodes.insert(node.name.clone(), node);
                }
            }
        }
        let same = nodes.len() == self.nodes.len()
            && nodes
                .values()
                .zip(self.nodes.values())
                .all(|(a, b)| a.name == b.name && a.service == b.service);
        self.changed |= !same;
        self.nodes = nodes;
        passed
    }

    fn node(&mut self, now: Micros, list: &Services, s: &Service) -> Result<Node, String> {
        if list.environment != self.environment {
            return Err(format!(
                "environment {:?}, not {:?}",
                list.environment, self.environment
            ));
        }
        if s.node_id.is_empty() || s.node_id.len() > 128 {
            return Err("a node id of 1 to 128 bytes is wanted".into());
        }
        let uri = s.properties.get("http").ok_or("no property http")?;
        let addr = uri
            .strip_prefix("http://")
            .unwrap_or(uri)
            .trim_end_matches('/');
        let addr: SocketAddr = addr
            .parse()
            .map_err(|_| format!("{uri:?} is no http://address:port"))?;
        if let Some(known) = self.nodes.get(&s.node_id)
            && known.service == s.id
            && known.addr == addr
        {
            return Ok(known.clone());
        }
        let fresh = EngineId(u32::try_from(self.ids.len()).map_err(|_| "too many engines seen")?);
        let id = *self.ids.entry(s.node_id.clone()).or_insert(fresh);
        let zone = s.location.split('/').find(|part| !part.is_empty());
        Ok(Node {
            id,
            name: s.node_id.clone(),
            addr,
            service: s.id.clone(),
            zone: zone.map(str::to_owned),
            kind: s.properties.get("kind").cloned(),
            cell: s
                .properties
                .get("cell")
                .and_then(|c| c.parse().ok())
                .unwrap_or(0),
            // Danger: one whose age is not known may be cold; taken for warm it could be pushed over.
            ready_at: now,
            told_uptime: false,
            draining: false,
        })
    }

    /// An engine has told its state.
    pub fn state(&mut self, name: &str, state: NodeState) {
        if let Some(node) = self.nodes.get_mut(name) {
            let draining = state == NodeState::ShuttingDown;
            self.changed |= node.draining != draining;
            node.draining = draining;
        }
    }

    /// An engine has told how long it has run.
    pub fn uptime(&mut self, now: Micros, name: &str, uptime: Duration) {
        if let Some(node) = self.nodes.get_mut(name) {
            let started = now.saturating_sub(uptime.as_micros() as Micros);
            let newer = started > node.ready_at.saturating_add(NEW_PROCESS);
            if !node.told_uptime || newer {
                self.changed |= node.ready_at != started;
                (node.ready_at, node.told_uptime) = (started, true);
                node.draining &= !newer;
            }
        }
    }

    /// The engines listed.
    pub fn nodes(&self) -> impl Iterator<Item = &Node> {
        self.nodes.values()
    }

    /// Kinds and zones are these from now on; those that were known keep their numbers.
    pub fn names(&mut self, kinds: Vec<String>, zones: Vec<String>) {
        (self.kinds, self.zones) = (kinds, zones);
    }

    /// What is known is told again.
    pub fn tell_again(&mut self) {
        self.changed = true;
    }

    /// The complete list for the decision module, where it has changed since the last call.
    pub fn take_changed(&mut self) -> Option<Vec<EndpointEntry>> {
        std::mem::take(&mut self.changed).then(|| {
            let position = |names: &[String], name: &Option<String>| {
                names.iter().position(|n| Some(n) == name.as_ref())
            };
            let entry = |n: &Node| EndpointEntry {
                engine: n.id,
                zone: position(&self.zones, &n.zone),
                kind: position(&self.kinds, &n.kind),
                cell: n.cell,
                ready_at: n.ready_at,
                readiness: if n.draining {
                    Readiness::Draining
                } else {
                    Readiness::Up
                },
            };
            self.nodes.values().map(entry).collect()
        })
    }
}

#[cfg(test)]
mod tests;
