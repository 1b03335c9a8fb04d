//! Threads that run many clients each, until they are told to stop.

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

/// What all clients of a load share: whether they are to stop, and the numbers of their submissions.
#[derive(Default)]
pub(crate) struct ClientControl {
    stopped: AtomicBool,
    stop: Event,
    next_request: AtomicU64,
}

impl ClientControl {
    /// Whether clients are to submit nothing more.
    pub(crate) fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Acquire)
    }

    /// A number for a submission that no other one of the load has.
    pub(crate) fn next_request(&self) -> u64 {
        self.next_request.fetch_add(1, Ordering::Relaxed)
    }

    /// Sleeps for `duration`, or until the load is stopped.
    pub(crate) async fn sleep(&self, duration: Duration) {
        let stop = self.stop.listen();
        if !self.is_stopped() {
            let elapsed = async {
                Timer::after(duration).await;
            };
            future::or(stop, elapsed).await;
        }
    }

    fn stop(&self) {
        self.stopped.store(true, Ordering::Release);
        self.stop.notify(usize::MAX);
    }
}

/// The threads of a client load. They are told to stop when this is dropped, and not waited for.
pub(crate) struct ClientThreads {
    control: Arc<ClientControl>,
    threads: Vec<JoinHandle<()>>,
}

impl ClientThreads {
    /// Starts `clients` clients, numbered from 0, on `threads` threads. `client` makes the task of one, on its thread.
    ///
    /// # Errors
    ///
    /// When no thread can be started.
    pub(crate) fn start<M, T>(clients: u64, threads: u64, client: M) -> io::Result<ClientThreads>
    where
        M: Fn(u64, Arc<ClientControl>) -> T + Clone + Send + 'static,
        T: Future<Output = ()> + 'static,
    {
        let mut started = ClientThreads {
            control: Arc::default(),
            threads: Vec::new(),
        };
        for thread in 0..threads {
            let (control, client) = (started.control.clone(), client.clone());
            let handle = std::thread::Builder::new()
                .name(format!("clients-{thread}"))
                .spawn(move || {
                    let numbers = (thread..clients).step_by(threads as usize);
                    run_all(numbers.map(|number| client(number, control.clone())));
                })?;
            started.threads.push(handle);
        }
        Ok(started)
    }

    /// Lets every client end what it has begun, and waits for all of them.
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

/// Runs tasks on this thread until all of them have ended.
fn run_all<T: Future<Output = ()> + 'static>(tasks: impl Iterator<Item = T>) {
    let executor = Rc::new(LocalExecutor::new());
    let running: Vec<_> = tasks.map(|task| executor.spawn(task)).collect();
    async_io::block_on(executor.run(async {
        for task in running {
            task.await;
        }
    }));
}
