//! Priority of a query inside its engine.

/// Priority of late requests and of requests under a low-priority hold.
const LOW_PRIORITY: u8 = 0;
/// Priority that an engine uses for a query sent without a priority.
pub(crate) const DEFAULT_PRIORITY: u8 = 1;
/// Priority of the class with the highest priority weight per work, which is preferred inside engines too.
const HIGH_PRIORITY: u8 = 3;

/// Returns the priority of a query, from 0 to 3.
pub(crate) fn priority(is_low_priority: bool, has_highest_weight_per_work: bool) -> u8 {
    match (is_low_priority, has_highest_weight_per_work) {
        (true, _) => LOW_PRIORITY,
        (false, true) => HIGH_PRIORITY,
        (false, false) => DEFAULT_PRIORITY,
    }
}
