//! Which class gets the next free slot: a weighted random draw (lottery). A PI loop tunes its odds so that
//! the ratios of the mean waits follow the reference values of the classes.

use rand_core::RngCore;

use crate::interface::Micros;
use crate::state::Controller;

/// Period of the PI loop and the concurrency limits: some answers of each class in one, a few in a burst.
pub(crate) const CONTROL_PERIOD: Micros = 2_000_000;
/// Gains of the PI update, Δx = GAIN_CURRENT·e(k) − GAIN_PREVIOUS·e(k−1); from the paper, Eq. 11.
const GAIN_CURRENT: f64 = 0.42;
const GAIN_PREVIOUS: f64 = 0.1;
const MAX_ERROR: f64 = 2.0; // One odd ratio cannot throw the odds (anti-windup).
const MIN_ODDS_RATIO: f64 = 1.0 / 64.0; // About one draw in 65 is kept (anti-windup).
const MIN_WAIT_RATIO: f64 = 0.25; // Part of the objective that the reference wait never falls under.

impl Controller {
    /// PI update of the odds ratios from the period's mean waits, one loop for each pair of neighbours.
    pub(crate) fn update_odds(&mut self) {
        let mean_waits = self.take_mean_waits();
        let min_wait = self.settings.tick.max(1) as f64;
        for j in 0..self.odds_ratios.len() {
            let (Some(first), Some(second)) = (mean_waits[j], mean_waits[j + 1]) else { continue };
            if first.max(second) <= 2.0 * min_wait {
                continue; // Nobody waits: the ratio is noise.
            }
            let target = self.reference(j) / self.reference(j + 1);
            let target = target.clamp(MIN_ODDS_RATIO, 1.0 / MIN_ODDS_RATIO);
            let error = (target - first.max(min_wait) / second.max(min_wait)).clamp(-MAX_ERROR, MAX_ERROR);
            let step = GAIN_CURRENT * error - GAIN_PREVIOUS * self.previous_errors[j];
            self.odds_ratios[j] = (self.odds_ratios[j] + step).clamp(MIN_ODDS_RATIO, 1.0 / MIN_ODDS_RATIO);
            self.previous_errors[j] = error;
        }
    }

    /// Reference wait δ of a class: the wait that its objective leaves to a usual undisturbed query, by the
    /// work for a unit of priority weight. The class with the most weight for a slot waits least.
    fn reference(&self, class: usize) -> f64 {
        let (config, state) = (&self.settings.classes[class], &self.classes[class]);
        let objective = config.latency_objective as f64;
        let undisturbed = state.mean_work / config.threads;
        let wait =
            (objective + (config.objective_stretch - 1.0) * undisturbed).max(objective * MIN_WAIT_RATIO);
        wait * state.mean_work.max(1.0) / config.priority_weight.max(f64::MIN_POSITIVE)
    }

    /// Draws one of the open classes; odds by the ratios: P_{j+1} = ratio_j · P_j.
    pub(crate) fn draw_class(&mut self, open: &[usize]) -> usize {
        let mut odds = vec![1.0; self.classes.len()];
        for j in 0..self.odds_ratios.len() {
            odds[j + 1] = odds[j] * self.odds_ratios[j];
        }
        let total: f64 = open.iter().map(|class| odds[*class]).sum();
        let mut remaining = (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64 * total;
        for class in open {
            remaining -= odds[*class];
            if remaining <= 0.0 {
                return *class;
            }
        }
        open[open.len() - 1]
    }

    /// Priority weight of a usual query per unit of its work.
    pub(crate) fn weight_per_work(&self, class: usize) -> f64 {
        self.settings.classes[class].priority_weight / self.classes[class].mean_work.max(1.0)
    }
}
