//! The parameters of a simulated engine.

/// The size, the speed and the limits of a simulated engine.
#[derive(Clone, Debug)]
pub struct WorkModelParameters {
    /// Number of cores.
    pub cores: f64,
    /// Speed of each core, as a multiple of the reference core's.
    pub speed: f64,
    /// Number of threads that can read or write at once without slowing each other.
    pub io_slots: f64,
    /// Memory in MB.
    pub memory_mb: f64,
    /// Threads per core from which the total throughput falls.
    pub thrashing_threads_per_core: f64,
    /// Maximum number of statements per core; more are rejected.
    pub max_statements_per_core: f64,
    /// Fraction of its speed that the engine has just after a cold start.
    pub cold_speed_fraction: f64,
    /// Time in µs from a cold start until the engine has its whole speed.
    pub warm_up_micros: u64,
    /// While it warms up, the engine crashes once the work admitted within `overload_window_micros` exceeds this
    /// multiple of what it can do in that time.
    pub overload_factor: f64,
    /// Length in µs of the window in which admitted work counts as overload.
    pub overload_window_micros: u64,
    /// Additional work of a statement that got none of the memory that it needs, as a multiple of its work.
    pub spill_factor: f64,
    /// Number of data sets that stay cached; the I/O part of a statement that reads another counts twice.
    pub cached_data_sets: usize,
    /// Whether the work of a cancelled statement stops.
    pub cancel_stops_work: bool,
}

impl Default for WorkModelParameters {
    fn default() -> Self {
        Self {
            cores: 8.0,
            speed: 1.0,
            io_slots: 12.0,
            memory_mb: 4096.0,
            thrashing_threads_per_core: 3.1,
            max_statements_per_core: 8.0,
            cold_speed_fraction: 0.35,
            warm_up_micros: 10_000_000,
            overload_factor: 3.0,
            overload_window_micros: 2_000_000,
            spill_factor: 2.0,
            cached_data_sets: 64,
            cancel_stops_work: false,
        }
    }
}
