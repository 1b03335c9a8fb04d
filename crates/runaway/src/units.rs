//! Types for quantities of runs that are easily confused. All wrap an `f64`, because they are quantiles and multiples
//! of quantiles. Times and durations reported by the router remain whole microseconds.

/// A quantity that statistics are kept for.
pub(crate) trait Quantity: Copy {
    /// Creates the quantity from a value in its unit.
    fn from_value(value: f64) -> Self;

    /// Returns the value in the quantity's unit.
    fn value(self) -> f64;
}

/// Run time without blocked time, in µs.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub(crate) struct RunTime(pub(crate) f64);

/// Work over all threads, in µs of single-thread time.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub(crate) struct Work(pub(crate) f64);

/// Memory, in MB.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub(crate) struct Memory(pub(crate) f64);

impl Quantity for RunTime {
    fn from_value(value: f64) -> RunTime {
        RunTime(value)
    }

    fn value(self) -> f64 {
        self.0
    }
}

impl Quantity for Work {
    fn from_value(value: f64) -> Work {
        Work(value)
    }

    fn value(self) -> f64 {
        self.0
    }
}

impl Quantity for Memory {
    fn from_value(value: f64) -> Memory {
        Memory(value)
    }

    fn value(self) -> f64 {
        self.0
    }
}

/// A value whose unit is given by an accompanying [`Measure`](crate::Measure).
impl Quantity for f64 {
    fn from_value(value: f64) -> f64 {
        value
    }

    fn value(self) -> f64 {
        self
    }
}

impl RunTime {
    /// Converts to the run time on an engine of usual speed. `slowness` is the factor of the engine that ran the
    /// attempt.
    pub(crate) fn at_usual_speed(self, slowness: f64) -> RunTime {
        RunTime(self.0 / slowness)
    }
}
