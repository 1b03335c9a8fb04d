//! The periodic detection run over all attempts, engines and remote statements.

use hoptiller_policy::Micros;

use super::RunawayDetector;
use crate::assessment::{Assessment, Observations};
use crate::group_exclusion::group_exclusions;
use crate::interface::AttemptId;
use crate::slow_engine::report_slow_engines;
use crate::wait_graph::WaitGraph;

/// Interval between detection runs.
const DETECTION_INTERVAL: Micros = 500_000;

impl RunawayDetector {
    /// Runs detection if it is due.
    pub fn run_detection(&mut self, now: Micros) {
        if now < self.next_detection_at {
            return;
        }
        self.next_detection_at = now + DETECTION_INTERVAL;
        for id in self.attempts.expired_unconfirmed(now) {
            self.remove_attempt(now, id, "it went on at its engine, and is forgotten");
        }
        self.refresh_expectations(now);
        let waits = self.update_waits(now);
        self.detect_slow_engines(now);
        self.fingerprint_changes
            .count_running(now, &self.attempts, &self.engine_slowness);
        for id in self.attempts.ids() {
            self.detect_runaway(now, id, &waits);
        }
        self.detect_blockers(now, &waits);
        self.enforce_due(now);
        self.exclude_groups(now);
        self.holds.relax_idle(now);
        self.publish_holds();
    }

    fn refresh_expectations(&mut self, now: Micros) {
        for attempt in self.attempts.values_mut() {
            attempt.refresh_expectation(now, &self.statistics, &self.settings.classes);
        }
    }

    /// Updates the waits between statements, and marks the attempts that are blocked.
    fn update_waits(&mut self, now: Micros) -> WaitGraph {
        let classes = &self.settings.classes;
        let waits = self.wait_inference.wait_graph(now, &self.attempts, classes);
        for attempt in self.attempts.values_mut() {
            let is_waiting = waits.is_waiting(&attempt.start().name);
            attempt.set_blocked(is_waiting || attempt.blocked_state(now).is_some());
        }
        waits
    }

    fn detect_slow_engines(&mut self, now: Micros) {
        self.engine_slowness
            .observe_running(now, &self.attempts, &self.findings);
        report_slow_engines(
            now,
            &self.engines,
            &self.engine_slowness,
            &mut self.findings,
            &mut self.decisions,
        );
    }

    fn detect_runaway(&mut self, now: Micros, id: AttemptId, waits: &WaitGraph) {
        let Some(attempt) = self.attempts.get(id) else {
            return;
        };
        let observations = Observations {
            now,
            classes: &self.settings.classes,
            statistics: &self.statistics,
            attempts: &self.attempts,
            engine_slowness: &self.engine_slowness,
            wait_inference: &self.wait_inference,
            waits,
        };
        match observations.assess(attempt) {
            Assessment::NotAssessed => {}
            Assessment::WithinBound => self.clear_if_revocable(now, id),
            Assessment::SlowReader(reader) => self.report_slow_reader(now, id, reader),
            Assessment::OverBound(over_bound) => self.report_over_bound(now, id, over_bound),
        }
    }

    fn exclude_groups(&mut self, now: Micros) {
        self.holds.exclude_groups(group_exclusions(
            now,
            &self.attempts,
            &self.remote_statements,
            &self.findings,
            &self.settings.classes,
        ));
    }
}
