//! Polls per second of a router, which has one thread, compared with a bare hyper server on one thread that sends the same
//! bytes to the same load. Runs of the two alternate.

use std::net::SocketAddr;
use std::process::Command;
use std::time::Duration;

use hoptiller_http::{Method, Request, Response};
use serde_json::{Value, json};

use crate::closed_loop::{ClosedLoop, LoadResult};
use crate::error::BenchmarkError;
use crate::process::ServerProcess;
use crate::requests::{exchange_once, next_path, submission};
use crate::statistics::median;
use crate::test_site::{SiteArgs, TestSite, extend_deadlines};

/// Speed of engines, so low that no statement ends during the benchmark.
const ENGINE_SPEED: f64 = 1e-6;

/// Arguments of `polls`.
#[derive(clap::Args)]
pub(crate) struct Args {
    /// Duration of each run, in seconds
    #[arg(long, default_value_t = 3)]
    seconds: u64,
    /// Number of pairs of runs
    #[arg(long, default_value_t = 5)]
    pairs: usize,
    /// Number of connections
    #[arg(long, default_value_t = 64)]
    connections: usize,
    /// Number of threads of the load
    #[arg(long, default_value_t = 2)]
    threads: usize,
    #[command(flatten)]
    site: SiteArgs,
}

/// Polls per second of a router, as fractions of those of the bare server.
struct Ratios {
    /// Ratio of polls that repeat the same token.
    repeated: f64,
    /// Ratio of polls that follow each response to the next token.
    following: f64,
}

pub(crate) fn run(args: &Args) -> Result<(), BenchmarkError> {
    let site = TestSite::start(&args.site, 2, respond_at_once, |engine| {
        engine.work_model.speed = ENGINE_SPEED;
    })?;
    let router = site.router().address();
    let repeated_path = submit(router)?;
    let response = exchange_once(router, &Request::new(Method::Get, &repeated_path))?;
    let body_bytes = response.body.len();
    let bare_server = ServerProcess::start(
        Command::new(std::env::current_exe()?)
            .arg("bare")
            .arg(body_bytes.to_string()),
    )?;
    println!(
        "{body_bytes} bytes of body; polls a second, one thread each; {} connections",
        args.connections
    );
    println!(
        "{:>4} {:>12} {:>12} {:>12} {:>8} {:>8}",
        "pair", "bare hyper", "same again", "moving on", "ratio", "ratio"
    );
    let mut ratios = Vec::new();
    for pair in 0..args.pairs {
        ratios.push(run_pair(
            args,
            pair,
            router,
            bare_server.address(),
            &repeated_path,
        )?);
    }
    let median_of =
        |ratio: fn(&Ratios) -> f64| median(ratios.iter().map(ratio), f64::total_cmp).unwrap_or(0.0);
    println!(
        "median ratio to bare hyper: same again {:.2}, moving on {:.2}",
        median_of(|pair| pair.repeated),
        median_of(|pair| pair.following)
    );
    Ok(())
}

/// Changes settings so that each poll gets its response at once, with no rows and a next token.
fn respond_at_once(settings: &mut Value) {
    settings["limits"] = json!({ "long_poll": "0s", "abandon_after": "1h", "statements": 10_000 });
    extend_deadlines(settings);
}

fn run_pair(
    args: &Args,
    pair: usize,
    router: SocketAddr,
    bare_server: SocketAddr,
    repeated_path: &str,
) -> Result<Ratios, BenchmarkError> {
    let load = ClosedLoop {
        address: router,
        threads: args.threads,
        connections: args.connections,
        duration: Duration::from_secs(args.seconds),
    };
    // Each pair needs new statements: the load advances them, and does not return their current tokens.
    let paths = (0..args.connections)
        .map(|_| submit(router))
        .collect::<Result<Vec<String>, BenchmarkError>>()?;
    let repeated_request = Request::new(Method::Get, repeated_path);
    let first = move |_| repeated_request.clone();
    let bare = ClosedLoop {
        address: bare_server,
        ..load
    }
    .run(first.clone(), repeat_request)?;
    let repeated = load.run(first, repeat_request)?;
    let following = load.run(
        move |index| Request::new(Method::Get, &paths[index]),
        follow_response,
    )?;
    let failed = bare.failed + repeated.failed + following.failed;
    if failed > 0 {
        return Err(BenchmarkError::ConnectionsFailed(failed));
    }
    let rate = |result: &LoadResult| result.responses as f64 / args.seconds as f64;
    let (bare, repeated, following) = (rate(&bare), rate(&repeated), rate(&following));
    let ratios = Ratios {
        repeated: repeated / bare,
        following: following / bare,
    };
    println!(
        "{pair:>4} {bare:>12.0} {repeated:>12.0} {following:>12.0} {:>8.2} {:>8.2}",
        ratios.repeated, ratios.following
    );
    Ok(ratios)
}

/// Submits a statement that outlasts the benchmark, and returns the path of its first poll.
fn submit(router: SocketAddr) -> Result<String, BenchmarkError> {
    let request = submission("lookup", "SELECT 1 /* work=1h */");
    let response = exchange_once(router, &request)?;
    next_path(&response).ok_or(BenchmarkError::NoNextUri {
        status: response.status.0,
    })
}

fn repeat_request(request: &Request, _: &Response) -> Request {
    request.clone()
}

fn follow_response(_: &Request, response: &Response) -> Request {
    Request::new(Method::Get, next_path(response).unwrap_or_default())
}
