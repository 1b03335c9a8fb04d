//! Many clients that poll one router, which is a separate process. The benchmark measures the router's memory for each
//! waiting client, the delay of a poll beyond its wait, and the duration of a round of decisions.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::thread;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use hdrhistogram::Histogram;
use hoptiller_http::client::Connection;
use hoptiller_http::{Limits, Method, Request};
use serde_json::{Value, json};

use crate::error::BenchmarkError;
use crate::requests::{next_path, submission};
use crate::test_site::{SiteArgs, TestSite, extend_deadlines};

/// Speed of an engine, so low that it admits some statements and completes none; all others wait in the router.
const ENGINE_SPEED: f64 = 1e-6;

const THREADS: usize = 2;

/// Time for which the router holds a poll that has nothing new, in microseconds.
const POLL_WAIT_MICROS: u128 = 1_000_000;

/// Interval between the connects of a thread, so that they do not overflow the listener's short queue.
const CONNECT_INTERVAL: Duration = Duration::from_micros(400);

/// Set-up time per client: a run is longer by this for each client, so that all can connect and submit.
const SETUP_TIME_PER_CLIENT: Duration = Duration::from_micros(500);

const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(30);

/// Significant digits of the recorded times.
const HISTOGRAM_DIGITS: u8 = 3;

/// Arguments of `crowd`.
#[derive(clap::Args)]
pub(crate) struct Args {
    /// Numbers of clients; the router needs a file descriptor for each (`ulimit -n`)
    #[arg(long, value_delimiter = ',', default_value = "1000,5000,20000")]
    sizes: Vec<usize>,
    /// Duration for which the clients of each size poll, in seconds
    #[arg(long, default_value_t = 15)]
    seconds: u64,
    #[command(flatten)]
    site: SiteArgs,
}

/// The measurements of the clients.
struct PollResult {
    /// Delay of each poll beyond its wait, in microseconds.
    delays: Histogram<u64>,
    failed: u64,
}

impl PollResult {
    fn new() -> Result<PollResult, BenchmarkError> {
        Ok(PollResult {
            delays: Histogram::new(HISTOGRAM_DIGITS)?,
            failed: 0,
        })
    }
}

/// A sample of the router's state.
struct RouterSample {
    info: Value,
    resident_bytes: u64,
}

impl RouterSample {
    fn take(site: &TestSite) -> Result<RouterSample, BenchmarkError> {
        Ok(RouterSample {
            info: site.router_info(),
            resident_bytes: site.router().resident_bytes()?,
        })
    }

    fn number(&self, key: &str) -> f64 {
        self.info[key].as_f64().unwrap_or(0.0)
    }

    fn open_statements(&self) -> u64 {
        self.info["openStatements"].as_u64().unwrap_or(0)
    }
}

pub(crate) fn run(args: &Args) -> Result<(), BenchmarkError> {
    println!(
        "{:>8} {:>12} {:>14} {:>12} {:>12} {:>12} {:>12}",
        "clients", "RSS, MB", "KB a client", "polls/s", "p50, ms", "p99, ms", "round, µs"
    );
    for size in &args.sizes {
        run_size(args, *size)?;
    }
    Ok(())
}

fn run_size(args: &Args, size: usize) -> Result<(), BenchmarkError> {
    let change_settings = |settings: &mut Value| {
        extend_deadlines(settings);
        settings["limits"] =
            json!({ "statements": size + 10, "connections": size + 100, "abandon_after": "1h" });
    };
    let site = TestSite::start(&args.site, 1, change_settings, |engine| {
        engine.work_model.speed = ENGINE_SPEED;
    })?;
    let bytes_before = site.router().resident_bytes()?;
    let address = site.router().address();
    let end =
        Instant::now() + Duration::from_secs(args.seconds) + SETUP_TIME_PER_CLIENT * size as u32;
    let handles: Vec<_> = (0..THREADS)
        .map(|thread| {
            let clients = (thread..size).step_by(THREADS).count();
            thread::spawn(move || run_clients(clients, address, end))
        })
        .collect();
    // After this time all clients have submitted their statements and poll.
    thread::sleep(remaining(end).mul_f64(0.6));
    let early = RouterSample::take(&site)?;
    thread::sleep(remaining(end).mul_f64(0.8));
    let late = RouterSample::take(&site)?;
    let mut total = PollResult::new()?;
    for handle in handles {
        let result = handle
            .join()
            .map_err(|_| BenchmarkError::ClientPanicked)??;
        total.delays.add(result.delays)?;
        total.failed += result.failed;
    }
    if total.failed > 0 || late.open_statements() < size as u64 {
        return Err(BenchmarkError::ClientsFailed {
            failed: total.failed,
            open: late.open_statements(),
            expected: size,
        });
    }
    let rounds = late.number("rounds") - early.number("rounds");
    let round_micros = late.number("roundsMicros") - early.number("roundsMicros");
    println!(
        "{size:>8} {:>12.1} {:>14.2} {:>12.0} {:>12.2} {:>12.2} {:>12.1}",
        late.resident_bytes as f64 / 1e6,
        (late.resident_bytes - bytes_before) as f64 / 1e3 / size as f64,
        total.delays.len() as f64 / args.seconds as f64,
        total.delays.value_at_quantile(0.5) as f64 / 1e3,
        total.delays.value_at_quantile(0.99) as f64 / 1e3,
        round_micros / rounds.max(1.0),
    );
    Ok(())
}

fn remaining(end: Instant) -> Duration {
    end.saturating_duration_since(Instant::now())
}

fn run_clients(
    count: usize,
    address: SocketAddr,
    end: Instant,
) -> Result<PollResult, BenchmarkError> {
    let executor = LocalExecutor::new();
    let delays = Rc::new(RefCell::new(PollResult::new()?.delays));
    let tasks: Vec<_> = (0..count)
        .map(|index| {
            let delays = delays.clone();
            executor.spawn(async move {
                async_io::Timer::after(CONNECT_INTERVAL * index as u32).await;
                run_client(address, end, &delays).await
            })
        })
        .collect();
    let failed = async_io::block_on(executor.run(async {
        let mut failed = 0;
        for task in tasks {
            failed += u64::from(task.await.is_err());
        }
        failed
    }));
    let delays = delays.borrow().clone();
    Ok(PollResult { delays, failed })
}

/// Submits a statement, and polls for it until the end.
async fn run_client(
    address: SocketAddr,
    end: Instant,
    delays: &RefCell<Histogram<u64>>,
) -> Result<(), BenchmarkError> {
    let mut connection = Connection::open(address, EXCHANGE_TIMEOUT, Limits::default()).await?;
    let request = submission("lookup", "SELECT 1 /* work=1h */");
    let mut response = connection.exchange(&request, EXCHANGE_TIMEOUT).await?;
    while Instant::now() < end {
        let path = next_path(&response).ok_or(BenchmarkError::NoNextUri {
            status: response.status.0,
        })?;
        let start = Instant::now();
        let poll = Request::new(Method::Get, path);
        response = connection.exchange(&poll, EXCHANGE_TIMEOUT).await?;
        if response.status.0 != 200 {
            return Err(BenchmarkError::UnexpectedStatus(response.status.0));
        }
        let delay = start.elapsed().as_micros().saturating_sub(POLL_WAIT_MICROS);
        // The histogram resizes automatically, so recording never fails.
        let _ = delays.borrow_mut().record(delay as u64);
    }
    Ok(())
}
