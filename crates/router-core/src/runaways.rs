//! Owns the way between the core and the watch for runaways: what it is told, and what its decisions become. The
//! watch decides; what it holds goes to the routing decisions as events, and every send stays theirs.

use std::collections::BTreeMap;

use hoptiller_policy::{
    AttemptStatus, EndpointEntry, EngineId, Event, Idempotency, ListScope, Micros, Readiness,
};
use hoptiller_runaway::{
    AttemptId, Decision, End, EndingVerdict, KindId, Listed, News, Proof, Start, Watch,
    answer_after_end,
};

use super::page::{FinalResponse, ResultPage};
use super::statement::Stage;
use super::{AttemptOutcome, Command, Core, StatementId};

/// Zones or kinds that a class may go to; `None`: all.
type Only = Option<Vec<usize>>;

/// The engine list, and which classes may run where.
pub(super) struct Fleet {
    entries: BTreeMap<EngineId, EndpointEntry>,
    /// By class: zones and kinds that it may go to.
    placement: Vec<(Only, Only)>,
    effects: Vec<Idempotency>,
    /// Ending an attempt stops its work.
    cancels: bool,
    hold_off: Option<Micros>,
}

impl Fleet {
    pub(super) fn new(cfg: &hoptiller_policy::Settings) -> Fleet {
        Fleet::of(cfg, BTreeMap::new())
    }

    /// Other rules for the same engines.
    pub(super) fn rules(&mut self, cfg: &hoptiller_policy::Settings) {
        *self = Fleet::of(cfg, std::mem::take(&mut self.entries));
    }

    fn of(cfg: &hoptiller_policy::Settings, entries: BTreeMap<EngineId, EndpointEntry>) -> Fleet {
        Fleet {
            entries,
            placement: cfg
                .classes
                .iter()
                .map(|c| (c.zones.clone(), c.kinds.clone()))
                .collect(),
            effects: cfg.classes.iter().map(|c| c.idempotency).collect(),
            cancels: cfg.limits.cancel,
            hold_off: cfg.limits.retry_after.then_some(cfg.limits.max_retry_after),
        }
    }

    /// Takes in news of the list; engines whose process is another one now.
    fn take(&mut self, scope: ListScope, entries: &[EndpointEntry]) -> Vec<EngineId> {
        if matches!(scope, ListScope::All | ListScope::Cached) {
            self.entries
                .retain(|id, _| entries.iter().any(|e| e.engine == *id));
        }
        let mut restarted = Vec::new();
        for entry in entries {
            let old = self.entries.insert(entry.engine, entry.clone());
            restarted.extend(
                old.filter(|o| entry.ready_at > o.ready_at)
                    .map(|o| o.engine),
            );
        }
        restarted
    }

    fn listed(&self) -> Vec<Listed> {
        let within = |only: &Only, is: Option<usize>| {
            only.as_ref()
                .is_none_or(|set| is.is_some_and(|i| set.contains(&i)))
        };
        let listed = |e: &EndpointEntry| Listed {
            engine: e.engine,
            up: e.readiness == Readiness::Up,
            classes: self
                .placement
                .iter()
                .map(|(z, k)| within(z, e.zone) && within(k, e.kind))
                .collect(),
        };
        self.entries
            .values()
            .filter(|e| e.readiness != Readiness::Removed)
            .map(listed)
            .collect()
    }
}

impl Core {
    /// The watch for runaways, where there is one.
    pub fn runaway_watch(&self) -> Option<&Watch> {
        self.watch.as_ref()
    }

    /// Takes in what an earlier life had learnt.
    pub fn restore_runaway_watch(
        &mut self,
        now: Micros,
        bytes: &[u8],
    ) -> Option<Result<hoptiller_runaway::snapshot::Restored, hoptiller_runaway::SnapshotError>>
    {
        self.watch.as_mut().map(|watch| watch.restore(now, bytes))
    }

    /// An operator frees a kind. False where it is not held.
    pub fn release_fingerprint(&mut self, kind: KindId) -> bool {
        let held = self.watch.as_mut().is_some_and(|watch| watch.release(kind));
        self.decided();
        held
    }

    /// An engine tells of an attempt that runs.
    pub fn update_attempt_status(&mut self, now: Micros, id: StatementId, hop: u32, news: News) {
        if let Some(watch) = &mut self.watch {
            watch.told(now, AttemptId { statement: id, hop }, news);
        }
    }

    /// An attempt was ended at its engine on demand, ours or an administrator's there: this is the statement's end.
    pub fn finish_killed_attempt(
        &mut self,
        now: Micros,
        id: StatementId,
        hop: u32,
        proof: Proof,
        why: String,
    ) {
        self.watch_ended(now, id, hop, End::Failed, None);
        let Some(s) = self.table.get_mut(id) else {
            return;
        };
        match s.stage {
            // Danger: rows have gone out; what is left of the result is lost.
            Stage::Flowing { hop: from, .. } if from == hop => {
                return self.settle(now, id, FinalResponse::Truncated(why));
            }
            Stage::Flowing { .. } | Stage::Over(_) => {
                return self.finish_attempt(now, id, hop, cancelled(why));
            }
            // Its end was told before: this is no news.
            _ if !s.is_out(hop) => return,
            _ => {}
        }
        let ended = cancelled(why.clone());
        let event = s.outcome(hop, now, &ended, true);
        self.events.extend(event);
        let (since, effect) = (s.first_sent().unwrap_or(now), self.fleet.effects[s.class]);
        let hold_off = self.fleet.hold_off;
        let how = match answer_after_end(effect, proof, since, now) {
            EndingVerdict::Harmless => FinalResponse::TerminatedByRule {
                retry_after: hold_off,
                reason: why,
            },
            EndingVerdict::MayHaveRun => FinalResponse::MayHaveRun(format!(
                "it was ended at its engine, which does not say what stands of it ({why})"
            )),
            EndingVerdict::HasRun => FinalResponse::MayHaveRun(format!(
                "it was ended at its engine, and its effects stand ({why})"
            )),
        };
        self.settle(now, id, how);
        self.table.drop_if_over(id);
    }

    /// A sent attempt, as the watch sees it.
    pub(super) fn watch_sent(&mut self, now: Micros, id: StatementId, hop: u32, engine: EngineId) {
        let (Some(watch), Some(s)) = (&mut self.watch, self.table.get(id)) else {
            return;
        };
        let Some(w) = &s.watched else { return };
        let start = Start {
            attempt: AttemptId { statement: id, hop },
            engine,
            class: s.class,
            name: self.names.statement_name(id),
            kind: w.kind,
            held_as: w.held_as,
            label: w.label.clone(),
            announced: w.announced,
            group: w.group,
        };
        watch.started(now, start);
    }

    /// A page has come: the engine has a result, or all of it.
    pub(super) fn watch_page(&mut self, now: Micros, id: StatementId, hop: u32, page: &ResultPage) {
        let Some(watch) = &mut self.watch else { return };
        let attempt = AttemptId { statement: id, hop };
        match page.is_last {
            true => watch.ended(now, attempt, End::Good, page.work),
            false => watch.flowing(now, attempt),
        }
    }

    pub(super) fn watch_ended(
        &mut self,
        now: Micros,
        id: StatementId,
        hop: u32,
        how: End,
        work: Option<Micros>,
    ) {
        if let Some(watch) = &mut self.watch {
            watch.ended(now, AttemptId { statement: id, hop }, how, work);
        }
    }

    /// What an ending tells of the engine's side.
    pub(super) fn watch_outcome(
        &mut self,
        now: Micros,
        id: StatementId,
        hop: u32,
        ending: AttemptStatus,
    ) {
        let how = match ending {
            AttemptStatus::Rejected | AttemptStatus::ConnectFailed | AttemptStatus::NotSent => {
                End::NeverRan
            }
            AttemptStatus::Succeeded | AttemptStatus::ErrorResponse => End::Failed,
            AttemptStatus::Cancelled if self.fleet.cancels => End::Failed,
            AttemptStatus::TimedOut | AttemptStatus::ConnectionReset | AttemptStatus::Cancelled => {
                End::GoesOn
            }
        };
        self.watch_ended(now, id, hop, how, None);
    }

    pub(super) fn watch_list(&mut self, now: Micros, scope: ListScope, entries: &[EndpointEntry]) {
        let Some(watch) = self.watch.as_mut().filter(|_| scope != ListScope::Failed) else {
            return;
        };
        for engine in self.fleet.take(scope, entries) {
            watch.restarted(now, engine);
        }
        watch.listed(self.fleet.listed());
        self.decided();
    }

    /// Looks for runaways, if it is time.
    pub(super) fn look(&mut self, now: Micros) {
        if let Some(watch) = &mut self.watch {
            watch.look(now);
        }
        self.decided();
    }

    /// Passes the watch's decisions on.
    fn decided(&mut self) {
        for decision in self.watch.as_mut().map(Watch::take).into_iter().flatten() {
            let command = match decision {
                Decision::Hold(hold) => {
                    self.events.push(Event::Hold(hold));
                    continue;
                }
                Decision::Found(finding) => Command::ReportFinding(finding),
                Decision::Pause(a) => Command::Pause {
                    id: a.statement,
                    attempt: a.hop,
                    paused: true,
                },
                Decision::Resume(a) => Command::Pause {
                    id: a.statement,
                    attempt: a.hop,
                    paused: false,
                },
                Decision::End(a) => Command::Kill {
                    id: a.statement,
                    attempt: a.hop,
                },
            };
            self.commands.push_back(command);
        }
    }
}

fn cancelled(why: String) -> AttemptOutcome {
    AttemptOutcome {
        status: AttemptStatus::Cancelled,
        reason: why,
        load_report: None,
    }
}

#[cfg(test)]
mod tests;
