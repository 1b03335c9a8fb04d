//! The wire's messages, as serde reads and writes them. Unknown fields are ignored.

use std::collections::BTreeMap;

use hoptiller_policy_settings::Settings;
use serde::{Deserialize, Serialize};

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Batch {
    pub at_time: f64,
    pub batch: u64,
    pub happened: Vec<Event>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum Event {
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

#[derive(Deserialize)]
pub struct Only {
    pub i: u64,
}

#[derive(Deserialize)]
pub struct Hello {
    pub i: u64,
    #[serde(default)]
    pub salt: u64,
    pub settings: Settings,
}

#[derive(Deserialize)]
pub struct Roster {
    pub table: u64,
    pub elements: Vec<Entry>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Entry {
    pub engine: u32,
    #[serde(default)]
    pub zone: String,
    #[serde(default)]
    pub machine: String,
    #[serde(default)]
    pub pod: u64,
    #[serde(default)]
    pub ready_at: f64,
    pub readiness: Readiness,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "camelCase")]
pub enum Readiness {
    Up,
    Draining,
    Removed,
}

#[derive(Deserialize)]
pub struct Sync {
    pub i: u64,
    pub scope: Scope,
    #[serde(default)]
    pub table: u64,
}

#[derive(Deserialize, Clone, Copy, PartialEq)]
#[serde(rename_all = "camelCase")]
pub enum Scope {
    Changes,
    All,
    Remembered,
    Refused,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct WorkItem {
    pub i: u64,
    pub handle: String,
    pub profile: String,
    #[serde(default)]
    pub team: serde_json::Value,
    pub table: Option<String>,
    pub valid_until: f64,
    pub guess: Option<f64>,
    #[serde(default)]
    pub want_mb: f64,
    pub source_set: Option<u64>,
    #[serde(default)]
    pub retry: bool,
}

#[derive(Deserialize)]
pub struct Notice {
    pub i: u64,
    pub handle: String,
    #[serde(default)]
    pub hop: u32,
    pub engine: u32,
    #[serde(default)]
    pub sort: u32,
    #[serde(default)]
    pub level: f64,
}

#[derive(Deserialize)]
pub struct Outcome {
    pub i: u64,
    pub handle: String,
    #[serde(default)]
    pub hop: u32,
    pub engine: u32,
    pub ending: Ending,
    #[serde(default)]
    pub elapsed: f64,
    #[serde(default)]
    pub terminal: bool,
    #[serde(default)]
    pub stats: u64,
    #[serde(default)]
    pub report: BTreeMap<String, serde_json::Value>,
}

#[derive(Deserialize, Clone, Copy, PartialEq)]
#[serde(rename_all = "UPPERCASE")]
pub enum Ending {
    Good,
    Bad,
    Full,
    Late,
    Noconn,
    Rst,
    Cxl,
    Nop,
}

#[derive(Deserialize)]
pub struct Health {
    pub i: u64,
    pub engine: u32,
    pub ending: Ending,
    #[serde(default)]
    pub report: BTreeMap<String, serde_json::Value>,
}

#[derive(Deserialize)]
pub struct Dropped {
    pub i: u64,
    pub handle: String,
}

#[derive(Serialize)]
pub struct Reply {
    pub batch: u64,
    #[serde(rename = "do")]
    pub actions: Vec<Action>,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase", rename_all_fields = "camelCase")]
pub enum Action {
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
