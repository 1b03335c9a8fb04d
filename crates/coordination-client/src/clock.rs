//! The clock that measures leases: it is monotonic, cannot be set, and runs while the process is stopped or the machine
//! is suspended.

use hoptiller_coordination::Micros;
use rustix::time::{ClockId, clock_gettime};

/// A skew is given in parts of this.
const MILLION: i64 = 1_000_000;
const MICROS_PER_SECOND: u64 = 1_000_000;
const NANOS_PER_MICRO: u64 = 1000;
/// Maximum simulated skew in either direction, in millionths.
const MAX_SKEW_MILLIONTHS: i64 = 900_000;

/// A clock that counts from the machine's start. Tests make it run fast or slow to simulate drift.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Micros,
    skew_millionths: i64,
}

impl Clock {
    /// Creates a clock that runs at the rate of the machine's clock.
    pub fn new() -> Clock {
        Clock::with_skew(0)
    }

    /// A clock that runs fast (above 0) or slow (below 0) by so many millionths, from now on.
    pub fn with_skew(skew_millionths: i64) -> Clock {
        Clock {
            started_at: boot_time(),
            skew_millionths: skew_millionths.clamp(-MAX_SKEW_MILLIONTHS, MAX_SKEW_MILLIONTHS),
        }
    }

    /// The time now.
    pub fn now(&self) -> Micros {
        let elapsed = i128::from(boot_time().saturating_sub(self.started_at));
        let skewed = elapsed * i128::from(MILLION + self.skew_millionths) / i128::from(MILLION);
        self.started_at
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
