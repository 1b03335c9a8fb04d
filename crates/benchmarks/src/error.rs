//! Errors of benchmarks.

use std::io;

use hoptiller_coordination::ValidationError;
use hoptiller_http::client::ClientError;

/// Why a benchmark has no result.
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
    #[error("no VmRSS")]
    NoMemoryUsage,
    #[error("a client thread panicked")]
    ClientPanicked,
    #[error("no nextUri")]
    NoNextUri,
    #[error("the router does not see its engines")]
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
    #[error("not all routers heeded the first version")]
    FirstVersionNotEnforced,
    #[error("a change was not taken")]
    ProposalNotAccepted,
    #[error("a change did not come in force")]
    VersionNotInForce,
    #[error("the versions were never decided")]
    VersionsNotDecided,
    #[error("versions are lost")]
    VersionsLost,
    #[error("not all routers know all engines")]
    EnginesNotKnown,
    #[error("not all routers came to know of the drain")]
    DrainNotKnown,
}
