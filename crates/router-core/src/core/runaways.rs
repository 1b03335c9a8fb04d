//! The connection to the runaway detector: reports to the detector, and application of its decisions.
//!
//! Holds are passed to the controller as events, so that the controller alone decides on every send.

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
    /// Returns the runaway detector, if there is one.
    pub fn runaway_detector(&self) -> Option<&RunawayDetector> {
        self.runaway_detector.as_ref()
    }

    /// Restores the runaway detector's statistics from a snapshot of an earlier incarnation. Returns `None` if there is
    /// no detector.
    pub fn restore_runaway_detector(
        &mut self,
        now: Micros,
        snapshot: &[u8],
    ) -> Option<Result<RestoredCounts, SnapshotError>> {
        self.runaway_detector
            .as_mut()
            .map(|detector| detector.restore(now, snapshot))
    }

    /// Releases a held fingerprint on request of an operator. Returns whether the fingerprint was held.
    pub fn release_fingerprint(&mut self, fingerprint: FingerprintId) -> bool {
        let was_held = self
            .runaway_detector
            .as_mut()
            .is_some_and(|detector| detector.release_hold(fingerprint));
        self.apply_runaway_decisions();
        was_held
    }

    /// Reports the progress of a running attempt to the runaway detector.
    pub fn report_progress_to_runaway_detector(
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

    /// Reports to the runaway detector that an attempt is sent.
    pub(super) fn report_start_to_runaway_detector(
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

    /// Reports a received page to the runaway detector: the last page ends the attempt, an earlier one starts its
    /// stream of rows.
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

    /// Reports to the runaway detector that an attempt has ended.
    pub(super) fn report_end_to_runaway_detector(
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

    /// Reports to the runaway detector how an attempt ended at the engine, as far as its status shows.
    pub(super) fn report_status_to_runaway_detector(
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
        self.report_end_to_runaway_detector(now, id, attempt, outcome, None);
    }

    /// Reports an update of the engine list to the runaway detector, unless the update failed.
    pub(super) fn report_endpoints_to_runaway_detector(
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
        detector.update_engines(self.endpoints.engine_statuses());
        self.apply_runaway_decisions();
    }

    /// Runs the runaway detector if it is due, and applies its decisions.
    pub(super) fn detect_runaways(&mut self, now: Micros) {
        if let Some(detector) = &mut self.runaway_detector {
            detector.run_detection(now);
        }
        self.apply_runaway_decisions();
    }

    /// Converts the runaway detector's decisions into events and commands.
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
    Command::SetPaused {
        id: attempt.statement,
        attempt: attempt.number,
        paused,
    }
}
