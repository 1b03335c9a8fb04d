//! Intervals of the controller's periodic tasks, and time margins that depend on them.

use crate::interface::Micros;

/// Interval of housekeeping, which checks deadlines, late requests, silent engines and more.
pub(crate) const HOUSEKEEPING_INTERVAL: Micros = 20_000;
/// Period of the PI loop and of updates of the concurrency limits. Each class usually has some responses in one period,
/// and a burst lasts for a few periods.
pub(crate) const CONTROL_PERIOD: Micros = 2_000_000;
/// Queued requests are abandoned this long before their clients give up.
pub(crate) const DEADLINE_MARGIN: Micros = 3 * HOUSEKEEPING_INTERVAL;
