//! Turns wire batches into events of each instance's controller, names into indices, and back.

use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};

use hoptiller_policy as core;
use hoptiller_policy_settings::{load_report, micros_from_millis, millis_from_micros, position};

use crate::wire;

/// One controller with the names that its wire uses.
struct Instance {
    controller: core::Controller,
    classes: Vec<String>,
    tenants: Vec<String>,
    zones: Vec<String>,
    kinds: Vec<String>,
    handles: Vec<String>,
    requests: BTreeMap<String, core::RequestId>,
    keys: BTreeMap<String, core::KeyId>,
}

/// All instances of this process; they share nothing but the declared lists.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u64, Instance>,
    rosters: BTreeMap<u64, Vec<wire::Entry>>,
}

impl Host {
    /// The reply to one line, or what is wrong with it.
    pub fn reply(&mut self, line: &str) -> Result<String, String> {
        let batch: wire::Batch = serde_json::from_str(line).map_err(|e| e.to_string())?;
        let now = micros_from_millis(batch.at_time);
        let mut pending: BTreeMap<u64, Vec<core::Event>> = BTreeMap::new();
        let mut actions = Vec::new();
        for event in batch.happened {
            match event {
                wire::Event::Roster(r) => {
                    self.rosters.insert(r.table, r.elements);
                }
                wire::Event::Hello(h) => {
                    pending.insert(h.i, Vec::new());
                    match Instance::new(&h) {
                        Ok(instance) => {
                            self.instances.insert(h.i, instance);
                        }
                        Err(e) => {
                            actions.push(wire::Action::InternalError {
                                i: h.i,
                                body_text: e.to_string(),
                            });
                        }
                    }
                }
                wire::Event::Detach(o) => {
                    self.instances.remove(&o.i);
                    pending.remove(&o.i);
                }
                wire::Event::Sync(s) => {
                    let Some(instance) = self.instances.get(&s.i) else {
                        continue;
                    };
                    let entries = match self.rosters.get(&s.table) {
                        _ if s.scope == wire::Scope::Refused => Vec::new(),
                        Some(list) => list.iter().map(|e| instance.entry(e)).collect(),
                        None => {
                            return Err(format!("sync: `table` {} was never declared", s.table));
                        }
                    };
                    pending
                        .entry(s.i)
                        .or_default()
                        .push(core::Event::EndpointList(scope(s.scope), entries));
                }
                wire::Event::WorkItem(w) => {
                    let Some(instance) = self.instances.get_mut(&w.i) else {
                        continue;
                    };
                    let arrival = instance.arrival(&w)?;
                    pending
                        .entry(w.i)
                        .or_default()
                        .push(core::Event::Arrival(arrival));
                }
                wire::Event::Outcome(o) => {
                    let Some(instance) = self.instances.get(&o.i) else {
                        continue;
                    };
                    let events = pending.entry(o.i).or_default();
                    events.extend(instance.outcome(&o).map(core::Event::Outcome));
                }
                wire::Event::Health(h) => {
                    if self.instances.contains_key(&h.i) {
                        let told =
                            load_report(&h.report).filter(|_| h.ending == wire::Ending::Good);
                        let event = core::Event::HealthChecked(core::EngineId(h.engine), told);
                        pending.entry(h.i).or_default().push(event);
                    }
                }
                wire::Event::Notice(n) => {
                    let Some(instance) = self.instances.get(&n.i) else {
                        continue;
                    };
                    pending.entry(n.i).or_default().extend(instance.note(&n));
                }
                wire::Event::Dropped(d) => {
                    let Some(instance) = self.instances.get(&d.i) else {
                        continue;
                    };
                    let events = pending.entry(d.i).or_default();
                    events.extend(
                        instance
                            .requests
                            .get(&d.handle)
                            .copied()
                            .map(core::Event::ClientDisconnected),
                    );
                }
                wire::Event::Wakeup(o) | wire::Event::Started(o) | wire::Event::Memo(o) => {
                    pending.entry(o.i).or_default().push(core::Event::Wakeup);
                }
            }
        }
        for (i, events) in pending {
            let Some(instance) = self.instances.get_mut(&i) else {
                continue;
            };
            let mut out = Vec::new();
            let run = AssertUnwindSafe(|| instance.controller.handle(now, &events, &mut out));
            match catch_unwind(run) {
                Ok(()) => actions.extend(out.into_iter().map(|a| instance.action(i, a))),
                Err(_) => {
                    let body_text = "the decision module panicked".to_string();
                    actions.push(wire::Action::InternalError { i, body_text });
                }
            }
        }
        serde_json::to_string(&wire::Reply {
            batch: batch.batch,
            actions,
        })
        .map_err(|e| e.to_string())
    }
}

impl Instance {
    fn new(hello: &wire::Hello) -> Result<Self, core::SettingsError> {
        let s = &hello.settings;
        Ok(Instance {
            controller: core::Controller::new(s.to_policy(), hello.salt)?,
            classes: s.lanes.iter().map(|l| l.name.clone()).collect(),
            tenants: s.tenants.iter().map(|t| t.name.clone()).collect(),
            zones: s.zones.clone(),
            kinds: s.kinds.clone(),
            handles: Vec::new(),
            requests: BTreeMap::new(),
            keys: BTreeMap::new(),
        })
    }

    fn entry(&self, e: &wire::Entry) -> core::EndpointEntry {
        core::EndpointEntry {
            engine: core::EngineId(e.engine),
            zone: position(&self.zones, &e.zone),
            kind: position(&self.kinds, &e.machine),
            cell: e.pod,
            ready_at: micros_from_millis(e.ready_at),
            readiness: match e.readiness {
                wire::Readiness::Up => core::Readiness::Up,
                wire::Readiness::Draining => core::Readiness::Draining,
                wire::Readiness::Removed => core::Readiness::Removed,
            },
        }
    }

    fn arrival(&mut self, w: &wire::WorkItem) -> Result<core::Arrival, String> {
        let class = position(&self.classes, &w.profile)
            .ok_or_else(|| format!("workItem: unknown `profile` {:?}", w.profile))?;
        let request = core::RequestId(self.handles.len() as u64);
        self.handles.push(w.handle.clone());
        self.requests.insert(w.handle.clone(), request);
        let fresh = core::KeyId(self.keys.len() as u64);
        let key = w
            .table
            .as_ref()
            .map(|k| *self.keys.entry(k.clone()).or_insert(fresh));
        Ok(core::Arrival {
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

    /// What is not known is passed over: notes are hints.
    fn note(&self, n: &wire::Notice) -> Option<core::Event> {
        let progress = match n.sort {
            1 => core::Progress::Completed(n.level),
            2 => core::Progress::Spilling(n.level),
            3 => core::Progress::Blocked,
            _ => return None,
        };
        let request = *self.requests.get(&n.handle)?;
        Some(core::Event::Progress {
            request,
            attempt: n.hop,
            engine: core::EngineId(n.engine),
            progress,
        })
    }

    fn outcome(&self, o: &wire::Outcome) -> Option<core::Outcome> {
        let work = o.stats / 4096;
        Some(core::Outcome {
            request: *self.requests.get(&o.handle)?,
            attempt: o.hop,
            engine: core::EngineId(o.engine),
            status: match o.ending {
                wire::Ending::Good => core::AttemptStatus::Succeeded,
                wire::Ending::Bad => core::AttemptStatus::ErrorResponse,
                wire::Ending::Full => core::AttemptStatus::Rejected,
                wire::Ending::Late => core::AttemptStatus::TimedOut,
                wire::Ending::Noconn => core::AttemptStatus::ConnectFailed,
                wire::Ending::Rst => core::AttemptStatus::ConnectionReset,
                wire::Ending::Cxl => core::AttemptStatus::Cancelled,
                wire::Ending::Nop => core::AttemptStatus::NotSent,
            },
            elapsed: micros_from_millis(o.elapsed),
            terminal: o.terminal,
            work: (o.stats > 0).then_some(work.saturating_mul(1000)),
            report: load_report(&o.report),
        })
    }

    fn action(&self, i: u64, action: core::Action) -> wire::Action {
        let name = |r: core::RequestId| self.handles[r.0 as usize].clone();
        match action {
            core::Action::Send {
                request, engine, ..
            } => wire::Action::HandOff {
                i,
                handle: name(request),
                engine: engine.0,
            },
            core::Action::SetOptions {
                request,
                priority,
                memory_grant_mb: grant,
            } => wire::Action::Allot {
                i,
                handle: name(request),
                workspace_mb: grant,
                prio: priority,
            },
            core::Action::Cancel {
                request,
                attempt: hop,
            } => wire::Action::Withdraw {
                i,
                handle: name(request),
                hop,
            },
            core::Action::Reject {
                request,
                retry_after: hold_off,
            } => wire::Action::Busy {
                i,
                handle: name(request),
                hold_off: hold_off.map(millis_from_micros),
            },
            core::Action::Fail(request) => wire::Action::EndFailed {
                i,
                handle: name(request),
            },
            core::Action::HealthCheck(engine) => wire::Action::AskLoad {
                i,
                engine: engine.0,
            },
            core::Action::Timer(after) => wire::Action::NotifyMe {
                i,
                reference: 0,
                after: millis_from_micros(after),
            },
            core::Action::Subscribe => wire::Action::StreamChanges { i, on: true },
        }
    }
}

fn scope(s: wire::Scope) -> core::ListScope {
    match s {
        wire::Scope::Changes => core::ListScope::Changes,
        wire::Scope::All => core::ListScope::All,
        wire::Scope::Remembered => core::ListScope::Cached,
        wire::Scope::Refused => core::ListScope::Failed,
    }
}
