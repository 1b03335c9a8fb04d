//! What the router adds: the same statements, asked of a stand-in engine directly and through the router, in turn,
//! at half of the engine's load.

use std::io;
use std::time::Duration;

use hdrhistogram::Histogram;
use hoptiller_http::{Request, Response};

use crate::load::{Answered, closed};
use crate::site::{Place, Site, next, post};

#[derive(clap::Args)]
pub struct Args {
    /// Seconds of each run
    #[arg(long, default_value_t = 5)]
    seconds: u64,
    /// Pairs of runs
    #[arg(long, default_value_t = 5)]
    pairs: usize,
    /// Statements under way; an engine of eight cores is half loaded by four
    #[arg(long, default_value_t = 4)]
    under_way: usize,
    #[command(flatten)]
    place: Place,
}

/// The request behind an answer: its `nextUri`, or a new statement.
fn follow(_: &Request, answer: &Response) -> Request {
    match next(answer) {
        Some(path) => Request::new(hoptiller_http::Method::Get, path),
        None => statement(),
    }
}

fn statement() -> Request {
    post("lookup", "SELECT 1 /* work=20ms rows=5 */")
}

pub fn run(args: &Args) -> io::Result<()> {
    let site = Site::new(&args.place, 1, |_| {}, |_| {})?;
    let engine = site.engines[0].listen;
    let time = Duration::from_secs(args.seconds);
    // A statement is two exchanges: posted, and polled for its one page, which waits for the 20 ms of its work.
    println!(
        "exchanges in µs; {} statements of 20 ms under way on eight cores",
        args.under_way
    );
    println!(
        "{:>4} {:>8} {:>10} {:>10} {:>10}",
        "pair", "", "p50 poll", "p99 poll", "answered"
    );
    let mut added = Vec::new();
    for pair in 0..args.pairs {
        let direct = closed(engine, 1, args.under_way, time, |_| statement(), follow);
        let routed = closed(
            site.router.addr,
            1,
            args.under_way,
            time,
            |_| statement(),
            follow,
        );
        if direct.failed + routed.failed > 0 {
            return Err(io::Error::other("some exchanges failed"));
        }
        let line = |name: &str, m: &Answered| {
            // Polls are the slower half of the exchanges.
            let (p50, p99) = (of(&m.times, 0.75), of(&m.times, 0.995));
            println!("{pair:>4} {name:>8} {p50:>10} {p99:>10} {:>10}", m.answered);
            (p50, p99)
        };
        let (d, r) = (line("direct", &direct), line("routed", &routed));
        added.push((r.0 as i64 - d.0 as i64, r.1 as i64 - d.1 as i64));
    }
    let median = |of: fn(&(i64, i64)) -> i64| {
        let mut all: Vec<i64> = added.iter().map(of).collect();
        all.sort_unstable();
        all[all.len() / 2]
    };
    println!(
        "the router adds, median of pairs: {} µs at p50, {} µs at p99",
        median(|a| a.0),
        median(|a| a.1)
    );
    Ok(())
}

fn of(times: &Histogram<u64>, quantile: f64) -> u64 {
    times.value_at_quantile(quantile)
}
