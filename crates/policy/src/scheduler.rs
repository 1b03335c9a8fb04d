//! Which class gets the next free slot: a weighted random draw (lottery). A PI loop tunes its odds so that the ratios of
//! the mean waits follow the reference values of the classes.
//!
//! Source: Pan et al., "Feedback Control-based Database Connection Management for Proportional Delay
//! Differentiation-enabled Web Application Servers": Eq. 11 (control law), Eq. 12 (odds).

use rand_core::RngCore;

use crate::class_statistics::Classes;
use crate::interface::Micros;
use crate::units::Work;

/// Gains of the control law, Δx = `GAIN_CURRENT`·e(k) − `GAIN_PREVIOUS`·e(k−1).
const GAIN_CURRENT: f64 = 0.42;
const GAIN_PREVIOUS: f64 = 0.1;
/// Bound on the control error: one odd ratio cannot throw the odds (anti-windup).
const MAX_ERROR: f64 = 2.0;
/// Bound on the odds ratio of neighbours, and its inverse: a class keeps about one draw in 65 (anti-windup).
const MIN_ODDS_RATIO: f64 = 1.0 / 64.0;
/// Part of the latency objective that the reference wait never falls under.
const MIN_WAIT_RATIO: f64 = 0.25;
/// Mean waits of so many ticks or less are noise: nobody waits.
const MIN_SIGNIFICANT_TICKS: f64 = 2.0;

/// Odds of the classes. Pair `j` stands for the neighbours `j` and `j + 1`.
pub(crate) struct Scheduler {
    /// P(j+1) / P(j) of each pair.
    odds_ratios: Vec<f64>,
    /// Control error of the previous period of each pair.
    previous_errors: Vec<f64>,
}

impl Scheduler {
    /// Equal odds for a number of classes, one at least.
    pub(crate) fn new(classes: usize) -> Self {
        let pairs = classes - 1;
        Scheduler {
            odds_ratios: vec![1.0; pairs],
            previous_errors: vec![0.0; pairs],
        }
    }

    /// Appends further classes, with the odds of the last one.
    pub(crate) fn extend_to(&mut self, classes: usize) {
        let pairs = classes - 1;
        self.odds_ratios.resize(pairs, 1.0);
        self.previous_errors.resize(pairs, 0.0);
    }

    /// PI update of the odds ratios from the period's mean waits in microseconds, one loop for each pair of neighbours.
    /// `tick` is the shortest time between two batches: no wait is told more exactly.
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

    /// Draws one of the open classes, of which there is one at least, by their odds.
    pub(crate) fn draw(&self, open: &[usize], rng: &mut impl RngCore) -> usize {
        let mut odds = vec![1.0; self.odds_ratios.len() + 1];
        for (j, ratio) in self.odds_ratios.iter().enumerate() {
            odds[j + 1] = odds[j] * ratio;
        }
        let total: f64 = open.iter().map(|class| odds[*class]).sum();
        let mut remaining = uniform(rng) * total;
        for class in open {
            remaining -= odds[*class];
            if remaining <= 0.0 {
                return *class;
            }
        }
        open[open.len() - 1]
    }
}

/// A uniform number from 0 up to 1, of 53 random bits.
fn uniform(rng: &mut impl RngCore) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

/// Reference wait δ of a class: the wait that its objective leaves to a usual undisturbed query, by the work for a unit of
/// priority weight. The class with the most weight for a slot waits least.
fn reference_wait(classes: Classes, class: usize) -> f64 {
    let config = classes.config(class);
    let mean_work = classes.statistics(class).mean_work();
    let objective = config.latency_objective as f64;
    let undisturbed = mean_work / config.threads();
    let stretch_allowance = undisturbed * (config.objective_stretch - 1.0);
    let wait = (objective + stretch_allowance.0).max(objective * MIN_WAIT_RATIO);
    wait * mean_work.max(Work(1.0)).0 / config.priority_weight.max(f64::MIN_POSITIVE)
}
