//! Quantities that are easily mixed up, as types: threads, run time, work, load.
//!
//! All wrap an `f64`: they are means, shares and products of means. Instants and durations that come from the host
//! stay whole [`Micros`](crate::Micros).

use std::iter::Sum;
use std::ops::{Add, AddAssign, Div, Mul, Sub, SubAssign};

/// Defines a quantity with the arithmetic that keeps its unit; a quotient of two has none.
macro_rules! quantity {
    ($(#[$attribute:meta])* $name:ident) => {
        $(#[$attribute])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
        pub(crate) struct $name(pub(crate) f64);

        #[allow(dead_code, reason = "not every quantity needs each operation")]
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
    /// Engine threads that queries use at once.
    Threads
}

quantity! {
    /// Time from sending an attempt to its answer, in microseconds.
    RunTime
}

quantity! {
    /// Work of all threads of a query, in microseconds of one thread. A query that runs undisturbed on `n` threads has
    /// `n` times its run time.
    Work
}

quantity! {
    /// How full an engine is: 1 at [`THREADS_PER_CORE`](crate::capacity::THREADS_PER_CORE) threads a core.
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
