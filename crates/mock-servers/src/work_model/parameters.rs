//! The parameters of a simulated engine.

/// The size, the speed and the limits of a simulated engine.
#[derive(Clone, Debug)]
pub struct WorkModelParameters {
    /// Number of cores.
    pub cores: f64,
    /// Speed of each core, as a multiple of the speed of the reference core, which does 1 µs of work per µs.
    pub speed: f64,
    /// Number of threads that can do I/O at once without slowing each other down.
    pub io_slots: f64,
    /// Memory in MB.
    pub memory_mb: f64,
    /// Number of threads per core above which the total throughput falls.
    pub thrashing_threads_per_core: f64,
    /// Maximum number of statements per core. Further ones are rejected.
    pub max_statements_per_core: f64,
    /// Fraction of its full speed that the engine has immediately after a cold start.
    pub cold_speed_fraction: f64,
    /// Time in µs from a cold start until the engine has its full speed.
    pub warm_up_micros: u64,
    /// Multiple of the work that the engine can do within `overload_window_micros`. While it warms up, it crashes if
    /// more work than that is admitted within that time.
    pub overload_factor: f64,
    /// Length in µs of the sliding window in which admitted work is summed to detect overload.
    pub overload_window_micros: u64,
    /// Additional work of a statement that is granted none of the memory it needs, as a multiple of its work.
    pub spill_factor: f64,
    /// Number of data sets that are cached. A statement that reads another one does its I/O work twice.
    pub cached_data_sets: usize,
    /// Whether cancelling a statement stops its work.
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
