//! Plausibility of values reported by engines and clients.

/// Reported values of at least this are ignored, since a single implausible value would distort the averages
/// permanently. Also represents an unlimited memory grant, in MB.
pub(crate) const MAX_REPORTED_VALUE: f64 = 1e6;

/// Returns whether a reported value is usable: a number, not negative, and below [`MAX_REPORTED_VALUE`].
pub(crate) fn is_plausible(value: f64) -> bool {
    (0.0..MAX_REPORTED_VALUE).contains(&value)
}
