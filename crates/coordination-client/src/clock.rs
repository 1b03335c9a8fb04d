//! The clock that measures leases: it is monotonic, cannot be set, and runs while the process is stopped or the machine
//! is suspended.

use hoptiller_coordination::Micros;
use rustix::time::{ClockId, clock_gettime};

/// The rate of a clock without skew, in millionths.
const NORMAL_RATE_MILLIONTHS: i64 = 1_000_000;
const MICROS_PER_SECOND: u64 = 1_000_000;
const NANOS_PER_MICRO: u64 = 1000;
/// Maximum simulated skew in either direction, in millionths.
const MAX_SKEW_MILLIONTHS: i64 = 900_000;

/// A clock that counts from the start of the machine. Tests make it run fast or slow to simulate drift.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// The time since which the skew applies.
    skewed_since: Micros,
    skew_millionths: i64,
}

impl Clock {
    /// Creates a clock that runs at the rate of the machine's clock.
    pub fn new() -> Clock {
        Clock::with_skew(0)
    }

    /// Creates a clock that from now on runs fast (above 0) or slow (below 0) by a number of millionths.
    pub fn with_skew(skew_millionths: i64) -> Clock {
        Clock {
            skewed_since: boot_time(),
            skew_millionths: skew_millionths.clamp(-MAX_SKEW_MILLIONTHS, MAX_SKEW_MILLIONTHS),
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Micros {
        let elapsed = i128::from(boot_time().saturating_sub(self.skewed_since));
        let rate = NORMAL_RATE_MILLIONTHS + self.skew_millionths;
        let skewed = elapsed * i128::from(rate) / i128::from(NORMAL_RATE_MILLIONTHS);
        self.skewed_since
            .saturating_add(u64::try_from(skewed).unwrap_or(0))
    }
}

impl Default for Clock {
    fn default() -> Self {
        Clock::new()
    }
}

fn boot_time() -> Micros {
    // CLOCK_MONOTONIC, which `Instant` reads, stops while the machine is suspended; CLOCK_BOOTTIME does not.
    let time = clock_gettime(ClockId::Boottime);
    u64::try_from(time.tv_sec).unwrap_or(0) * MICROS_PER_SECOND
        + u64::try_from(time.tv_nsec).unwrap_or(0) / NANOS_PER_MICRO
}

#[cfg(test)]
mod tests;
