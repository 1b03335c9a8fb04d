//! Plausibility of values that engines and clients report.

/// Reported values from here on are ignored: one absurd value would spoil the averages for good. Also stands for an
/// unlimited memory grant, in MB.
pub(crate) const MAX_REPORTED_VALUE: f64 = 1e6;

/// Whether a reported value is usable: not negative, not absurdly large, and a number.
pub(crate) fn is_plausible(value: f64) -> bool {
    (0.0..MAX_REPORTED_VALUE).contains(&value)
}
