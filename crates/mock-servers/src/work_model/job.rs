//! The demand of a statement on an engine.

/// The highest priority of a statement.
pub(super) const MAX_PRIORITY: u8 = 3;

/// The demand of a statement: its work, memory and data sets.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Work of all threads together, in µs of the reference core.
    pub work: f64,
    /// Number of threads.
    pub threads: f64,
    /// Fraction of the work that is I/O.
    pub io_fraction: f64,
    /// Memory in MB that the statement needs to run without spilling.
    pub memory_mb: f64,
    /// Memory in MB that a router grants the statement, which then requests that amount from the engine. `None`
    /// requests what the statement needs.
    pub memory_grant_mb: Option<f64>,
    /// The data set that the statement reads or writes.
    pub data_set: Option<u64>,
    /// Whether the statement locks its data sets, so that others that need them are blocked until it ends.
    pub locks_data_sets: bool,
    /// Another data set that the statement needs once a part of its work is done.
    pub second_data_set: Option<SecondDataSet>,
    /// Priority from 0 to 3. Higher ones get more processor time, and memory sooner.
    pub priority: u8,
}

impl Job {
    /// Creates a job of priority 1 without I/O, memory and data sets.
    pub fn new(work: f64, threads: f64) -> Self {
        Self {
            work,
            threads,
            io_fraction: 0.0,
            memory_mb: 0.0,
            memory_grant_mb: None,
            data_set: None,
            locks_data_sets: false,
            second_data_set: None,
            priority: 1,
        }
    }
}

/// A data set that a statement needs once a part of its work is done.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SecondDataSet {
    /// Fraction of [`Job::work`] after which the data set is needed. Additional work because of spilling or an uncached
    /// data set comes before that. From there on, the statement is blocked while another has locked the data set.
    pub needed_from: f64,
    /// The data set.
    pub data_set: u64,
}
