//! Types for quantities that are easily confused: threads, run time, work and load.
//!
//! All wrap an `f64`, since they hold means, shares and products of means. Times and durations from the host remain
//! whole [`Micros`](crate::Micros).

use std::iter::Sum;
use std::ops::{Add, AddAssign, Div, Mul, Sub, SubAssign};

/// Defines a quantity with the arithmetic that preserves its unit; the quotient of two quantities is a plain number.
macro_rules! quantity {
    ($(#[$attribute:meta])* $name:ident) => {
        $(#[$attribute])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
        pub(crate) struct $name(pub(crate) f64);

        #[allow(dead_code, reason = "not every quantity uses every operation")]
        impl $name {
            pub(crate) const ZERO: Self = Self(0.0);

            pub(crate) fn max(self, other: Self) -> Self {
                Self(self.0.max(other.0))
            }

            pub(crate) fn min(self, other: Self) -> Self {
                Self(self.0.min(other.0))
            }

            pub(crate) fn clamp(self, min: Self, max: Self) -> Self {
                Self(self.0.clamp(min.0, max.0))
            }
        }

        impl Add for $name {
            type Output = Self;

            fn add(self, other: Self) -> Self {
                Self(self.0 + other.0)
            }
        }

        impl AddAssign for $name {
            fn add_assign(&mut self, other: Self) {
                self.0 += other.0;
            }
        }

        impl Sub for $name {
            type Output = Self;

            fn sub(self, other: Self) -> Self {
                Self(self.0 - other.0)
            }
        }

        impl SubAssign for $name {
            fn sub_assign(&mut self, other: Self) {
                self.0 -= other.0;
            }
        }

        impl Mul<f64> for $name {
            type Output = Self;

            fn mul(self, factor: f64) -> Self {
                Self(self.0 * factor)
            }
        }

        impl Div for $name {
            type Output = f64;

            fn div(self, other: Self) -> f64 {
                self.0 / other.0
            }
        }

        impl Sum for $name {
            fn sum<I: Iterator<Item = Self>>(values: I) -> Self {
                Self(values.map(|value| value.0).sum())
            }
        }
    };
}

quantity! {
    /// Number of engine threads that queries use at once.
    Threads
}

quantity! {
    /// Time from sending an attempt to its response, in microseconds.
    RunTime
}

quantity! {
    /// Work of a query summed over its threads, in microseconds of one thread. For a query on `n` threads of an
    /// unloaded engine, it is `n` times the run time.
    Work
}

quantity! {
    /// Load of an engine as a fraction of its capacity; 1 at [`THREADS_PER_CORE`](crate::capacity::THREADS_PER_CORE)
    /// threads per core.
    Load
}

impl Mul<Threads> for RunTime {
    type Output = Work;

    fn mul(self, threads: Threads) -> Work {
        Work(self.0 * threads.0)
    }
}

impl Div<Threads> for Work {
    type Output = RunTime;

    fn div(self, threads: Threads) -> RunTime {
        RunTime(self.0 / threads.0)
    }
}
