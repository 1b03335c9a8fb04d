//! Threads that each run many clients until the load is stopped.

use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use event_listener::Event;
use futures_lite::future;

/// State shared by all clients of a load: the stop signal and the counter of submissions.
#[derive(Default)]
pub(crate) struct ClientControl {
    stopped: AtomicBool,
    stop: Event,
    next_request: AtomicU64,
}

impl ClientControl {
    /// Returns whether the load was stopped.
    pub(crate) fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Acquire)
    }

    /// Returns the next submission number, which is unique within the load.
    pub(crate) fn next_request(&self) -> u64 {
        self.next_request.fetch_add(1, Ordering::Relaxed)
    }

    /// Sleeps for `duration`, or less if the load is stopped.
    pub(crate) async fn sleep(&self, duration: Duration) {
        let stop = self.stop.listen();
        if !self.is_stopped() {
            let timer = async {
                Timer::after(duration).await;
            };
            future::or(stop, timer).await;
        }
    }

    fn stop(&self) {
        self.stopped.store(true, Ordering::Release);
        self.stop.notify(usize::MAX);
    }
}

/// The threads of a client load. Dropping the value signals them to stop without waiting for them.
pub(crate) struct ClientThreads {
    control: Arc<ClientControl>,
    threads: Vec<JoinHandle<()>>,
}

impl ClientThreads {
    /// Starts `clients` clients, numbered from 0, on `threads` threads. `new_client` is called on the thread of a
    /// client and returns its task.
    ///
    /// # Errors
    ///
    /// Returns an error if a thread can't be started.
    pub(crate) fn start<F, T>(
        clients: u64,
        threads: u64,
        new_client: F,
    ) -> io::Result<ClientThreads>
    where
        F: Fn(u64, Arc<ClientControl>) -> T + Clone + Send + 'static,
        T: Future<Output = ()> + 'static,
    {
        let mut started = ClientThreads {
            control: Arc::default(),
            threads: Vec::new(),
        };
        for thread in 0..threads {
            let (control, new_client) = (started.control.clone(), new_client.clone());
            let handle = std::thread::Builder::new()
                .name(format!("clients-{thread}"))
                .spawn(move || {
                    let numbers = (thread..clients).step_by(threads as usize);
                    run_all(numbers.map(|number| new_client(number, control.clone())));
                })?;
            started.threads.push(handle);
        }
        Ok(started)
    }

    /// Signals the clients to stop, and waits until their tasks have ended.
    pub(crate) fn finish(mut self) {
        self.control.stop();
        for thread in std::mem::take(&mut self.threads) {
            let _ = thread.join();
        }
    }
}

impl Drop for ClientThreads {
    fn drop(&mut self) {
        self.control.stop();
    }
}

/// Runs tasks on the current thread until all of them have ended.
fn run_all<T: Future<Output = ()> + 'static>(tasks: impl Iterator<Item = T>) {
    let executor = Rc::new(LocalExecutor::new());
    let running: Vec<_> = tasks.map(|task| executor.spawn(task)).collect();
    async_io::block_on(executor.run(async {
        for task in running {
            task.await;
        }
    }));
}
