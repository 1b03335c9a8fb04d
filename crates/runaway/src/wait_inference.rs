//! Which attempt waits for which statement: as engines report it, or inferred from table groups where none does.

use hoptiller_policy::Micros;

use crate::attempt::RunningAttempt;
use crate::detector::RunawayDetector;
use crate::interface::BlockedState;
use crate::wait_graph::WaitGraph;

/// Multiple of the usual run time from which an attempt may be inferred to wait for a load.
const MAY_WAIT_FACTOR: f64 = 4.0;

impl RunawayDetector {
    /// Builds the graph of who waits for whom now.
    pub(crate) fn build_wait_graph(&self, now: Micros) -> WaitGraph {
        let mut waits = WaitGraph::default();
        for attempt in self
            .attempts
            .values()
            .filter(|attempt| attempt.abandoned_at.is_none())
        {
            if let Some(BlockedState::Behind(Some(holder))) = attempt.blocked_state(now) {
                waits.add_wait(&attempt.start.name, &holder.name);
            }
        }
        self.infer_waits(now, &mut waits);
        waits
    }

    /// Infers waits where engines report none: an attempt that takes far longer than usual is taken to wait for a
    /// load on its table group that started earlier at the same engine.
    fn infer_waits(&self, now: Micros, waits: &mut WaitGraph) {
        if self.has_recent_reports(now) {
            return;
        }
        let loads = |attempt: &&RunningAttempt| {
            self.settings.classes[attempt.start.class].holds_tables && attempt.start.group.is_some()
        };
        for load in self.attempts.values().filter(loads) {
            for attempt in self
                .attempts
                .values()
                .filter(|attempt| attempt.abandoned_at.is_none())
            {
                let same = attempt.start.engine == load.start.engine
                    && attempt.start.group == load.start.group;
                let usual = self
                    .expectation(attempt.start.attempt)
                    .map_or(f64::INFINITY, |e| e.run.usual);
                if same
                    && attempt.started_at > load.started_at
                    && attempt.active_time(now) > MAY_WAIT_FACTOR * usual
                {
                    waits.add_wait(&attempt.start.name, &load.start.name);
                }
            }
        }
    }

    /// Where engines report no waits: whether an attempt may wait for a load of another router. It may not if another
    /// attempt on its table group that started later ran there as usual; otherwise it may if another one runs long
    /// there too, or if it has run no longer than a load may. `run_time` is in µs.
    pub(crate) fn may_be_blocked_unseen(
        &self,
        now: Micros,
        attempt: &RunningAttempt,
        run_time: f64,
    ) -> bool {
        let (engine, Some(group)) = (attempt.start.engine, attempt.start.group) else {
            return false;
        };
        let loads =
            || (0..self.settings.classes.len()).filter(|c| self.settings.classes[*c].holds_tables);
        if self.has_recent_reports(now)
            || self.settings.classes[attempt.start.class].holds_tables
            || loads().next().is_none()
        {
            return false;
        }
        if self.completed_normally_since(engine, group, attempt.started_at) {
            return false;
        }
        let long = |other: &&RunningAttempt| {
            let usual = self
                .expectation(other.start.attempt)
                .map_or(f64::INFINITY, |e| e.run.usual);
            (other.start.engine, other.start.group) == (engine, Some(group))
                && other.start.attempt != attempt.start.attempt
                && other.abandoned_at.is_none()
                && other.active_time(now) > MAY_WAIT_FACTOR * usual
        };
        let longest_load = loads()
            .map(|c| {
                self.statistics
                    .class_expectation(c, &self.settings.classes[c])
                    .bound
            })
            .fold(0.0, f64::max);
        self.attempts.values().any(|other| long(&other)) || run_time <= longest_load
    }
}
