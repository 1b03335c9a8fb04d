//! Messages of the simulator's protocol, as serialized by serde. Times are in milliseconds. Unknown fields are ignored.

use std::collections::BTreeMap;

use hoptiller_policy_settings::Settings;
use serde::{Deserialize, Serialize};

/// A line of input: the events up to a point in time.
#[derive(Deserialize)]
pub(crate) struct Batch {
    #[serde(rename = "atTime")]
    pub(crate) now: f64,
    #[serde(rename = "batch")]
    pub(crate) number: u64,
    #[serde(rename = "happened")]
    pub(crate) events: Vec<Event>,
}

/// An event of the simulator.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) enum Event {
    #[serde(rename = "hello")]
    InstanceStarted(Box<InstanceStart>),
    #[serde(rename = "detach")]
    InstanceStopped(InstanceEvent),
    #[serde(rename = "roster")]
    ListDeclared(EndpointList),
    #[serde(rename = "sync")]
    ListUpdated(ListUpdate),
    #[serde(rename = "workItem")]
    Arrival(Arrival),
    #[serde(rename = "started")]
    AttemptStarted(InstanceEvent),
    #[serde(rename = "notice")]
    Progress(Progress),
    Outcome(Outcome),
    #[serde(rename = "dropped")]
    ClientDisconnected(ClientDisconnect),
    Wakeup(InstanceEvent),
    #[serde(rename = "health")]
    HealthChecked(HealthCheck),
    Memo(InstanceEvent),
}

/// An event of which only the instance is used; any other content is ignored.
#[derive(Deserialize)]
pub(crate) struct InstanceEvent {
    #[serde(rename = "i")]
    pub(crate) instance: u64,
}

/// The start of an instance.
#[derive(Deserialize)]
pub(crate) struct InstanceStart {
    #[serde(rename = "i")]
    pub(crate) instance: u64,
    #[serde(rename = "salt", default)]
    pub(crate) seed: u64,
    pub(crate) settings: Settings,
}

/// The declaration of an endpoint list under a number.
#[derive(Deserialize)]
pub(crate) struct EndpointList {
    #[serde(rename = "table")]
    pub(crate) number: u64,
    #[serde(rename = "elements")]
    pub(crate) entries: Vec<EndpointEntry>,
}

/// An entry of an endpoint list.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct EndpointEntry {
    pub(crate) engine: u32,
    #[serde(default)]
    pub(crate) zone: String,
    #[serde(rename = "machine", default)]
    pub(crate) kind: String,
    #[serde(rename = "pod", default)]
    pub(crate) cell: u64,
    #[serde(default)]
    pub(crate) ready_at: f64,
    pub(crate) readiness: Readiness,
}

/// Readiness of a listed engine.
#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "camelCase")]
pub(crate) enum Readiness {
    Up,
    Draining,
    Removed,
}

/// An update of an instance's endpoint list to a declared one.
#[derive(Deserialize)]
pub(crate) struct ListUpdate {
    #[serde(rename = "i")]
    pub(crate) instance: u64,
    pub(crate) scope: ListScope,
    #[serde(rename = "table", default)]
    pub(crate) list: u64,
}

/// Relation of an endpoint list to the list known so far.
#[derive(Deserialize, Clone, Copy, PartialEq)]
#[serde(rename_all = "camelCase")]
pub(crate) enum ListScope {
    Changes,
    All,
    #[serde(rename = "remembered")]
    Cached,
    #[serde(rename = "refused")]
    Failed,
}

/// The arrival of a request.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Arrival {
    #[serde(rename = "i")]
    pub(crate) instance: u64,
    pub(crate) handle: String,
    #[serde(rename = "profile")]
    pub(crate) class: String,
    #[serde(rename = "team", default)]
    pub(crate) tenant: serde_json::Value,
    #[serde(rename = "table")]
    pub(crate) ordering_key: Option<String>,
    pub(crate) valid_until: f64,
    #[serde(rename = "guess")]
    pub(crate) estimated_work: Option<f64>,
    #[serde(rename = "wantMb", default)]
    pub(crate) estimated_memory_mb: f64,
    #[serde(rename = "sourceSet")]
    pub(crate) group: Option<u64>,
    #[serde(rename = "retry", default)]
    pub(crate) is_retry: bool,
}

/// Progress of an attempt in flight.
#[derive(Deserialize)]
pub(crate) struct Progress {
    #[serde(rename = "i")]
    pub(crate) instance: u64,
    pub(crate) handle: String,
    #[serde(rename = "hop", default)]
    pub(crate) attempt: u32,
    pub(crate) engine: u32,
    #[serde(rename = "sort", default)]
    pub(crate) event_kind: u32,
    /// Completed share, or missing memory in MB, depending on the kind.
    #[serde(rename = "level", default)]
    pub(crate) value: f64,
}

/// The outcome of an attempt.
#[derive(Deserialize)]
pub(crate) struct Outcome {
    #[serde(rename = "i")]
    pub(crate) instance: u64,
    pub(crate) handle: String,
    #[serde(rename = "hop", default)]
    pub(crate) attempt: u32,
    pub(crate) engine: u32,
    #[serde(rename = "ending")]
    pub(crate) status: Status,
    #[serde(default)]
    pub(crate) elapsed: f64,
    #[serde(default)]
    pub(crate) terminal: bool,
    /// Work in an encoded form.
    #[serde(default)]
    pub(crate) stats: u64,
    #[serde(default)]
    pub(crate) report: BTreeMap<String, serde_json::Value>,
}

/// Final status of an attempt or a health check.
#[derive(Deserialize, Clone, Copy, PartialEq)]
pub(crate) enum Status {
    #[serde(rename = "GOOD")]
    Succeeded,
    #[serde(rename = "BAD")]
    ErrorResponse,
    #[serde(rename = "FULL")]
    Rejected,
    #[serde(rename = "LATE")]
    TimedOut,
    #[serde(rename = "NOCONN")]
    ConnectFailed,
    #[serde(rename = "RST")]
    ConnectionReset,
    #[serde(rename = "CXL")]
    Cancelled,
    #[serde(rename = "NOP")]
    NotSent,
}

/// The result of a health check.
#[derive(Deserialize)]
pub(crate) struct HealthCheck {
    #[serde(rename = "i")]
    pub(crate) instance: u64,
    pub(crate) engine: u32,
    #[serde(rename = "ending")]
    pub(crate) status: Status,
    #[serde(default)]
    pub(crate) report: BTreeMap<String, serde_json::Value>,
}

/// The disconnection of a request's client.
#[derive(Deserialize)]
pub(crate) struct ClientDisconnect {
    #[serde(rename = "i")]
    pub(crate) instance: u64,
    pub(crate) handle: String,
}

/// A line of output: the actions in reply to a batch.
#[derive(Serialize)]
pub(crate) struct Reply {
    pub(crate) batch: u64,
    #[serde(rename = "do")]
    pub(crate) actions: Vec<Action>,
}

/// An action for the simulator.
#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
pub(crate) enum Action {
    #[serde(rename = "handOff")]
    Send {
        #[serde(rename = "i")]
        instance: u64,
        handle: String,
        engine: u32,
    },
    #[serde(rename = "allot")]
    SetOptions {
        #[serde(rename = "i")]
        instance: u64,
        handle: String,
        #[serde(rename = "workspaceMb")]
        memory_grant_mb: f64,
        #[serde(rename = "prio")]
        priority: u8,
    },
    #[serde(rename = "busy")]
    Reject {
        #[serde(rename = "i")]
        instance: u64,
        handle: String,
        #[serde(rename = "holdOff", skip_serializing_if = "Option::is_none")]
        retry_after: Option<f64>,
    },
    #[serde(rename = "endFailed")]
    Fail {
        #[serde(rename = "i")]
        instance: u64,
        handle: String,
    },
    #[serde(rename = "withdraw")]
    Cancel {
        #[serde(rename = "i")]
        instance: u64,
        handle: String,
        #[serde(rename = "hop")]
        attempt: u32,
    },
    #[serde(rename = "askLoad")]
    HealthCheck {
        #[serde(rename = "i")]
        instance: u64,
        engine: u32,
    },
    #[serde(rename = "notifyMe")]
    Timer {
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "ref")]
        reference: u64,
        after: f64,
    },
    #[serde(rename = "streamChanges")]
    Subscribe {
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "on")]
        enabled: bool,
    },
    InternalError {
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "bodyText")]
        message: String,
    },
}
