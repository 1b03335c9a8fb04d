//! A closed-loop load generator: each connection sends its next request when it has the response to the previous one.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::thread;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use hdrhistogram::Histogram;
use hoptiller_http::client::Connection;
use hoptiller_http::{Limits, Request, Response};

use crate::error::BenchmarkError;

/// Timeout of a connect, and of an exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(10);

/// Significant digits of the recorded times.
const HISTOGRAM_DIGITS: u8 = 3;

/// The target and size of a load.
#[derive(Clone, Copy)]
pub(crate) struct ClosedLoop {
    pub(crate) address: SocketAddr,
    pub(crate) threads: usize,
    pub(crate) connections: usize,
    pub(crate) duration: Duration,
}

/// The measurements of a load.
pub(crate) struct LoadResult {
    /// Number of exchanges that succeeded.
    pub(crate) responses: u64,
    /// Number of connections that ended with an error.
    pub(crate) failed: u64,
    /// Times of the exchanges, in microseconds.
    pub(crate) times: Histogram<u64>,
}

impl LoadResult {
    fn new() -> Result<LoadResult, BenchmarkError> {
        Ok(LoadResult {
            responses: 0,
            failed: 0,
            times: Histogram::new(HISTOGRAM_DIGITS)?,
        })
    }

    fn add(&mut self, other: &LoadResult) -> Result<(), BenchmarkError> {
        self.responses += other.responses;
        self.failed += other.failed;
        self.times.add(&other.times)?;
        Ok(())
    }
}

impl ClosedLoop {
    /// Runs the load. `first` returns the first request of a connection, and `next` the request that follows a response.
    pub(crate) fn run(
        self,
        first: impl Fn(usize) -> Request + Clone + Send + 'static,
        next: fn(&Request, &Response) -> Request,
    ) -> Result<LoadResult, BenchmarkError> {
        let handles: Vec<_> = (0..self.threads)
            .map(|thread| {
                let first = first.clone();
                thread::spawn(move || self.run_thread(thread, first, next))
            })
            .collect();
        let mut total = LoadResult::new()?;
        for handle in handles {
            let result = handle.join().map_err(|_| BenchmarkError::ClientPanicked)?;
            total.add(&result?)?;
        }
        Ok(total)
    }

    /// Runs the connections of one thread.
    fn run_thread(
        self,
        thread: usize,
        first: impl Fn(usize) -> Request,
        next: fn(&Request, &Response) -> Request,
    ) -> Result<LoadResult, BenchmarkError> {
        let result = Rc::new(RefCell::new(LoadResult::new()?));
        let end = Instant::now() + self.duration;
        let executor = LocalExecutor::new();
        let tasks: Vec<_> = (thread..self.connections)
            .step_by(self.threads)
            .map(|index| {
                let request = first(index);
                executor.spawn(run_connection(
                    self.address,
                    request,
                    next,
                    end,
                    result.clone(),
                ))
            })
            .collect();
        async_io::block_on(executor.run(async {
            for task in tasks {
                task.await;
            }
        }));
        drop(executor);
        Ok(Rc::into_inner(result)
            .expect("the tasks have ended")
            .into_inner())
    }
}

async fn run_connection(
    address: SocketAddr,
    mut request: Request,
    next: fn(&Request, &Response) -> Request,
    end: Instant,
    result: Rc<RefCell<LoadResult>>,
) {
    let opened = Connection::open(address, EXCHANGE_TIMEOUT, Limits::default()).await;
    let Ok(mut connection) = opened else {
        return;
    };
    while Instant::now() < end {
        let start = Instant::now();
        let exchanged = connection.exchange(&request, EXCHANGE_TIMEOUT).await;
        let mut result = result.borrow_mut();
        match exchanged {
            Ok(response) if response.status.0 == 200 => {
                result.responses += 1;
                let micros = start.elapsed().as_micros() as u64;
                // The histogram resizes automatically, so recording never fails.
                let _ = result.times.record(micros);
                request = next(&request, &response);
            }
            _ => {
                result.failed += 1;
                return;
            }
        }
    }
}
