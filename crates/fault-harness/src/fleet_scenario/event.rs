//! The events of a fleet scenario.

use std::fmt;

use hoptiller_coordination::ConfigDuration;
use serde::Deserialize;

/// Something that happens in a fleet. Replicas and routers are named by place, counted from 0. A fault of a link replaces
/// the ones that it had.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ScenarioEvent {
    /// Proposes the document of that name.
    #[serde(rename = "put")]
    Propose(String),
    /// Isolates a router from all replicas.
    #[serde(rename = "alone")]
    IsolateRouter(usize),
    /// Partitions a replica from the other replicas; routers still reach it.
    #[serde(rename = "apart")]
    PartitionReplica(usize),
    /// Loses messages one way, from one replica to another.
    #[serde(rename = "deaf")]
    LoseMessages(usize, usize),
    /// Loses the responses of replicas to a router.
    #[serde(rename = "no_answers")]
    LoseResponses(usize),
    /// Adds latency, in ms, to all links between routers and replicas.
    #[serde(rename = "slow")]
    AddLatency(u64),
    /// Adds latency, in ms, to the links between one router and the replicas.
    #[serde(rename = "slow_router")]
    AddRouterLatency(usize, u64),
    /// Resets the connections on all links.
    #[serde(rename = "reset")]
    ResetConnections,
    /// Restores all links.
    #[serde(rename = "heal")]
    RestoreLinks,
    /// Kills a replica.
    #[serde(rename = "kill_keeper")]
    KillReplica(usize),
    /// Starts a replica where it does not run.
    #[serde(rename = "start_keeper")]
    StartReplica(usize),
    /// Kills all replicas.
    #[serde(rename = "kill_keepers")]
    KillReplicas,
    /// Kills all replicas but one.
    #[serde(rename = "kill_others")]
    KillOtherReplicas(usize),
    /// Starts all replicas that do not run.
    #[serde(rename = "start_keepers")]
    StartReplicas,
    /// Kills a router.
    KillRouter(usize),
    /// Starts a router where it does not run.
    StartRouter(usize),
    /// Pauses a router.
    #[serde(rename = "stop_router")]
    PauseRouter(usize),
    /// Resumes a router.
    #[serde(rename = "go_on")]
    ResumeRouter(usize),
}

/// The form in which reports list events. It is older than the names of the variants.
impl fmt::Display for ScenarioEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ScenarioEvent::Propose(document) => write!(f, "Put({document:?})"),
            ScenarioEvent::IsolateRouter(router) => write!(f, "Alone({router})"),
            ScenarioEvent::PartitionReplica(replica) => write!(f, "Apart({replica})"),
            ScenarioEvent::LoseMessages(from, to) => write!(f, "Deaf({from}, {to})"),
            ScenarioEvent::LoseResponses(router) => write!(f, "NoAnswers({router})"),
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

/// An event with its time.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScheduledEvent {
    /// When it happens, from the start of the client load on.
    pub at: ConfigDuration,
    /// What happens.
    #[serde(rename = "do")]
    pub event: ScenarioEvent,
}
