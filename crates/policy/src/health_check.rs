//! Health checks: an engine is asked for a load report with sends, and now and then while requests wait. Only so does a
//! gateway that takes all engines for full find out that they are not.

use crate::engine::Engines;
use crate::interface::{EngineId, Micros, Settings};
use crate::intervals::HOUSEKEEPING_INTERVAL;
use crate::rendezvous::rendezvous_hash;

/// Interval between two checks while requests wait.
const CHECK_INTERVAL: Micros = 10 * HOUSEKEEPING_INTERVAL;
/// Up to this cost (unit: [`Settings::health_check_cost`]) every send brings a check; above it checks are proportionally
/// rarer.
const FULL_RATE_COST: f64 = 0.01;

/// When the next health check is due.
pub(crate) struct HealthChecks {
    /// Part of the sends that bring a check.
    ratio: f64,
    /// Fraction of a check that sends have brought so far.
    credit: f64,
    /// A send has brought a check.
    triggered_by_send: bool,
    /// Not before that while requests wait.
    next_at: Micros,
}

impl HealthChecks {
    pub(crate) fn new(settings: &Settings) -> Self {
        let cost = settings.health_check_cost.max(FULL_RATE_COST);
        let ratio = (FULL_RATE_COST / cost).min(1.0);
        HealthChecks {
            ratio,
            credit: 0.0,
            triggered_by_send: false,
            next_at: 0,
        }
    }

    /// Counts a send towards the next check.
    pub(crate) fn record_send(&mut self) {
        self.credit += self.ratio;
        if self.credit >= 1.0 {
            self.credit -= 1.0;
            self.triggered_by_send = true;
        }
    }

    /// Whether a check is due now; then the next one is scheduled.
    pub(crate) fn take_due(
        &mut self,
        settings: &Settings,
        is_any_queued: bool,
        now: Micros,
    ) -> bool {
        let is_possible = settings.limits.health_checks && settings.load_reports;
        let is_due = self.triggered_by_send || (is_any_queued && now >= self.next_at);
        if !is_possible || !is_due {
            return false;
        }
        let interval = (CHECK_INTERVAL as f64 / self.ratio) as Micros;
        self.next_at = now.saturating_add(interval);
        self.triggered_by_send = false;
        true
    }
}

/// The engine to check: a random one of those that are up.
pub(crate) fn choose_engine(engines: &Engines, salt: u64) -> Option<EngineId> {
    let up = engines.iter().filter(|(_, engine)| engine.is_up());
    up.map(|(id, _)| *id)
        .min_by_key(|id| rendezvous_hash(salt, *id))
}
