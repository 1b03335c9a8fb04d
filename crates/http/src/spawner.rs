//! A handle with which tasks spawn further tasks without keeping their executor alive.

use std::future::Future;
use std::rc::{Rc, Weak};

use async_executor::LocalExecutor;

/// A weak handle that spawns tasks on an executor. When the executor's owner drops it, all its tasks are dropped; a
/// task that is spawned later is dropped immediately.
#[derive(Clone, Debug)]
pub struct Spawner(Weak<LocalExecutor<'static>>);

impl Spawner {
    /// Creates a handle to an executor.
    pub fn new(executor: &Rc<LocalExecutor<'static>>) -> Spawner {
        Spawner(Rc::downgrade(executor))
    }

    /// Spawns a detached task.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        if let Some(executor) = self.0.upgrade() {
            executor.spawn(task).detach();
        }
    }
}
