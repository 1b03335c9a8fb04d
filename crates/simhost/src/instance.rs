//! An instance: its controller, and the translation between names on the wire and the policy's numbers.

use std::collections::BTreeMap;

use hoptiller_policy as policy;
use hoptiller_policy_settings::{load_report, micros_from_millis, millis_from_micros, position};

use crate::error::BatchError;
use crate::wire;

/// The `stats` of an outcome is the work in milliseconds times this, plus a remainder that is not used. 0: no work is
/// reported.
const STATS_PER_WORK_MS: u64 = 4096;
const MICROS_PER_MS: u64 = 1000;
/// Kinds of progress messages.
const COMPLETED: u32 = 1;
const SPILLING: u32 = 2;
const BLOCKED: u32 = 3;

/// A controller and the names used on its wire.
pub(crate) struct Instance {
    pub(crate) controller: policy::Controller,
    classes: Vec<String>,
    tenants: Vec<String>,
    zones: Vec<String>,
    kinds: Vec<String>,
    /// Handles of the requests, indexed by request id.
    handles: Vec<String>,
    requests: BTreeMap<String, policy::RequestId>,
    keys: BTreeMap<String, policy::KeyId>,
}

impl Instance {
    pub(crate) fn new(start: &wire::InstanceStart) -> Result<Self, policy::SettingsError> {
        let settings = &start.settings;
        let classes = settings.classes.iter().map(|class| class.name.clone());
        let tenants = settings.tenants.iter().map(|tenant| tenant.name.clone());
        Ok(Instance {
            controller: policy::Controller::new(settings.to_policy(), start.seed)?,
            classes: classes.collect(),
            tenants: tenants.collect(),
            zones: settings.zones.clone(),
            kinds: settings.kinds.clone(),
            handles: Vec::new(),
            requests: BTreeMap::new(),
            keys: BTreeMap::new(),
        })
    }

    /// Returns the request of a handle.
    pub(crate) fn request(&self, handle: &str) -> Option<policy::RequestId> {
        self.requests.get(handle).copied()
    }

    pub(crate) fn entry(&self, entry: &wire::EndpointEntry) -> policy::EndpointEntry {
        policy::EndpointEntry {
            engine: policy::EngineId(entry.engine),
            zone: position(&self.zones, &entry.zone),
            kind: position(&self.kinds, &entry.kind),
            cell: entry.cell,
            ready_at: micros_from_millis(entry.ready_at),
            readiness: match entry.readiness {
                wire::Readiness::Up => policy::Readiness::Up,
                wire::Readiness::Draining => policy::Readiness::Draining,
                wire::Readiness::Removed => policy::Readiness::Removed,
            },
        }
    }

    pub(crate) fn arrival(
        &mut self,
        arrival: &wire::Arrival,
    ) -> Result<policy::Arrival, BatchError> {
        let class =
            position(&self.classes, &arrival.class).ok_or_else(|| BatchError::UnknownClass {
                name: arrival.class.clone(),
                known: self.classes.clone(),
            })?;
        let request = policy::RequestId(self.handles.len() as u64);
        self.handles.push(arrival.handle.clone());
        self.requests.insert(arrival.handle.clone(), request);
        let new_key = policy::KeyId(self.keys.len() as u64);
        let key = arrival
            .ordering_key
            .as_ref()
            .map(|key| *self.keys.entry(key.clone()).or_insert(new_key));
        let tenant = arrival.tenant.as_str();
        Ok(policy::Arrival {
            request,
            class,
            tenant: tenant.and_then(|tenant| position(&self.tenants, tenant)),
            key,
            valid_until: micros_from_millis(arrival.valid_until),
            estimated_work: arrival.estimated_work.map(micros_from_millis),
            estimated_memory_mb: arrival.estimated_memory_mb,
            group: arrival.group,
            is_retry: arrival.is_retry,
            kind: None,
        })
    }

    /// Returns the progress event for a message, or `None` if its kind or request is unknown. Progress is only a hint,
    /// so unknown messages are not an error.
    pub(crate) fn progress(&self, message: &wire::Progress) -> Option<policy::Event> {
        let progress = match message.event_kind {
            COMPLETED => policy::Progress::Completed(message.value),
            SPILLING => policy::Progress::Spilling(message.value),
            BLOCKED => policy::Progress::Blocked,
            _ => return None,
        };
        Some(policy::Event::Progress {
            request: self.request(&message.handle)?,
            attempt: message.attempt,
            engine: policy::EngineId(message.engine),
            progress,
        })
    }

    pub(crate) fn outcome(&self, outcome: &wire::Outcome) -> Option<policy::Outcome> {
        let work_ms = outcome.stats / STATS_PER_WORK_MS;
        Some(policy::Outcome {
            request: self.request(&outcome.handle)?,
            attempt: outcome.attempt,
            engine: policy::EngineId(outcome.engine),
            status: match outcome.status {
                wire::Status::Succeeded => policy::AttemptStatus::Succeeded,
                wire::Status::ErrorResponse => policy::AttemptStatus::ErrorResponse,
                wire::Status::Rejected => policy::AttemptStatus::Rejected,
                wire::Status::TimedOut => policy::AttemptStatus::TimedOut,
                wire::Status::ConnectFailed => policy::AttemptStatus::ConnectFailed,
                wire::Status::ConnectionReset => policy::AttemptStatus::ConnectionReset,
                wire::Status::Cancelled => policy::AttemptStatus::Cancelled,
                wire::Status::NotSent => policy::AttemptStatus::NotSent,
            },
            elapsed: micros_from_millis(outcome.elapsed),
            terminal: outcome.terminal,
            work: (outcome.stats > 0).then_some(work_ms.saturating_mul(MICROS_PER_MS)),
            report: load_report(&outcome.report),
        })
    }

    pub(crate) fn action(&self, instance: u64, action: policy::Action) -> wire::Action {
        let handle_of = |request: policy::RequestId| self.handles[request.0 as usize].clone();
        match action {
            policy::Action::Send {
                request, engine, ..
            } => wire::Action::Send {
                instance,
                handle: handle_of(request),
                engine: engine.0,
            },
            policy::Action::SetOptions {
                request,
                priority,
                memory_grant_mb,
            } => wire::Action::SetOptions {
                instance,
                handle: handle_of(request),
                memory_grant_mb,
                priority,
            },
            policy::Action::Cancel { request, attempt } => wire::Action::Cancel {
                instance,
                handle: handle_of(request),
                attempt,
            },
            policy::Action::Reject {
                request,
                retry_after,
            } => wire::Action::Reject {
                instance,
                handle: handle_of(request),
                retry_after: retry_after.map(millis_from_micros),
            },
            policy::Action::Fail(request) => wire::Action::Fail {
                instance,
                handle: handle_of(request),
            },
            policy::Action::HealthCheck(engine) => wire::Action::HealthCheck {
                instance,
                engine: engine.0,
            },
            policy::Action::Timer(after) => wire::Action::Timer {
                instance,
                reference: 0,
                after: millis_from_micros(after),
            },
            policy::Action::Subscribe => wire::Action::Subscribe {
                instance,
                enabled: true,
            },
        }
    }
}

pub(crate) fn list_scope(scope: wire::ListScope) -> policy::ListScope {
    match scope {
        wire::ListScope::Changes => policy::ListScope::Changes,
        wire::ListScope::All => policy::ListScope::All,
        wire::ListScope::Cached => policy::ListScope::Cached,
        wire::ListScope::Failed => policy::ListScope::Failed,
    }
}
