//! A handle with which tasks start tasks without keeping their executor alive.

use std::future::Future;
use std::rc::{Rc, Weak};

use async_executor::LocalExecutor;

/// Starts tasks on an executor that its owner holds. When the executor is dropped, so are all its tasks; a task that is
/// spawned after that is dropped at once.
#[derive(Clone, Debug)]
pub struct Spawner(Weak<LocalExecutor<'static>>);

impl Spawner {
    /// A handle of an executor.
    pub fn new(executor: &Rc<LocalExecutor<'static>>) -> Spawner {
        Spawner(Rc::downgrade(executor))
    }

    /// Starts a task that nothing waits for.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        if let Some(executor) = self.0.upgrade() {
            executor.spawn(task).detach();
        }
    }
}
