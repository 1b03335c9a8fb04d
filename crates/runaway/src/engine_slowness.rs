//! The slowness of each engine: the ratio of run times to the usual ones, as the median over the fingerprints that run
//! or recently ran on the engine. If everything on an engine is slow, no statement is responsible for it.

use std::collections::{BTreeMap, VecDeque};

use hoptiller_policy::{EngineId, Micros};

use crate::attempt::RunningAttempt;
use crate::attempts::Attempts;
use crate::findings::Findings;
use crate::interface::{AttemptId, FingerprintId};

/// Maximum number of completions kept per engine.
const MAX_COMPLETIONS: usize = 16;
/// Time for which a completion counts.
const COMPLETION_TTL: Micros = 20_000_000;
/// Number of samples from which the median of an engine is used as its slowness.
const MIN_SAMPLES: usize = 3;
/// Number of samples from which an engine is reported.
const MIN_SAMPLES_TO_REPORT: usize = MIN_SAMPLES + 1;
/// Upper limit of the slowness factor.
const MAX_SLOWNESS: f64 = 20.0;
/// Multiple of the usual run time from which a running attempt counts as a sample of its engine.
const MIN_SLOW_SAMPLE: f64 = 2.0;
/// Slowness from which an engine is reported.
pub(crate) const MIN_REPORTED_SLOWNESS: f64 = 3.0;
/// Ratio to the median slowness of the other engines from which an engine is reported.
const MIN_RATIO_TO_OTHERS: f64 = 2.0;
/// Divisor of both thresholds for an engine that is already reported.
const HYSTERESIS_FACTOR: f64 = 2.0;

/// A sample of an engine: the slowdown of one attempt. It is a lower bound while the attempt runs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sample {
    /// The attempt's fingerprint.
    pub(crate) fingerprint: FingerprintId,
    /// Ratio of the attempt's run time to the usual one.
    pub(crate) slowdown: f64,
}

/// The slowness of an engine: the median slowdown of its attempts, by fingerprint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Slowness {
    /// Ratio of run times to the usual ones, at least 1.
    pub(crate) factor: f64,
    /// Number of attempts that the factor is based on.
    pub(crate) samples: usize,
}

/// Samples of each engine: recent completions, and running attempts that take longer than usual.
#[derive(Debug, Default)]
pub(crate) struct EngineSlowness {
    completions: BTreeMap<EngineId, VecDeque<(Micros, Sample)>>,
    /// Samples of running attempts, as of the last detection run.
    running: BTreeMap<EngineId, Vec<(AttemptId, Sample)>>,
}

impl EngineSlowness {
    /// Records the completion of an attempt.
    pub(crate) fn record_completion(&mut self, now: Micros, engine: EngineId, sample: Sample) {
        let completions = self.completions.entry(engine).or_default();
        completions.push_back((now, sample));
        while completions.len() > MAX_COMPLETIONS {
            completions.pop_front();
        }
    }

    /// Replaces the samples of running attempts, once per detection run.
    pub(crate) fn observe_running(
        &mut self,
        now: Micros,
        attempts: &Attempts,
        findings: &Findings,
    ) {
        self.running.clear();
        let eligible = attempts.values().filter(|attempt| {
            attempt.is_executing()
                && !attempt.is_blocked()
                && !findings.is_runaway(&attempt.subject())
        });
        for attempt in eligible {
            if let Some(sample) = running_sample(now, attempt) {
                let start = attempt.start();
                let samples = self.running.entry(start.engine).or_default();
                samples.push((start.attempt, sample));
            }
        }
    }

    /// Keeps only the completions of engines that `is_listed` accepts.
    pub(crate) fn retain(&mut self, is_listed: impl Fn(EngineId) -> bool) {
        self.completions.retain(|id, _| is_listed(*id));
    }

    /// Returns the slowness of an engine, based on all attempts that run or recently ran on it.
    pub(crate) fn slowness(&self, now: Micros, engine: EngineId) -> Slowness {
        let running = self.running.get(&engine).into_iter().flatten();
        let samples: Vec<Sample> = running.map(|(_, sample)| *sample).collect();
        self.slowness_with(now, engine, &samples)
    }

    /// Returns the slowness of an attempt's engine, based on the other attempts that run or recently ran on it.
    pub(crate) fn slowness_for(&self, now: Micros, attempt: &RunningAttempt) -> Slowness {
        let start = attempt.start();
        let running = self.running.get(&start.engine).into_iter().flatten();
        let samples: Vec<Sample> = running
            .filter(|(id, _)| *id != start.attempt)
            .map(|(_, sample)| *sample)
            .collect();
        self.slowness_with(now, start.engine, &samples)
    }

    fn slowness_with(&self, now: Micros, engine: EngineId, running: &[Sample]) -> Slowness {
        let since = now.saturating_sub(COMPLETION_TTL);
        let completed = self
            .completions
            .get(&engine)
            .into_iter()
            .flatten()
            .filter(|(at, _)| *at >= since);
        let mut by_fingerprint: BTreeMap<FingerprintId, Vec<f64>> = BTreeMap::new();
        for sample in completed.map(|(_, sample)| sample).chain(running) {
            let slowdowns = by_fingerprint.entry(sample.fingerprint).or_default();
            slowdowns.push(sample.slowdown);
        }
        let samples = by_fingerprint.values().map(Vec::len).sum();
        if samples < MIN_SAMPLES {
            return Slowness {
                factor: 1.0,
                samples,
            };
        }
        // A changed fingerprint is slow on all engines, so each fingerprint contributes only one median.
        let mut medians: Vec<f64> = by_fingerprint
            .values_mut()
            .map(|slowdowns| median(slowdowns))
            .collect();
        Slowness {
            factor: median(&mut medians).clamp(1.0, MAX_SLOWNESS),
            samples,
        }
    }
}

/// Returns the sample of a running attempt, or `None` unless it takes longer than usual.
fn running_sample(now: Micros, attempt: &RunningAttempt) -> Option<Sample> {
    let expectation = attempt.expectation().filter(|e| e.is_known)?;
    // The run time so far is only a lower bound, so an attempt counts once it takes [`MIN_SLOW_SAMPLE`] times the usual
    // one. A statement with more work than usual takes longer on any engine, so its usual run time is scaled up.
    let size_ratio = attempt
        .work()
        .map_or(1.0, |work| work.0 / expectation.work.usual.0.max(1.0))
        .max(1.0);
    let usual = expectation.run_time.usual.0.max(1.0) * size_ratio;
    let slowdown = attempt.active_time(now).0 / usual;
    (slowdown >= MIN_SLOW_SAMPLE).then_some(Sample {
        fingerprint: attempt.start().fingerprint,
        slowdown,
    })
}

/// Returns the lower median, so that more than half of the values must be high before an attempt is excused.
fn median(values: &mut [f64]) -> f64 {
    values.sort_by(f64::total_cmp);
    values
        .get(values.len().saturating_sub(1) / 2)
        .copied()
        .unwrap_or(1.0)
}

/// Returns whether an engine is slower than the others. An engine that `is_reported` remains reported until it is
/// clearly faster (hysteresis).
pub(crate) fn is_slower_than_others(own: Slowness, others: &[Slowness], is_reported: bool) -> bool {
    let mut known: Vec<f64> = others
        .iter()
        .filter(|other| other.samples >= MIN_SAMPLES)
        .map(|other| other.factor)
        .collect();
    let usual = median(&mut known);
    if is_reported {
        return own.factor >= MIN_REPORTED_SLOWNESS / HYSTERESIS_FACTOR
            && own.factor >= MIN_RATIO_TO_OTHERS / HYSTERESIS_FACTOR * usual;
    }
    own.samples >= MIN_SAMPLES_TO_REPORT
        && own.factor >= MIN_REPORTED_SLOWNESS
        && own.factor >= MIN_RATIO_TO_OTHERS * usual
}

#[cfg(test)]
mod tests;
