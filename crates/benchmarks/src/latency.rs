//! The latency that the router adds to statements. Runs in pairs send the same statements to a mock engine directly and
//! through the router, at half of the engine's capacity.

use std::time::Duration;

use hoptiller_http::{Method, Request, Response};

use crate::closed_loop::{ClosedLoop, LoadResult};
use crate::error::BenchmarkError;
use crate::requests::{next_path, submission};
use crate::statistics::median;
use crate::test_site::{SiteArgs, TestSite};

/// Arguments of `latency`.
#[derive(clap::Args)]
pub(crate) struct Args {
    /// Duration of each run, in seconds
    #[arg(long, default_value_t = 5)]
    seconds: u64,
    /// Number of pairs of runs
    #[arg(long, default_value_t = 5)]
    pairs: usize,
    /// Number of statements in flight; four use half of an engine with eight cores
    #[arg(long = "under-way", default_value_t = 4)]
    in_flight: usize,
    #[command(flatten)]
    site: SiteArgs,
}

/// Quantiles of the polls of a run, in microseconds.
#[derive(Clone, Copy)]
struct PollTimes {
    p50: u64,
    p99: u64,
}

impl PollTimes {
    fn new(result: &LoadResult) -> PollTimes {
        // A statement is two exchanges, the submission and a slower poll. The quantiles of polls are therefore those of
        // the upper half of all exchanges.
        PollTimes {
            p50: result.times.value_at_quantile(0.75),
            p99: result.times.value_at_quantile(0.995),
        }
    }
}

pub(crate) fn run(args: &Args) -> Result<(), BenchmarkError> {
    let site = TestSite::start(&args.site, 1, |_| {}, |_| {})?;
    println!(
        "exchanges in µs; {} statements of 20 ms in flight on eight cores",
        args.in_flight
    );
    println!(
        "{:>4} {:>8} {:>10} {:>10} {:>10}",
        "pair", "", "p50 poll", "p99 poll", "answered"
    );
    let direct = ClosedLoop {
        address: site.engine_addresses()[0],
        threads: 1,
        connections: args.in_flight,
        duration: Duration::from_secs(args.seconds),
    };
    let routed = ClosedLoop {
        address: site.router().address(),
        ..direct
    };
    let mut added = Vec::new();
    for pair in 0..args.pairs {
        let direct = direct.run(|_| statement(), following_request)?;
        let routed = routed.run(|_| statement(), following_request)?;
        let failed = direct.failed + routed.failed;
        if failed > 0 {
            let total = failed + direct.responses + routed.responses;
            return Err(BenchmarkError::ExchangesFailed { failed, total });
        }
        print_run(pair, "direct", &direct);
        print_run(pair, "routed", &routed);
        added.push((PollTimes::new(&direct), PollTimes::new(&routed)));
    }
    let median_added = |quantile: fn(PollTimes) -> u64| {
        let differences = added
            .iter()
            .map(|(direct, routed)| quantile(*routed) as i64 - quantile(*direct) as i64);
        median(differences, i64::cmp).unwrap_or(0)
    };
    println!(
        "the router adds, median of pairs: {} µs at p50, {} µs at p99",
        median_added(|times| times.p50),
        median_added(|times| times.p99)
    );
    Ok(())
}

fn print_run(pair: usize, name: &str, result: &LoadResult) {
    let times = PollTimes::new(result);
    println!(
        "{pair:>4} {name:>8} {:>10} {:>10} {:>10}",
        times.p50, times.p99, result.responses
    );
}

fn statement() -> Request {
    submission("lookup", "SELECT 1 /* work=20ms rows=5 */")
}

/// Returns the poll of a response's `nextUri`, or a new statement after a final response.
fn following_request(_: &Request, response: &Response) -> Request {
    match next_path(response) {
        Some(path) => Request::new(Method::Get, path),
        None => statement(),
    }
}
