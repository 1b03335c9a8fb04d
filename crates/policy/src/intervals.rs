//! Intervals of the controller's periodic work, on which margins of the rules depend.

use crate::interface::Micros;

/// Interval of housekeeping: deadlines, late requests, silent engines.
pub(crate) const HOUSEKEEPING_INTERVAL: Micros = 20_000;
/// Period of the PI loop and the concurrency limits: some answers of each class in one, a few in a burst.
pub(crate) const CONTROL_PERIOD: Micros = 2_000_000;
/// Queued requests are answered this long before their clients give up.
pub(crate) const DEADLINE_MARGIN: Micros = 3 * HOUSEKEEPING_INTERVAL;
