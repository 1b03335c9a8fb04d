//! The periodic detection run over all attempts, engines and remote statements.

use hoptiller_policy::Micros;

use crate::attempt::RunningAttempt;
use crate::detector::RunawayDetector;
use crate::interface::AttemptId;

/// Time between two detection runs.
const DETECTION_INTERVAL: Micros = 500_000;
/// An abandoned attempt is kept for this long.
const UNCONFIRMED_TTL: Micros = 900_000_000;

impl RunawayDetector {
    /// Runs detection if it is due.
    pub fn run_detection(&mut self, now: Micros) {
        if now < self.next_detection_at {
            return;
        }
        self.next_detection_at = now + DETECTION_INTERVAL;
        let old = |attempt: &RunningAttempt| {
            attempt
                .abandoned_at
                .is_some_and(|at| now.saturating_sub(at) > UNCONFIRMED_TTL)
        };
        let forgotten: Vec<AttemptId> = self
            .unconfirmed
            .iter()
            .filter(|id| self.attempts.get(id).is_none_or(old))
            .copied()
            .collect();
        for id in forgotten {
            self.unconfirmed.retain(|g| *g != id);
            self.remove_attempt(now, id, "it went on at its engine, and is forgotten");
        }
        self.detect(now);
        self.holds.relax_idle(now);
        self.publish_holds();
    }

    fn detect(&mut self, now: Micros) {
        let ids: Vec<AttemptId> = self.attempts.keys().copied().collect();
        for id in &ids {
            self.refresh_expectation(now, *id);
        }
        let waits = self.build_wait_graph(now);
        for attempt in self.attempts.values_mut() {
            attempt.is_blocked =
                waits.is_waiting(&attempt.start.name) || attempt.blocked_state(now).is_some();
        }
        self.collect_slow_samples(now);
        self.detect_slow_engines(now);
        self.count_long_runs(now, &ids);
        for id in ids {
            self.detect_attempt(now, id, &waits);
        }
        self.detect_remote_runaways(now, &waits);
        self.enforce_due(now);
        self.exclude_blocked_groups(now);
    }
}
