//! Assessment of one running attempt: whether it is a runaway, and for which cause.
//!
//! The rules, in this order: a blocked attempt is not responsible for its run time, except in a deadlock; an attempt
//! that blocks many others has a stricter bound; reported work is the attempt's own; where only the run time is known,
//! it is divided by the slowness of the engine.

use hoptiller_policy::Micros;

use crate::attempt::RunningAttempt;
use crate::attempts::Attempts;
use crate::engine_slowness::EngineSlowness;
use crate::expectation::Expectation;
use crate::interface::{Basis, BlockedState, Cause, Class, Evidence, Measure};
use crate::measures::{
    Excess, MANY_WAITERS, MANY_WAITERS_BOUND_FACTOR, evidence, has_bad_plan, largest_excess,
};
use crate::statistics::Statistics;
use crate::units::RunTime;
use crate::wait_graph::WaitGraph;
use crate::wait_inference::WaitInference;

/// Time for which a client may receive rows before it counts as a slow reader.
const SLOW_READER_AFTER: Micros = 30_000_000;

/// The data that an assessment is based on, apart from the attempt itself.
pub(crate) struct Observations<'a> {
    pub(crate) now: Micros,
    pub(crate) classes: &'a [Class],
    pub(crate) statistics: &'a Statistics,
    pub(crate) attempts: &'a Attempts,
    pub(crate) engine_slowness: &'a EngineSlowness,
    pub(crate) wait_inference: &'a WaitInference,
    pub(crate) waits: &'a WaitGraph,
}

/// The result of an assessment.
#[derive(Debug)]
pub(crate) enum Assessment {
    /// The attempt is not assessed, or nothing is expected of it yet.
    NotAssessed,
    /// The attempt is within its bound, or is not responsible for the excess.
    WithinBound,
    /// The client has been receiving rows for longer than it should need.
    SlowReader(SlowReader),
    /// The attempt exceeds its bound.
    OverBound(OverBound),
}

/// A client that receives rows slowly.
#[derive(Debug)]
pub(crate) struct SlowReader {
    /// The time since which the client has been receiving rows.
    pub(crate) since: Micros,
    pub(crate) evidence: Evidence,
}

/// An attempt over its bound.
#[derive(Debug)]
pub(crate) struct OverBound {
    pub(crate) cause: Cause,
    pub(crate) excess: Excess,
    /// Names of the statements that the attempt blocks; in a deadlock, the other members of the cycle.
    pub(crate) blocked: Vec<String>,
}

impl Observations<'_> {
    /// Compares an attempt with what is expected of it.
    pub(crate) fn assess(&self, attempt: &RunningAttempt) -> Assessment {
        if let Some(since) = attempt.streaming_since() {
            return assess_reader(self.now, since);
        }
        if attempt.abandoned_at().is_some() {
            return Assessment::NotAssessed; // Abandoned attempts are assessed by the attempts that they block.
        }
        let name = &attempt.start().name;
        if let Some(cycle) = self.waits.cycle(name) {
            return Assessment::OverBound(deadlock(attempt, &cycle));
        }
        let Some(expectation) = attempt.expectation() else {
            return Assessment::NotAssessed;
        };
        if let Some(evidence) = self.excessive_memory(attempt, expectation) {
            return Assessment::OverBound(OverBound {
                cause: Cause::Memory,
                excess: Excess {
                    evidence,
                    is_certain: false,
                },
                blocked: Vec::new(),
            });
        }
        let blocked = self.waits.waiter_names(name);
        let blocks_many = blocked.len() >= MANY_WAITERS;
        let Some(excess) = self.attributable_excess(attempt, expectation, blocks_many) else {
            return Assessment::WithinBound;
        };
        let cause = if blocks_many {
            Cause::Blocks
        } else if has_bad_plan(attempt, expectation) {
            Cause::BadPlan
        } else {
            Cause::Heavy
        };
        Assessment::OverBound(OverBound {
            cause,
            excess,
            blocked,
        })
    }

    /// Returns the largest excess of an attempt, unless the excess may have a cause other than the attempt.
    fn attributable_excess(
        &self,
        attempt: &RunningAttempt,
        expectation: &Expectation,
        blocks_many: bool,
    ) -> Option<Excess> {
        let slowness = self.engine_slowness.slowness_for(self.now, attempt).factor;
        let bound_factor = if blocks_many {
            MANY_WAITERS_BOUND_FACTOR
        } else {
            1.0
        };
        let excess = largest_excess(attempt, expectation, self.now, slowness, bound_factor)?;
        // A blocked attempt is not responsible for its run time, whatever it used before.
        if attempt.is_blocked() {
            return None;
        }
        if !matches!(excess.evidence.measure, Measure::Run | Measure::RunToCome) {
            return Some(excess);
        }
        let run_time = RunTime(excess.evidence.value);
        if self.wait_inference.may_wait_for_remote_load(
            self.now,
            attempt,
            run_time,
            self.attempts,
            self.statistics,
            self.classes,
        ) {
            return None;
        }
        // If engines report on other attempts, an attempt without reports is more likely unreachable than heavy, which
        // is up to routing to handle.
        let is_unreported = attempt.progress_reports() == 0
            && self
                .attempts
                .values()
                .any(|other| other.progress_reports() > 0);
        (blocks_many || !is_unreported).then_some(excess)
    }

    /// Returns evidence that an attempt uses far more memory than usual while other attempts on its engine wait for
    /// memory.
    fn excessive_memory(
        &self,
        attempt: &RunningAttempt,
        expectation: &Expectation,
    ) -> Option<Evidence> {
        let (memory, expected) = (attempt.memory()?, expectation.memory?);
        if memory <= expected.bound || attempt.blocked_state(self.now).is_some() {
            return None;
        }
        let waits_for_memory = |other: &&RunningAttempt| {
            other.start().engine == attempt.start().engine
                && other.blocked_state(self.now) == Some(&BlockedState::Memory)
        };
        let waiters = self.attempts.values().filter(waits_for_memory).count();
        (waiters >= MANY_WAITERS).then(|| evidence(Measure::Memory, memory, expected))
    }
}

fn assess_reader(now: Micros, since: Micros) -> Assessment {
    if now - since < SLOW_READER_AFTER {
        return Assessment::NotAssessed;
    }
    Assessment::SlowReader(SlowReader {
        since,
        evidence: Evidence {
            measure: Measure::Time,
            value: (now - since) as f64,
            usual: 0.0,
            bound: SLOW_READER_AFTER as f64,
            basis: Basis::Settings,
        },
    })
}

/// Creates the assessment of an attempt in a deadlock. `cycle` names the statements that wait for each other, the
/// attempt first.
fn deadlock(attempt: &RunningAttempt, cycle: &[&str]) -> OverBound {
    let evidence = Evidence {
        measure: Measure::Time,
        value: attempt.blocked_time() as f64,
        usual: 0.0,
        bound: 0.0,
        basis: Basis::Settings,
    };
    OverBound {
        cause: Cause::Deadlock,
        excess: Excess {
            evidence,
            is_certain: false,
        },
        blocked: cycle
            .iter()
            .skip(1)
            .map(|name| (*name).to_owned())
            .collect(),
    }
}
