//! Many clients mid-poll on one router, which is a process of its own: memory for each that waits, the time that a
//! poll takes beyond its wait, the time of a round of decisions.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use hdrhistogram::Histogram;
use hoptiller_http::client::Connection;
use hoptiller_http::{Limits, Method, Request};
use serde_json::{Value, json};

use crate::site::{Place, Site, next, patient, post};

#[derive(clap::Args)]
pub struct Args {
    /// Sizes of the crowd; a router needs a descriptor for each client (`ulimit -n`)
    #[arg(long, value_delimiter = ',', default_value = "1000,5000,20000")]
    sizes: Vec<usize>,
    /// Seconds that each crowd polls
    #[arg(long, default_value_t = 15)]
    seconds: u64,
    #[command(flatten)]
    place: Place,
}

pub fn run(args: &Args) -> io::Result<()> {
    println!(
        "{:>8} {:>12} {:>14} {:>12} {:>12} {:>12} {:>12}",
        "clients", "RSS, MB", "KB a client", "polls/s", "p50, ms", "p99, ms", "round, µs"
    );
    for size in &args.sizes {
        one(args, *size)?;
    }
    Ok(())
}

fn one(args: &Args, size: usize) -> io::Result<()> {
    let change = |v: &mut Value| {
        patient(v);
        v["limits"] =
            json!({ "statements": size + 10, "connections": size + 100, "abandon_after": "1h" });
    };
    // It takes some statements and is done with none: all others wait in the router.
    let site = Site::new(&args.place, 1, change, |e| e.work_model.speed = 1e-6)?;
    let addr = site.router.addr;
    let before = site.router.memory()?;
    let threads = 2;
    let until = Instant::now()
        + Duration::from_secs(args.seconds)
        + Duration::from_micros(size as u64 * 500);
    let handles: Vec<_> = (0..threads)
        .map(|t| {
            std::thread::spawn(move || clients((t..size).step_by(threads).count(), addr, until))
        })
        .collect();
    // Settled: all have submitted and poll. Then rounds and memory are read.
    std::thread::sleep(until.saturating_duration_since(Instant::now()).mul_f64(0.6));
    let early = site.info();
    std::thread::sleep(until.saturating_duration_since(Instant::now()).mul_f64(0.8));
    let (late, after) = (site.info(), site.router.memory()?);
    let mut times = Histogram::<u64>::new(3).map_err(io::Error::other)?;
    let mut failed = 0;
    for handle in handles {
        let (part, bad) = handle
            .join()
            .map_err(|_| io::Error::other("a client thread panicked"))?;
        times.add(part).map_err(io::Error::other)?;
        failed += bad;
    }
    let number = |v: &Value, name: &str| v[name].as_f64().unwrap_or(0.0);
    let rounds = number(&late, "rounds") - number(&early, "rounds");
    let round = (number(&late, "roundsMicros") - number(&early, "roundsMicros")) / rounds.max(1.0);
    let open = late["openStatements"].as_u64().unwrap_or(0);
    if failed > 0 || open < size as u64 {
        return Err(io::Error::other(format!(
            "{failed} clients failed; {open} of {size} statements are open"
        )));
    }
    println!(
        "{size:>8} {:>12.1} {:>14.2} {:>12.0} {:>12.2} {:>12.2} {round:>12.1}",
        after as f64 / 1e6,
        (after - before) as f64 / 1e3 / size as f64,
        times.len() as f64 / args.seconds as f64,
        times.value_at_quantile(0.5) as f64 / 1e3,
        times.value_at_quantile(0.99) as f64 / 1e3,
    );
    Ok(())
}

/// Each submits once, then polls until the end. Times are those that a poll took beyond the second it waits.
fn clients(count: usize, addr: SocketAddr, until: Instant) -> (Histogram<u64>, u64) {
    let ex = LocalExecutor::new();
    let times = std::rc::Rc::new(std::cell::RefCell::new(
        Histogram::<u64>::new(3).expect("a histogram"),
    ));
    let tasks: Vec<_> = (0..count)
        .map(|n| {
            let times = times.clone();
            ex.spawn(async move {
                // One after the other: a listener's queue is short.
                async_io::Timer::after(Duration::from_micros(n as u64 * 400)).await;
                let limit = Duration::from_secs(30);
                let Ok(mut c) = Connection::open(addr, limit, Limits::default()).await else {
                    return 1;
                };
                let Ok(mut answer) = c
                    .exchange(&post("lookup", "SELECT 1 /* work=1h */"), limit)
                    .await
                else {
                    return 1;
                };
                while Instant::now() < until {
                    let Some(path) = next(&answer) else { return 1 };
                    let began = Instant::now();
                    match c.exchange(&Request::new(Method::Get, path), limit).await {
                        Ok(got) if got.status.0 == 200 => answer = got,
                        _ => return 1,
                    }
                    let beyond = began.elapsed().as_micros().saturating_sub(1_000_000) as u64;
                    let _ = times.borrow_mut().record(beyond);
                }
                0
            })
        })
        .collect();
    let failed = async_io::block_on(ex.run(async {
        let mut failed = 0;
        for task in tasks {
            failed += task.await;
        }
        failed
    }));
    let times = times.borrow().clone();
    (times, failed)
}
