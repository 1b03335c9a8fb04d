//! Quantities of runs that are easily mixed up, as types. All wrap an `f64`, as they are quantiles and multiples of
//! quantiles. Instants and durations that the router reports stay whole microseconds.

/// A quantity that statistics are kept of.
pub(crate) trait Quantity: Copy {
    /// The quantity of a figure in its unit.
    fn from_figure(figure: f64) -> Self;

    /// Its figure in its unit.
    fn figure(self) -> f64;
}

/// Run time without blocked time, in µs.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub(crate) struct RunTime(pub(crate) f64);

/// Work over all threads, in µs of one thread.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub(crate) struct Work(pub(crate) f64);

/// Memory, in MB.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub(crate) struct Memory(pub(crate) f64);

impl Quantity for RunTime {
    fn from_figure(figure: f64) -> RunTime {
        RunTime(figure)
    }

    fn figure(self) -> f64 {
        self.0
    }
}

impl Quantity for Work {
    fn from_figure(figure: f64) -> Work {
        Work(figure)
    }

    fn figure(self) -> f64 {
        self.0
    }
}

impl Quantity for Memory {
    fn from_figure(figure: f64) -> Memory {
        Memory(figure)
    }

    fn figure(self) -> f64 {
        self.0
    }
}

/// A figure whose unit is given by a [`Measure`](crate::Measure) beside it.
impl Quantity for f64 {
    fn from_figure(figure: f64) -> f64 {
        figure
    }

    fn figure(self) -> f64 {
        self
    }
}

impl RunTime {
    /// The run time at an engine of usual speed. `slowness` is the factor of the engine where it was measured.
    pub(crate) fn at_usual_speed(self, slowness: f64) -> RunTime {
        RunTime(self.0 / slowness)
    }
}
