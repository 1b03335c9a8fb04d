//! Waits between attempts: as reported by engines, or inferred from table groups if no engine reports progress.

use std::collections::BTreeMap;

use hoptiller_policy::{EngineId, Micros};

use crate::attempt::RunningAttempt;
use crate::attempts::Attempts;
use crate::interface::{BlockedState, Class};
use crate::statistics::Statistics;
use crate::units::RunTime;
use crate::wait_graph::WaitGraph;

/// Multiple of the usual run time from which an attempt may be inferred to wait for a load.
const MAY_WAIT_FACTOR: f64 = 4.0;
/// Time without any progress report after which engines are assumed not to report progress.
const REPORTS_TTL: Micros = 60_000_000;
/// Age from which completions are dropped when too many are kept.
const GROUP_COMPLETION_TTL: Micros = 60_000_000;
/// Maximum number of pairs of engine and table group whose last completion is kept.
const MAX_GROUP_COMPLETIONS: usize = 8192;

/// The data that waits are inferred from, apart from the running attempts.
#[derive(Debug, Default)]
pub(crate) struct WaitInference {
    /// The time of the last progress report of any engine.
    last_report_at: Option<Micros>,
    /// By engine and table group: the latest start time among the attempts that completed there as usual.
    last_completions: BTreeMap<(EngineId, u64), Micros>,
}

impl WaitInference {
    /// Records a progress report of any engine.
    pub(crate) fn record_report(&mut self, now: Micros) {
        self.last_report_at = Some(now);
    }

    /// Records that an attempt on a table group completed as usual on an engine.
    pub(crate) fn record_completion(
        &mut self,
        now: Micros,
        engine: EngineId,
        group: u64,
        started_at: Micros,
    ) {
        let last = self.last_completions.entry((engine, group)).or_default();
        *last = (*last).max(started_at);
        if self.last_completions.len() > MAX_GROUP_COMPLETIONS {
            self.last_completions
                .retain(|_, started_at| now.saturating_sub(*started_at) < GROUP_COMPLETION_TTL);
        }
        if self.last_completions.len() > MAX_GROUP_COMPLETIONS {
            // Too many completions are recent. Without them, long readers are excused more often until new ones are
            // recorded.
            self.last_completions.clear();
        }
    }

    /// Returns the current waits.
    pub(crate) fn wait_graph(
        &self,
        now: Micros,
        attempts: &Attempts,
        classes: &[Class],
    ) -> WaitGraph {
        let mut waits = WaitGraph::default();
        for attempt in awaited(attempts) {
            if let Some(BlockedState::Statement(Some(blocker))) = attempt.blocked_state(now) {
                waits.add_wait(&attempt.start().name, &blocker.name);
            }
        }
        if !self.has_recent_reports(now) {
            infer_waits(now, attempts, classes, &mut waits);
        }
        waits
    }

    /// Returns whether an attempt may wait for a load of another router. Always returns `false` while engines report
    /// progress, because they report waits then. It does not wait if another attempt on its table group that started
    /// later completed there as usual; otherwise it may if another attempt there runs long too, or if it has run no
    /// longer than a load may.
    pub(crate) fn may_wait_for_remote_load(
        &self,
        now: Micros,
        attempt: &RunningAttempt,
        run_time: RunTime,
        attempts: &Attempts,
        statistics: &Statistics,
        classes: &[Class],
    ) -> bool {
        let start = attempt.start();
        let Some(group) = start.group else {
            return false;
        };
        let mut loads = classes
            .iter()
            .enumerate()
            .filter(|(_, class)| class.locks_group)
            .peekable();
        if self.has_recent_reports(now)
            || classes[start.class].locks_group
            || loads.peek().is_none()
        {
            return false;
        }
        if self.has_later_start_completed(start.engine, group, attempt.started_at()) {
            return false;
        }
        let longest_load = loads
            .map(|(class, settings)| statistics.remote_expectation(class, settings).bound.0)
            .fold(0.0, f64::max);
        let runs_long_too = |other: &RunningAttempt| {
            is_on_same_tables(other, attempt)
                && other.start().attempt != start.attempt
                && takes_unusually_long(now, other)
        };
        awaited(attempts).any(runs_long_too) || run_time.0 <= longest_load
    }

    /// Returns whether any engine has reported progress recently.
    fn has_recent_reports(&self, now: Micros) -> bool {
        self.last_report_at
            .is_some_and(|at| now.saturating_sub(at) < REPORTS_TTL)
    }

    /// Returns whether an attempt on this table group that started on this engine after `since` has completed as usual.
    fn has_later_start_completed(&self, engine: EngineId, group: u64, since: Micros) -> bool {
        self.last_completions
            .get(&(engine, group))
            .is_some_and(|started_at| *started_at > since)
    }
}

/// Infers that an attempt that takes far longer than usual waits for a load on its table group that started earlier on
/// the same engine.
fn infer_waits(now: Micros, attempts: &Attempts, classes: &[Class], waits: &mut WaitGraph) {
    let is_load = |attempt: &&RunningAttempt| {
        let start = attempt.start();
        classes[start.class].locks_group && start.group.is_some()
    };
    for load in attempts.values().filter(is_load) {
        for attempt in awaited(attempts) {
            if is_on_same_tables(attempt, load)
                && attempt.started_at() > load.started_at()
                && takes_unusually_long(now, attempt)
            {
                waits.add_wait(&attempt.start().name, &load.start().name);
            }
        }
    }
}

/// Returns the attempts that this router still waits for.
fn awaited(attempts: &Attempts) -> impl Iterator<Item = &RunningAttempt> {
    attempts
        .values()
        .filter(|attempt| attempt.abandoned_at().is_none())
}

fn is_on_same_tables(one: &RunningAttempt, other: &RunningAttempt) -> bool {
    let (one, other) = (one.start(), other.start());
    (one.engine, one.group) == (other.engine, other.group)
}

fn takes_unusually_long(now: Micros, attempt: &RunningAttempt) -> bool {
    let usual = attempt
        .expectation()
        .map_or(f64::INFINITY, |expected| expected.run_time.usual.0);
    attempt.active_time(now).0 > MAY_WAIT_FACTOR * usual
}
