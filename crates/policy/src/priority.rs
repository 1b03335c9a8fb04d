//! Priority of a query inside its engine.

/// Late requests, and those that a hold sets back, run behind all others.
const PRIORITY_BEHIND: u8 = 0;
/// The priority that an engine gives a query without being told one.
pub(crate) const DEFAULT_PRIORITY: u8 = 1;
/// The class with the most priority weight for its work runs ahead inside engines too.
const PRIORITY_AHEAD: u8 = 3;

/// The priority of a query, from 0 to 3.
pub(crate) fn priority(runs_behind: bool, has_highest_value: bool) -> u8 {
    match (runs_behind, has_highest_value) {
        (true, _) => PRIORITY_BEHIND,
        (false, true) => PRIORITY_AHEAD,
        (false, false) => DEFAULT_PRIORITY,
    }
}
