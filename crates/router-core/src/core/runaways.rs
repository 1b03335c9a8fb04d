//! The bridge to the runaway detector: what is reported to it, and what becomes of its decisions.
//!
//! Holds go to the controller as events, so that the controller alone decides on every send.

use hoptiller_policy::{AttemptStatus, EndpointEntry, EngineId, Event, ListScope, Micros};
use hoptiller_runaway::{
    AttemptId, AttemptStart, Decision, ExecutionOutcome, FingerprintId, ProgressReport,
    RestoredCounts, RunawayDetector, SnapshotError,
};

use super::Core;
use crate::command::Command;
use crate::identity::StatementId;
use crate::response::ResultPage;

impl Core {
    /// The runaway detector, if there is one.
    pub fn runaway_detector(&self) -> Option<&RunawayDetector> {
        self.runaway_detector.as_ref()
    }

    /// Restores the statistics of an earlier incarnation into the runaway detector; `None` if there is no detector.
    pub fn restore_runaway_detector(
        &mut self,
        now: Micros,
        snapshot: &[u8],
    ) -> Option<Result<RestoredCounts, SnapshotError>> {
        self.runaway_detector
            .as_mut()
            .map(|detector| detector.restore(now, snapshot))
    }

    /// An operator releases a fingerprint that is held. Returns whether it was held.
    pub fn release_fingerprint(&mut self, fingerprint: FingerprintId) -> bool {
        let was_held = self
            .runaway_detector
            .as_mut()
            .is_some_and(|detector| detector.release_hold(fingerprint));
        self.apply_runaway_decisions();
        was_held
    }

    /// An engine reports the status of a running attempt.
    pub fn update_attempt_status(
        &mut self,
        now: Micros,
        id: StatementId,
        attempt: u32,
        progress: ProgressReport,
    ) {
        if let Some(detector) = &mut self.runaway_detector {
            detector.report_progress(now, attempt_id(id, attempt), progress);
        }
    }

    /// Reports to the detector that an attempt is sent.
    pub(super) fn start_runaway_detection(
        &mut self,
        now: Micros,
        id: StatementId,
        attempt: u32,
        engine: EngineId,
    ) {
        let (Some(detector), Some(statement)) =
            (&mut self.runaway_detector, self.statements.get(id))
        else {
            return;
        };
        let Some(profile) = statement.runaway_profile() else {
            return;
        };
        let start = AttemptStart {
            attempt: attempt_id(id, attempt),
            engine,
            class: statement.class(),
            name: self.identity.statement_name(id),
            fingerprint: profile.fingerprint,
            held_as: profile.held_as,
            label: profile.label.clone(),
            announced: profile.announced,
            group: profile.group,
        };
        detector.start_attempt(now, start);
    }

    /// Reports to the detector that a page was received: the engine has a result, or with the last page all of it.
    pub(super) fn report_page_to_runaway_detector(
        &mut self,
        now: Micros,
        id: StatementId,
        attempt: u32,
        page: &ResultPage,
    ) {
        let Some(detector) = &mut self.runaway_detector else {
            return;
        };
        let attempt = attempt_id(id, attempt);
        if page.is_last {
            detector.end_attempt(now, attempt, ExecutionOutcome::Succeeded, page.work);
        } else {
            detector.start_streaming(now, attempt);
        }
    }

    /// Reports to the detector that an attempt has ended.
    pub(super) fn end_runaway_detection(
        &mut self,
        now: Micros,
        id: StatementId,
        attempt: u32,
        outcome: ExecutionOutcome,
        work: Option<Micros>,
    ) {
        if let Some(detector) = &mut self.runaway_detector {
            detector.end_attempt(now, attempt_id(id, attempt), outcome, work);
        }
    }

    /// Reports to the detector what the status of an ended attempt shows of its execution at the engine.
    pub(super) fn end_runaway_detection_by_status(
        &mut self,
        now: Micros,
        id: StatementId,
        attempt: u32,
        status: AttemptStatus,
    ) {
        let outcome = match status {
            AttemptStatus::Rejected | AttemptStatus::ConnectFailed | AttemptStatus::NotSent => {
                ExecutionOutcome::NeverRan
            }
            AttemptStatus::Succeeded | AttemptStatus::ErrorResponse => ExecutionOutcome::Failed,
            AttemptStatus::Cancelled if self.endpoints.cancel_stops_work() => {
                ExecutionOutcome::Failed
            }
            AttemptStatus::TimedOut | AttemptStatus::ConnectionReset | AttemptStatus::Cancelled => {
                ExecutionOutcome::Abandoned
            }
        };
        self.end_runaway_detection(now, id, attempt, outcome, None);
    }

    /// Reports to the detector an update of the engine list, except one that failed.
    pub(super) fn update_runaway_endpoints(
        &mut self,
        now: Micros,
        scope: ListScope,
        entries: &[EndpointEntry],
    ) {
        if scope == ListScope::Failed {
            return;
        }
        let Some(detector) = &mut self.runaway_detector else {
            return;
        };
        for engine in self.endpoints.update(scope, entries) {
            detector.reset_engine(now, engine);
        }
        detector.update_engines(self.endpoints.listed());
        self.apply_runaway_decisions();
    }

    /// Runs the detector, if it is due.
    pub(super) fn detect_runaways(&mut self, now: Micros) {
        if let Some(detector) = &mut self.runaway_detector {
            detector.run_detection(now);
        }
        self.apply_runaway_decisions();
    }

    /// Turns the detector's decisions into events and commands.
    fn apply_runaway_decisions(&mut self) {
        let decisions = self
            .runaway_detector
            .as_mut()
            .map(RunawayDetector::take_decisions);
        for decision in decisions.into_iter().flatten() {
            let command = match decision {
                Decision::Hold(hold) => {
                    self.events.push(Event::Hold(hold));
                    continue;
                }
                Decision::Found(finding) => Command::ReportFinding(finding),
                Decision::Pause(attempt) => pause_command(attempt, true),
                Decision::Resume(attempt) => pause_command(attempt, false),
                Decision::Kill(attempt) => Command::Kill {
                    id: attempt.statement,
                    attempt: attempt.number,
                },
            };
            self.commands.push_back(command);
        }
    }
}

fn attempt_id(statement: StatementId, attempt: u32) -> AttemptId {
    AttemptId {
        statement,
        number: attempt,
    }
}

fn pause_command(attempt: AttemptId, paused: bool) -> Command {
    Command::Pause {
        id: attempt.statement,
        attempt: attempt.number,
        paused,
    }
}
