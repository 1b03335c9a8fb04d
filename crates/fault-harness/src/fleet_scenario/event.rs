//! The events of a fleet scenario.

use std::fmt;

use hoptiller_coordination::ConfigDuration;
use serde::Deserialize;

/// An event of a fleet scenario. Replicas and routers are identified by index, counted from 0. A link fault replaces
/// the earlier faults of the link.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ScenarioEvent {
    /// Proposes the document with this name.
    #[serde(rename = "put")]
    Propose(String),
    /// Isolates a router from all replicas.
    #[serde(rename = "alone")]
    IsolateRouter(usize),
    /// Partitions a replica from the other replicas, while routers still reach it.
    #[serde(rename = "apart")]
    PartitionReplica(usize),
    /// Blocks the requests of the first replica to the second, but not its responses to requests of the second.
    #[serde(rename = "deaf")]
    BlockRequests(usize, usize),
    /// Blocks the responses of all replicas to a router.
    #[serde(rename = "no_answers")]
    BlockResponses(usize),
    /// Adds latency, in ms, to all links between routers and replicas.
    #[serde(rename = "slow")]
    AddLatency(u64),
    /// Adds latency, in ms, to the links between one router and the replicas.
    #[serde(rename = "slow_router")]
    AddRouterLatency(usize, u64),
    /// Closes the open connections on all links.
    #[serde(rename = "reset")]
    ResetConnections,
    /// Restores all links.
    #[serde(rename = "heal")]
    RestoreLinks,
    /// Kills a replica.
    #[serde(rename = "kill_keeper")]
    KillReplica(usize),
    /// Starts a replica if it is not running.
    #[serde(rename = "start_keeper")]
    StartReplica(usize),
    /// Kills all replicas.
    #[serde(rename = "kill_keepers")]
    KillReplicas,
    /// Kills all replicas except one.
    #[serde(rename = "kill_others")]
    KillOtherReplicas(usize),
    /// Starts all replicas that are not running.
    #[serde(rename = "start_keepers")]
    StartReplicas,
    /// Kills a router.
    KillRouter(usize),
    /// Starts a router if it is not running.
    StartRouter(usize),
    /// Pauses a router.
    #[serde(rename = "stop_router")]
    PauseRouter(usize),
    /// Resumes a router.
    #[serde(rename = "go_on")]
    ResumeRouter(usize),
}

/// Formats the event as reports list it. The names in reports predate the names of the variants and must not change.
impl fmt::Display for ScenarioEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ScenarioEvent::Propose(document) => write!(f, "Put({document:?})"),
            ScenarioEvent::IsolateRouter(router) => write!(f, "Alone({router})"),
            ScenarioEvent::PartitionReplica(replica) => write!(f, "Apart({replica})"),
            ScenarioEvent::BlockRequests(from, to) => write!(f, "Deaf({from}, {to})"),
            ScenarioEvent::BlockResponses(router) => write!(f, "NoAnswers({router})"),
            ScenarioEvent::AddLatency(ms) => write!(f, "Slow({ms})"),
            ScenarioEvent::AddRouterLatency(router, ms) => write!(f, "SlowRouter({router}, {ms})"),
            ScenarioEvent::ResetConnections => write!(f, "Reset"),
            ScenarioEvent::RestoreLinks => write!(f, "Heal"),
            ScenarioEvent::KillReplica(replica) => write!(f, "KillKeeper({replica})"),
            ScenarioEvent::StartReplica(replica) => write!(f, "StartKeeper({replica})"),
            ScenarioEvent::KillReplicas => write!(f, "KillKeepers"),
            ScenarioEvent::KillOtherReplicas(replica) => write!(f, "KillOthers({replica})"),
            ScenarioEvent::StartReplicas => write!(f, "StartKeepers"),
            ScenarioEvent::KillRouter(router) => write!(f, "KillRouter({router})"),
            ScenarioEvent::StartRouter(router) => write!(f, "StartRouter({router})"),
            ScenarioEvent::PauseRouter(router) => write!(f, "StopRouter({router})"),
            ScenarioEvent::ResumeRouter(router) => write!(f, "GoOn({router})"),
        }
    }
}

/// An event and its time.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScheduledEvent {
    /// Time of the event since the start of the client load. Events after the duration of the scenario extend it.
    pub at: ConfigDuration,
    /// The event.
    #[serde(rename = "do")]
    pub event: ScenarioEvent,
}
