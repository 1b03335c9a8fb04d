//! Durations in the format of the protocol.

use std::time::Duration;

const SECONDS_PER_MINUTE: f64 = 60.0;
const SECONDS_PER_HOUR: f64 = 3600.0;
const SECONDS_PER_DAY: f64 = 86_400.0;
/// Durations of this length or more are rejected.
const DURATION_LIMIT_SECONDS: u64 = 366 * 86_400;

/// Parses a duration: a number and one of the units `ns`, `us`, `ms`, `s`, `m`, `h` and `d`, as in `1.5s`, `300ms` or
/// `2m`. Returns `None` if the text does not have that form or if the duration is 366 days or longer.
pub fn parse_duration(text: &str) -> Option<Duration> {
    let unit_start = text.find(|c: char| !c.is_ascii_digit() && c != '.')?;
    let (number, unit) = text.split_at(unit_start);
    let seconds_per_unit = match unit.trim() {
        "ns" => 1e-9,
        "us" => 1e-6,
        "ms" => 1e-3,
        "s" => 1.0,
        "m" => SECONDS_PER_MINUTE,
        "h" => SECONDS_PER_HOUR,
        "d" => SECONDS_PER_DAY,
        _ => return None,
    };
    let number: f64 = number.parse().ok()?;
    let duration = Duration::try_from_secs_f64(number * seconds_per_unit).ok()?;
    (duration.as_secs() < DURATION_LIMIT_SECONDS).then_some(duration)
}
