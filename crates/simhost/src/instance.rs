//! One instance: its controller, and the translation between the names of its wire and the policy's numbers.

use std::collections::BTreeMap;

use hoptiller_policy as policy;
use hoptiller_policy_settings::{load_report, micros_from_millis, millis_from_micros, position};

use crate::error::BatchError;
use crate::wire;

/// `stats` of an outcome holds the work in milliseconds times this; the remainder is not read.
const STATS_WORK_FACTOR: u64 = 4096;

/// One controller with the names that its wire uses.
pub(crate) struct Instance {
    pub(crate) controller: policy::Controller,
    classes: Vec<String>,
    tenants: Vec<String>,
    zones: Vec<String>,
    kinds: Vec<String>,
    /// Handles of the requests, by request id.
    handles: Vec<String>,
    requests: BTreeMap<String, policy::RequestId>,
    keys: BTreeMap<String, policy::KeyId>,
}

impl Instance {
    pub(crate) fn new(hello: &wire::Hello) -> Result<Self, policy::SettingsError> {
        let s = &hello.settings;
        Ok(Instance {
            controller: policy::Controller::new(s.to_policy(), hello.salt)?,
            classes: s.classes.iter().map(|l| l.name.clone()).collect(),
            tenants: s.tenants.iter().map(|t| t.name.clone()).collect(),
            zones: s.zones.clone(),
            kinds: s.kinds.clone(),
            handles: Vec::new(),
            requests: BTreeMap::new(),
            keys: BTreeMap::new(),
        })
    }

    /// The request of a handle.
    pub(crate) fn request(&self, handle: &str) -> Option<policy::RequestId> {
        self.requests.get(handle).copied()
    }

    pub(crate) fn entry(&self, e: &wire::Entry) -> policy::EndpointEntry {
        policy::EndpointEntry {
            engine: policy::EngineId(e.engine),
            zone: position(&self.zones, &e.zone),
            kind: position(&self.kinds, &e.machine),
            cell: e.pod,
            ready_at: micros_from_millis(e.ready_at),
            readiness: match e.readiness {
                wire::Readiness::Up => policy::Readiness::Up,
                wire::Readiness::Draining => policy::Readiness::Draining,
                wire::Readiness::Removed => policy::Readiness::Removed,
            },
        }
    }

    pub(crate) fn arrival(&mut self, w: &wire::WorkItem) -> Result<policy::Arrival, BatchError> {
        let class = position(&self.classes, &w.profile)
            .ok_or_else(|| BatchError::UnknownProfile(w.profile.clone()))?;
        let request = policy::RequestId(self.handles.len() as u64);
        self.handles.push(w.handle.clone());
        self.requests.insert(w.handle.clone(), request);
        let fresh = policy::KeyId(self.keys.len() as u64);
        let key = w
            .table
            .as_ref()
            .map(|k| *self.keys.entry(k.clone()).or_insert(fresh));
        Ok(policy::Arrival {
            request,
            class,
            tenant: w.team.as_str().and_then(|t| position(&self.tenants, t)),
            key,
            valid_until: micros_from_millis(w.valid_until),
            estimated_work: w.guess.map(micros_from_millis),
            estimated_memory_mb: w.want_mb,
            group: w.source_set,
            is_retry: w.retry,
            kind: None,
        })
    }

    /// The progress event of a notice; `None` where its sort or request is not known: notices are hints.
    pub(crate) fn progress(&self, n: &wire::Notice) -> Option<policy::Event> {
        let progress = match n.sort {
            1 => policy::Progress::Completed(n.level),
            2 => policy::Progress::Spilling(n.level),
            3 => policy::Progress::Blocked,
            _ => return None,
        };
        let request = *self.requests.get(&n.handle)?;
        Some(policy::Event::Progress {
            request,
            attempt: n.hop,
            engine: policy::EngineId(n.engine),
            progress,
        })
    }

    pub(crate) fn outcome(&self, o: &wire::Outcome) -> Option<policy::Outcome> {
        let work_ms = o.stats / STATS_WORK_FACTOR;
        Some(policy::Outcome {
            request: *self.requests.get(&o.handle)?,
            attempt: o.hop,
            engine: policy::EngineId(o.engine),
            status: match o.ending {
                wire::Ending::Good => policy::AttemptStatus::Succeeded,
                wire::Ending::Bad => policy::AttemptStatus::ErrorResponse,
                wire::Ending::Full => policy::AttemptStatus::Rejected,
                wire::Ending::Late => policy::AttemptStatus::TimedOut,
                wire::Ending::Noconn => policy::AttemptStatus::ConnectFailed,
                wire::Ending::Rst => policy::AttemptStatus::ConnectionReset,
                wire::Ending::Cxl => policy::AttemptStatus::Cancelled,
                wire::Ending::Nop => policy::AttemptStatus::NotSent,
            },
            elapsed: micros_from_millis(o.elapsed),
            terminal: o.terminal,
            work: (o.stats > 0).then_some(work_ms.saturating_mul(1000)),
            report: load_report(&o.report),
        })
    }

    pub(crate) fn action(&self, i: u64, action: policy::Action) -> wire::Action {
        let handle_of = |r: policy::RequestId| self.handles[r.0 as usize].clone();
        match action {
            policy::Action::Send {
                request, engine, ..
            } => wire::Action::HandOff {
                i,
                handle: handle_of(request),
                engine: engine.0,
            },
            policy::Action::SetOptions {
                request,
                priority,
                memory_grant_mb,
            } => wire::Action::Allot {
                i,
                handle: handle_of(request),
                workspace_mb: memory_grant_mb,
                prio: priority,
            },
            policy::Action::Cancel { request, attempt } => wire::Action::Withdraw {
                i,
                handle: handle_of(request),
                hop: attempt,
            },
            policy::Action::Reject {
                request,
                retry_after,
            } => wire::Action::Busy {
                i,
                handle: handle_of(request),
                hold_off: retry_after.map(millis_from_micros),
            },
            policy::Action::Fail(request) => wire::Action::EndFailed {
                i,
                handle: handle_of(request),
            },
            policy::Action::HealthCheck(engine) => wire::Action::AskLoad {
                i,
                engine: engine.0,
            },
            policy::Action::Timer(after) => wire::Action::NotifyMe {
                i,
                reference: 0,
                after: millis_from_micros(after),
            },
            policy::Action::Subscribe => wire::Action::StreamChanges { i, on: true },
        }
    }
}

pub(crate) fn list_scope(s: wire::Scope) -> policy::ListScope {
    match s {
        wire::Scope::Changes => policy::ListScope::Changes,
        wire::Scope::All => policy::ListScope::All,
        wire::Scope::Remembered => policy::ListScope::Cached,
        wire::Scope::Refused => policy::ListScope::Failed,
    }
}
