//! The warm-up after a cold start, during which an engine has only a part of its speed and crashes if it is overloaded.

use std::collections::VecDeque;

use super::parameters::WorkModelParameters;

#[derive(Debug)]
struct AdmittedWork {
    at: u64,
    work: f64,
}

/// The warm-up of an engine, and the work that it has admitted recently while cold. Times are in µs of the engine's
/// clock.
#[derive(Debug)]
pub(super) struct WarmUp {
    started_at: u64,
    recent: VecDeque<AdmittedWork>,
}

impl WarmUp {
    pub(super) fn new(started_at: u64) -> Self {
        let recent = VecDeque::new();
        Self { started_at, recent }
    }

    pub(super) fn uptime(&self, now: u64) -> u64 {
        now.saturating_sub(self.started_at)
    }

    pub(super) fn is_cold(&self, parameters: &WorkModelParameters, now: u64) -> bool {
        now < self.started_at + parameters.warm_up_micros
    }

    /// Returns the fraction of its full speed that the engine has at `now`. It grows linearly during the warm-up.
    pub(super) fn warmth(&self, parameters: &WorkModelParameters, now: u64) -> f64 {
        let age = (now - self.started_at) as f64 / parameters.warm_up_micros.max(1) as f64;
        let cold = parameters.cold_speed_fraction;
        (cold + (1.0 - cold) * age).min(1.0)
    }

    /// Records the work of a statement that a cold engine admits. Returns whether it overloads the engine.
    pub(super) fn record_admitted_work(
        &mut self,
        parameters: &WorkModelParameters,
        now: u64,
        warmth: f64,
        work: f64,
    ) -> bool {
        let window = parameters.overload_window_micros;
        let window_start = now.saturating_sub(window);
        self.recent.retain(|admitted| admitted.at > window_start);
        self.recent.push_back(AdmittedWork { at: now, work });
        let admitted: f64 = self.recent.iter().map(|admitted| admitted.work).sum();
        let capacity = parameters.cores * parameters.speed * warmth * window as f64;
        admitted > parameters.overload_factor * capacity
    }
}
