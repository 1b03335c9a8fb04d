//! What commands that run until a signal share: the executor, signals, the limit of file descriptors.

use std::rc::Rc;

use async_executor::LocalExecutor;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use hoptiller_http::Spawner;

use crate::error::CommandError;

/// Raises this process's limit of file descriptors as far as the system permits, as each client uses one; returns the
/// limit that is now in force.
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

/// Runs a command's task on an executor of this thread.
pub(crate) fn block_on<T>(task: impl AsyncFnOnce(Spawner) -> T) -> T {
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(task(Spawner::new(&executor))))
}

/// Listens to signals. A signal that arrives before this ends the process.
///
/// # Errors
///
/// Where the system does not let them be listened to.
pub(crate) fn listen_to_signals(
    signals: impl IntoIterator<Item = Signal>,
) -> Result<Signals, CommandError> {
    Signals::new(signals).map_err(CommandError::io("signals can't be listened to"))
}

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Where the system does not let signals be listened to.
pub(crate) async fn wait_for_termination() -> Result<(), CommandError> {
    let mut signals = listen_to_signals([Signal::Term, Signal::Int])?;
    signals.next().await;
    Ok(())
}
