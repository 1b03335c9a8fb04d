//! Health checks: load reports are requested when requests are sent, and periodically while requests wait. Without the
//! periodic checks, a gateway that considers all engines full would not learn that they have capacity again.

use crate::engine::Engines;
use crate::interface::{EngineId, Micros, Settings};
use crate::intervals::HOUSEKEEPING_INTERVAL;
use crate::rendezvous::salted_hash;

/// Interval between checks while requests wait.
const CHECK_INTERVAL: Micros = 10 * HOUSEKEEPING_INTERVAL;
/// Cost (unit: [`Settings::health_check_cost`]) up to which a check for every send is worthwhile. Above it, checks are
/// proportionally rarer.
const FULL_RATE_COST: f64 = 0.01;

/// Schedule of the health checks.
pub(crate) struct HealthChecks {
    /// Number of checks per send, at most 1.
    ratio: f64,
    /// Accumulated fraction of the next check that sends trigger.
    credit: f64,
    /// Whether a send has triggered a check that is still due.
    triggered_by_send: bool,
    /// Earliest time of the next check while requests wait.
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

    /// Returns whether a check is due now, and if so schedules the next one.
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

/// Selects a random engine that is up for a health check.
pub(crate) fn choose_engine(engines: &Engines, salt: u64) -> Option<EngineId> {
    let up = engines.iter().filter(|(_, engine)| engine.is_up());
    up.map(|(id, _)| *id)
        .min_by_key(|id| salted_hash(salt, *id))
}
