//! Conversion from Unix time to the clock of the core.

use hoptiller_policy::Micros;

/// The same point in time on the core's clock and in Unix time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClockReference {
    pub(crate) core: Micros,
    pub(crate) unix: Micros,
}

impl ClockReference {
    /// Converts the time of an engine's start to the core's clock. 0, which means long ago, stays 0; any other
    /// start is at least 1.
    pub(crate) fn start_time(self, unix_ms: u64) -> Micros {
        match unix_ms {
            0 => 0,
            ms => (self.core.saturating_add(ms.saturating_mul(1000)))
                .saturating_sub(self.unix)
                .max(1),
        }
    }
}

#[cfg(test)]
mod tests;
