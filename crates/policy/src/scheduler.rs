//! Lottery scheduling: a weighted random draw selects the class that gets the next free slot. A PI loop tunes the odds
//! so that the ratios of the mean waits follow the ratios of the classes' reference waits.
//!
//! Source: Pan et al., "Feedback Control-based Database Connection Management for Proportional Delay
//! Differentiation-enabled Web Application Servers": Eq. 11 (control law), Eq. 12 (odds).

use rand_core::RngCore;

use crate::class_statistics::Classes;
use crate::interface::Micros;
use crate::units::Work;

/// Gains of the control law, Δx = `GAIN_CURRENT`·e(k) − `GAIN_PREVIOUS`·e(k−1), where x is an odds ratio and e(k) the
/// control error of period k.
const GAIN_CURRENT: f64 = 0.42;
const GAIN_PREVIOUS: f64 = 0.1;
/// Bound on the control error, so that a single extreme ratio does not change the odds abruptly (anti-windup).
const MAX_ERROR: f64 = 2.0;
/// Lower bound on the odds ratio of neighbouring classes; the upper bound is its inverse (anti-windup). Of two classes,
/// each gets at least one draw in 65. Also bounds the target ratio of the mean waits.
const MIN_ODDS_RATIO: f64 = 1.0 / 64.0;
/// Minimum of the wait that the objective permits, as a fraction of the objective.
const MIN_WAIT_RATIO: f64 = 0.25;
/// Mean wait, in ticks, up to which waits are noise and don't change the odds.
const MIN_SIGNIFICANT_TICKS: f64 = 2.0;

/// Odds of the classes. Pair `j` consists of the neighbouring classes `j` and `j + 1`.
pub(crate) struct Scheduler {
    /// Odds ratio P(j+1) / P(j) of each pair.
    odds_ratios: Vec<f64>,
    /// Control error of each pair in the previous period.
    previous_errors: Vec<f64>,
}

impl Scheduler {
    /// Creates a scheduler with equal odds for `class_count` classes, which must be at least one.
    pub(crate) fn new(class_count: usize) -> Self {
        let pairs = class_count - 1;
        Scheduler {
            odds_ratios: vec![1.0; pairs],
            previous_errors: vec![0.0; pairs],
        }
    }

    /// Appends new classes with the odds of the last class.
    pub(crate) fn extend_to(&mut self, class_count: usize) {
        let pairs = class_count - 1;
        self.odds_ratios.resize(pairs, 1.0);
        self.previous_errors.resize(pairs, 0.0);
    }

    /// Updates the odds ratios from the period's mean waits in microseconds, with one PI loop per pair of neighbouring
    /// classes. `tick` is the minimum time between two batches, which limits the resolution of waits.
    pub(crate) fn update_odds(
        &mut self,
        mean_waits: &[Option<f64>],
        classes: Classes,
        tick: Micros,
    ) {
        let min_wait = tick.max(1) as f64;
        for j in 0..self.odds_ratios.len() {
            let (Some(first), Some(second)) = (mean_waits[j], mean_waits[j + 1]) else {
                continue;
            };
            if first.max(second) <= MIN_SIGNIFICANT_TICKS * min_wait {
                continue;
            }
            let target = reference_wait(classes, j) / reference_wait(classes, j + 1);
            let target = target.clamp(MIN_ODDS_RATIO, 1.0 / MIN_ODDS_RATIO);
            let ratio = first.max(min_wait) / second.max(min_wait);
            let error = (target - ratio).clamp(-MAX_ERROR, MAX_ERROR);
            let step = GAIN_CURRENT * error - GAIN_PREVIOUS * self.previous_errors[j];
            self.odds_ratios[j] =
                (self.odds_ratios[j] + step).clamp(MIN_ODDS_RATIO, 1.0 / MIN_ODDS_RATIO);
            self.previous_errors[j] = error;
        }
    }

    /// Draws one of the candidate classes by their odds. There must be at least one candidate.
    pub(crate) fn draw(&self, candidates: &[usize], rng: &mut impl RngCore) -> usize {
        let mut odds = vec![1.0; self.odds_ratios.len() + 1];
        for (j, ratio) in self.odds_ratios.iter().enumerate() {
            odds[j + 1] = odds[j] * ratio;
        }
        let total: f64 = candidates.iter().map(|class| odds[*class]).sum();
        let mut remaining = uniform(rng) * total;
        for class in candidates {
            remaining -= odds[*class];
            if remaining <= 0.0 {
                return *class;
            }
        }
        candidates[candidates.len() - 1]
    }
}

/// Returns a uniformly distributed number in [0, 1) from 53 random bits.
fn uniform(rng: &mut impl RngCore) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

/// Returns the reference wait δ of a class: the wait that the objective permits an average query on an unloaded engine,
/// times the work per unit of priority weight. Only the ratios of reference waits are
/// used. Classes with more weight per work wait less.
fn reference_wait(classes: Classes, class: usize) -> f64 {
    let config = classes.config(class);
    let mean_work = classes.statistics(class).mean_work();
    let objective = config.latency_objective as f64;
    let work_per_thread = mean_work / config.threads();
    let stretch_allowance = work_per_thread * (config.objective_stretch - 1.0);
    let wait = (objective + stretch_allowance.0).max(objective * MIN_WAIT_RATIO);
    wait * mean_work.max(Work(1.0)).0 / config.priority_weight.max(f64::MIN_POSITIVE)
}
