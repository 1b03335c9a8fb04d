//! Errors of benchmarks.

use std::io;

use hoptiller_coordination::ValidationError;
use hoptiller_http::client::ClientError;

/// Errors that prevent a benchmark from producing a result.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BenchmarkError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Client(#[from] ClientError),
    #[error(transparent)]
    Document(#[from] ValidationError),
    #[error(transparent)]
    Histogram(#[from] hdrhistogram::CreationError),
    #[error(transparent)]
    HistogramAddition(#[from] hdrhistogram::AdditionError),
    #[error("{0}")]
    Settings(String),
    #[error("{command} did not start")]
    ProcessNotStarted { command: String },
    #[error("/proc/PID/status has no VmRSS")]
    NoMemoryUsage,
    #[error("a client thread panicked")]
    ClientPanicked,
    #[error("response has no nextUri")]
    NoNextUri,
    #[error("the router did not discover its engines in time")]
    EnginesNotDiscovered,
    #[error("some exchanges failed")]
    ExchangesFailed,
    #[error("{0} connections failed")]
    ConnectionsFailed(u64),
    #[error("{failed} clients failed; {open} of {expected} statements are open")]
    ClientsFailed {
        failed: u64,
        open: u64,
        expected: usize,
    },
    #[error(transparent)]
    Fleet(#[from] hoptiller_fault_harness::FleetError),
    #[error("not all routers enforced the first version in time")]
    FirstVersionNotEnforced,
    #[error("a proposal was not accepted")]
    ProposalNotAccepted,
    #[error("a version did not come into force in time")]
    VersionNotInForce,
    #[error("the versions were not decided in time")]
    VersionsNotDecided,
    #[error("a restarted replica lost versions")]
    VersionsLost,
    #[error("not all routers discovered all engines in time")]
    EnginesNotKnown,
    #[error("not all routers learned of the drain in time")]
    DrainNotKnown,
}
