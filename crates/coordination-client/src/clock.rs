//! Owns the clock of permits: it goes on while the process is stopped and while the machine sleeps, and no one sets it.

use hoptiller_coordination::Micros;
use rustix::time::{ClockId, clock_gettime};

/// A clock. Tests make one run fast or slow, to stand for clocks that do.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    began: Micros,
    /// Millionths by which it runs fast (over 0) or slow.
    skew: i64,
}

impl Clock {
    /// The machine's, as it is.
    pub fn new() -> Clock {
        Clock::skewed(0)
    }

    /// One that runs fast or slow by so many millionths, from its making on.
    pub fn skewed(skew: i64) -> Clock {
        Clock {
            began: read(),
            skew: skew.clamp(-900_000, 900_000),
        }
    }

    /// Now.
    pub fn now(&self) -> Micros {
        let passed = i128::from(read().saturating_sub(self.began));
        let ran = passed * i128::from(1_000_000 + self.skew) / 1_000_000;
        self.began.saturating_add(u64::try_from(ran).unwrap_or(0))
    }
}

impl Default for Clock {
    fn default() -> Self {
        Clock::new()
    }
}

fn read() -> Micros {
    // Time asleep counts: CLOCK_MONOTONIC, which `Instant` reads, stands still while a machine sleeps.
    let t = clock_gettime(ClockId::Boottime);
    u64::try_from(t.tv_sec).unwrap_or(0) * 1_000_000 + u64::try_from(t.tv_nsec).unwrap_or(0) / 1000
}

#[cfg(test)]
mod tests;
