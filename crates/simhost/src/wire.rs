//! The wire's messages, as serde reads and writes them. Unknown fields are ignored.

use std::collections::BTreeMap;

use hoptiller_policy_settings::Settings;
use serde::{Deserialize, Serialize};

/// A line of input: what happened up to a time.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Batch {
    pub(crate) at_time: f64,
    pub(crate) batch: u64,
    pub(crate) happened: Vec<Event>,
}

/// Something that happened.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) enum Event {
    Hello(Box<Hello>),
    Detach(Only),
    Roster(Roster),
    Sync(Sync),
    WorkItem(WorkItem),
    Started(Only),
    Notice(Notice),
    Outcome(Outcome),
    Dropped(Dropped),
    Wakeup(Only),
    Health(Health),
    Memo(Only),
}

/// An event that says nothing but its instance.
#[derive(Deserialize)]
pub(crate) struct Only {
    pub(crate) i: u64,
}

/// An instance starts.
#[derive(Deserialize)]
pub(crate) struct Hello {
    pub(crate) i: u64,
    #[serde(default)]
    pub(crate) salt: u64,
    pub(crate) settings: Settings,
}

/// Declares an endpoint list under a number.
#[derive(Deserialize)]
pub(crate) struct Roster {
    pub(crate) table: u64,
    pub(crate) elements: Vec<Entry>,
}

/// One entry of an endpoint list.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Entry {
    pub(crate) engine: u32,
    #[serde(default)]
    pub(crate) zone: String,
    #[serde(default)]
    pub(crate) machine: String,
    #[serde(default)]
    pub(crate) pod: u64,
    #[serde(default)]
    pub(crate) ready_at: f64,
    pub(crate) readiness: Readiness,
}

/// State of a listed engine.
#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "camelCase")]
pub(crate) enum Readiness {
    Up,
    Draining,
    Removed,
}

/// An instance gets a declared endpoint list.
#[derive(Deserialize)]
pub(crate) struct Sync {
    pub(crate) i: u64,
    pub(crate) scope: Scope,
    #[serde(default)]
    pub(crate) table: u64,
}

/// How the list relates to the one known so far.
#[derive(Deserialize, Clone, Copy, PartialEq)]
#[serde(rename_all = "camelCase")]
pub(crate) enum Scope {
    Changes,
    All,
    Remembered,
    Refused,
}

/// A request has arrived.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct WorkItem {
    pub(crate) i: u64,
    pub(crate) handle: String,
    pub(crate) profile: String,
    #[serde(default)]
    pub(crate) team: serde_json::Value,
    pub(crate) table: Option<String>,
    pub(crate) valid_until: f64,
    pub(crate) guess: Option<f64>,
    #[serde(default)]
    pub(crate) want_mb: f64,
    pub(crate) source_set: Option<u64>,
    #[serde(default)]
    pub(crate) retry: bool,
}

/// Progress of an attempt in flight.
#[derive(Deserialize)]
pub(crate) struct Notice {
    pub(crate) i: u64,
    pub(crate) handle: String,
    #[serde(default)]
    pub(crate) hop: u32,
    pub(crate) engine: u32,
    #[serde(default)]
    pub(crate) sort: u32,
    #[serde(default)]
    pub(crate) level: f64,
}

/// An attempt has ended.
#[derive(Deserialize)]
pub(crate) struct Outcome {
    pub(crate) i: u64,
    pub(crate) handle: String,
    #[serde(default)]
    pub(crate) hop: u32,
    pub(crate) engine: u32,
    pub(crate) ending: Ending,
    #[serde(default)]
    pub(crate) elapsed: f64,
    #[serde(default)]
    pub(crate) terminal: bool,
    #[serde(default)]
    pub(crate) stats: u64,
    #[serde(default)]
    pub(crate) report: BTreeMap<String, serde_json::Value>,
}

/// How an attempt or a health check ended.
#[derive(Deserialize, Clone, Copy, PartialEq)]
#[serde(rename_all = "UPPERCASE")]
pub(crate) enum Ending {
    Good,
    Bad,
    Full,
    Late,
    Noconn,
    Rst,
    Cxl,
    Nop,
}

/// A health check has ended.
#[derive(Deserialize)]
pub(crate) struct Health {
    pub(crate) i: u64,
    pub(crate) engine: u32,
    pub(crate) ending: Ending,
    #[serde(default)]
    pub(crate) report: BTreeMap<String, serde_json::Value>,
}

/// The client of a request has disconnected.
#[derive(Deserialize)]
pub(crate) struct Dropped {
    pub(crate) i: u64,
    pub(crate) handle: String,
}

/// A line of output: what to do.
#[derive(Serialize)]
pub(crate) struct Reply {
    pub(crate) batch: u64,
    #[serde(rename = "do")]
    pub(crate) actions: Vec<Action>,
}

/// Something that the simulator is to do.
#[derive(Serialize)]
#[serde(rename_all = "camelCase", rename_all_fields = "camelCase")]
pub(crate) enum Action {
    HandOff {
        i: u64,
        handle: String,
        engine: u32,
    },
    Allot {
        i: u64,
        handle: String,
        workspace_mb: f64,
        prio: u8,
    },
    Busy {
        i: u64,
        handle: String,
        #[serde(skip_serializing_if = "Option::is_none")]
        hold_off: Option<f64>,
    },
    EndFailed {
        i: u64,
        handle: String,
    },
    Withdraw {
        i: u64,
        handle: String,
        hop: u32,
    },
    AskLoad {
        i: u64,
        engine: u32,
    },
    NotifyMe {
        i: u64,
        #[serde(rename = "ref")]
        reference: u64,
        after: f64,
    },
    StreamChanges {
        i: u64,
        on: bool,
    },
    InternalError {
        i: u64,
        body_text: String,
    },
}
