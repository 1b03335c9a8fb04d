//! Errors of benchmarks.

use std::io;
use std::time::Duration;

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
    #[error("/proc/{process_id}/status has no VmRSS")]
    NoMemoryUsage { process_id: u32 },
    #[error("a client thread panicked")]
    ClientPanicked,
    #[error("response with status {status} has no nextUri")]
    NoNextUri { status: u16 },
    #[error("the router lists {found} of {expected} engines after {timeout:?}")]
    EnginesNotDiscovered {
        found: String,
        expected: usize,
        timeout: Duration,
    },
    #[error("{failed} of {total} exchanges failed")]
    ExchangesFailed { failed: u64, total: u64 },
    #[error("a poll returned status {0}; expected 200")]
    UnexpectedStatus(u16),
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
    #[error("not all of {routers} routers enforced the first version within {timeout:?}")]
    FirstVersionNotEnforced { routers: usize, timeout: Duration },
    #[error("a proposal was not accepted: {0}")]
    ProposalNotAccepted(String),
    #[error("version {number} was not enforced by all routers and in force within {timeout:?}")]
    VersionNotInForce { number: u64, timeout: Duration },
    #[error("{decided} of {expected} versions were decided in time")]
    VersionsNotDecided { decided: u64, expected: u64 },
    #[error("a restarted replica has {found} of {expected} versions")]
    VersionsLost { found: u64, expected: u64 },
    #[error("{informed} of {routers} routers discovered all engines within {timeout:?}")]
    EnginesNotKnown {
        informed: usize,
        routers: usize,
        timeout: Duration,
    },
    #[error("{informed} of {routers} routers learned of the drain within {timeout:?}")]
    DrainNotKnown {
        informed: usize,
        routers: usize,
        timeout: Duration,
    },
}
