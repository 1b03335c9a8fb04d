//! Owns what commands that run for long share: errors with exit codes, the executor, signals, metrics.

use std::fmt;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use hoptiller_http::{Response, Spawner};
use hoptiller_statement_router::{Service, SettingError, ShutdownOutcome};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// Why a command failed.
#[derive(Debug)]
pub enum Failure {
    /// Settings with problems.
    Settings(Vec<SettingError>),
    /// A wrong command line.
    Usage(String),
    /// Something outside.
    Outside(String, io::Error),
}

impl Failure {
    /// The exit code.
    pub fn code(&self) -> u8 {
        match self {
            Failure::Settings(_) | Failure::Usage(_) => 2,
            Failure::Outside(..) => 3,
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Settings(problems) => {
                let n = problems.len();
                write!(
                    f,
                    "the settings have {n} problem{}; nothing was started",
                    if n == 1 { "" } else { "s" }
                )?;
                problems.iter().try_for_each(|p| write!(f, "\n  {p}"))
            }
            Failure::Usage(what) => write!(f, "{what}"),
            Failure::Outside(what, e) => write!(f, "{what}: {e}"),
        }
    }
}

/// Raises this process's limit of descriptors as far as it may: each client takes one.
pub fn raise_descriptors() -> u64 {
    use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
    let had = getrlimit(Resource::Nofile);
    let raised = Rlimit {
        current: had.maximum,
        maximum: had.maximum,
    };
    match setrlimit(Resource::Nofile, raised) {
        Ok(()) => had.maximum.unwrap_or(u64::MAX),
        Err(_) => had.current.unwrap_or(u64::MAX),
    }
}

/// Runs a command's task on an executor of this thread.
pub fn block_on<T>(task: impl AsyncFnOnce(Spawner) -> T) -> T {
    let ex = Rc::new(LocalExecutor::new());
    async_io::block_on(ex.run(task(Spawner::of(&ex))))
}

/// Waits for SIGTERM or SIGINT.
pub async fn told_to_end() -> Result<(), Failure> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])
        .map_err(|e| Failure::Outside("signals can't be listened to".into(), e))?;
    signals.next().await;
    Ok(())
}

/// Ends a router after a signal, and says how that went.
pub async fn end(service: &Service) {
    match service.shutdown().await {
        ShutdownOutcome::Complete => eprintln!("hoptiller: ended; all that was taken is answered"),
        ShutdownOutcome::TimedOut { open_statements } => eprintln!(
            "hoptiller: ended with {open_statements} statements open: limits.drain_within ran out; their clients \
             learn what is known when the router runs again"
        ),
    }
}

/// Metrics of this process, in Prometheus' text form.
pub fn metrics(spawner: &Spawner) -> Option<PrometheusHandle> {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    metrics::set_global_recorder(recorder).ok()?;
    let upkeep = handle.clone();
    spawner.spawn(async move {
        loop {
            Timer::after(Duration::from_secs(5)).await;
            upkeep.run_upkeep();
        }
    });
    Some(handle)
}

/// What the front answers beside statements.
pub fn extra(
    metrics: Option<PrometheusHandle>,
) -> hoptiller_statement_router::front_end::statement_api::ExtraRoutes {
    Rc::new(move |path| match (path, &metrics) {
        ("/metrics", Some(handle)) => Some(Response::text(200, handle.render().trim_end())),
        _ => None,
    })
}
