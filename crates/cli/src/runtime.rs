//! The executor, signals and file descriptor limit of commands that run until a signal.

use std::rc::Rc;

use async_executor::LocalExecutor;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use hoptiller_http::Spawner;

use crate::error::CommandError;

/// Raises this process's file descriptor limit as far as the system permits, because each client uses a descriptor.
/// Returns the resulting limit.
pub(crate) fn raise_descriptor_limit() -> u64 {
    use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
    let previous = getrlimit(Resource::Nofile);
    let raised = Rlimit {
        current: previous.maximum,
        maximum: previous.maximum,
    };
    let limit = match setrlimit(Resource::Nofile, raised) {
        Ok(()) => previous.maximum,
        Err(_) => previous.current,
    };
    limit.unwrap_or(u64::MAX)
}

/// Runs a command's task on an executor on this thread.
pub(crate) fn block_on<T>(task: impl AsyncFnOnce(Spawner) -> T) -> T {
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(task(Spawner::new(&executor))))
}

/// Starts to listen to signals. Before this call, the signals end the process.
///
/// # Errors
///
/// Returns an error if the system does not permit it.
pub(crate) fn listen_to_signals(
    signals: impl IntoIterator<Item = Signal>,
) -> Result<Signals, CommandError> {
    Signals::new(signals).map_err(CommandError::io("cannot listen to signals"))
}

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error if the process can't listen to signals.
pub(crate) async fn wait_for_termination() -> Result<(), CommandError> {
    let mut signals = listen_to_signals([Signal::Term, Signal::Int])?;
    signals.next().await;
    Ok(())
}
