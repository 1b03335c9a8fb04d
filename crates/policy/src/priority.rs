//! Priority of a query inside its engine.

/// Late requests, and those that a hold sets back, run behind all others.
const LOW_PRIORITY: u8 = 0;
/// The priority that an engine gives a query without being told one.
pub(crate) const DEFAULT_PRIORITY: u8 = 1;
/// The class with the most priority weight for its work runs ahead inside engines too.
const HIGH_PRIORITY: u8 = 3;

/// The priority of a query, from 0 to 3.
pub(crate) fn priority(is_low_priority: bool, has_highest_weight_per_work: bool) -> u8 {
    match (is_low_priority, has_highest_weight_per_work) {
        (true, _) => LOW_PRIORITY,
        (false, true) => HIGH_PRIORITY,
        (false, false) => DEFAULT_PRIORITY,
    }
}
