//! Owns the way in which tasks start tasks, without keeping their executor alive.

use std::future::Future;
use std::rc::{Rc, Weak};

use async_executor::LocalExecutor;

/// Starts tasks on an executor that somebody else holds. When that one is dropped, so are all its tasks, and
/// what is started after that is not.
#[derive(Clone, Debug)]
pub struct Spawner(Weak<LocalExecutor<'static>>);

impl Spawner {
    /// For an executor.
    pub fn of(executor: &Rc<LocalExecutor<'static>>) -> Spawner {
        Spawner(Rc::downgrade(executor))
    }

    /// Starts a task.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        if let Some(executor) = self.0.upgrade() {
            executor.spawn(task).detach();
        }
    }
}
