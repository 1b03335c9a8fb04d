//! Many clients mid-poll on one router, which is a process of its own: memory for each that waits, the time that a
//! poll takes beyond its wait, the time of a round of decisions.

use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use hdrhistogram::Histogram;
use hoptiller_http::client::Connection;
use hoptiller_http::{Limits, Method, Request};
use hoptiller_standin::discovery::DiscoveryConfig;
use hoptiller_standin::engine::EngineConfig;
use serde_json::{Value, json};

use crate::site::{ask, next, post};

#[derive(clap::Args)]
pub struct Args {
    /// Sizes of the crowd; a router needs a descriptor for each client (`ulimit -n`)
    #[arg(long, value_delimiter = ',', default_value = "1000,5000,20000")]
    sizes: Vec<usize>,
    /// Seconds that each crowd polls
    #[arg(long, default_value_t = 15)]
    seconds: u64,
    /// The program, built in release
    #[arg(long, default_value = "target/release/hoptiller")]
    program: PathBuf,
    /// The settings that the router starts from
    #[arg(long, default_value = "examples/derby.jsonnet")]
    settings: PathBuf,
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
    let discovery = DiscoveryConfig::default().start()?;
    let mut engine = EngineConfig::new("e0", "std-8a", "hall-a");
    engine.discovery = Some(discovery.addr);
    // It takes some statements and is done with none: all others wait in the router.
    engine.spec.speed = 1e-6;
    let _engine = engine.start()?;
    let dir = std::env::temp_dir().join(format!("hoptiller-crowd-{}", std::process::id()));
    std::fs::create_dir_all(&dir)?;
    let path = args.settings.canonicalize()?;
    let file = dir.join("router.jsonnet");
    let text = format!(
        "(import '{}') + {{ router+: {{ listen: '127.0.0.1:0', state: null }}, discovery+: {{ address: '{}' }}, \
         limits: {{ statements: {}, connections: {}, abandon_after: '1h' }}, \
         classes: [c {{ patience: '1h', aim: '30m' }} for c in super.classes] }}",
        path.display(),
        discovery.addr,
        size + 10,
        size + 100
    );
    std::fs::write(&file, text)?;
    let mut child = Command::new(&args.program).arg("route").arg(&file).stdout(Stdio::piped()).spawn()?;
    let mut line = String::new();
    if let Some(out) = child.stdout.take() {
        BufReader::new(out).read_line(&mut line)?;
    }
    let addr: Option<SocketAddr> = line.trim().strip_prefix("ready http://").and_then(|a| a.parse().ok());
    let done = match addr {
        None => Err(io::Error::other("the router did not start")),
        Some(addr) => crowd(args, size, addr, child.id()),
    };
    child.kill()?;
    child.wait()?;
    std::fs::remove_dir_all(&dir)?;
    done
}

fn crowd(args: &Args, size: usize, addr: SocketAddr, pid: u32) -> io::Result<()> {
    while info(addr)["engines"] != json!(1) {
        std::thread::sleep(Duration::from_millis(50));
    }
    let before = memory(pid)?;
    let threads = 2;
    let until = Instant::now() + Duration::from_secs(args.seconds) + Duration::from_micros(size as u64 * 500);
    let handles: Vec<_> = (0..threads)
        .map(|t| std::thread::spawn(move || clients((t..size).step_by(threads).count(), addr, until)))
        .collect();
    // Settled: all have submitted and poll. Then rounds and memory are read.
    std::thread::sleep(until.saturating_duration_since(Instant::now()).mul_f64(0.6));
    let early = info(addr);
    std::thread::sleep(until.saturating_duration_since(Instant::now()).mul_f64(0.8));
    let (late, after) = (info(addr), memory(pid)?);
    let mut times = Histogram::<u64>::new(3).map_err(io::Error::other)?;
    let mut failed = 0;
    for handle in handles {
        let (part, bad) = handle.join().map_err(|_| io::Error::other("a client thread panicked"))?;
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
    let times = std::rc::Rc::new(std::cell::RefCell::new(Histogram::<u64>::new(3).expect("a histogram")));
    let tasks: Vec<_> = (0..count)
        .map(|n| {
            let times = times.clone();
            ex.spawn(async move {
                // One after the other: a listener's queue is short.
                async_io::Timer::after(Duration::from_micros(n as u64 * 400)).await;
                let limit = Duration::from_secs(30);
                let Ok(mut c) = Connection::open(addr, limit, Limits::default()).await else { return 1 };
                let Ok(mut answer) = c.exchange(&post("lookup", "SELECT 1 /* work=1h */"), limit).await
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

fn info(addr: SocketAddr) -> Value {
    let answer = ask(addr, &Request::new(Method::Get, "/v1/info"));
    answer.ok().and_then(|a| serde_json::from_slice(&a.body).ok()).unwrap_or_default()
}

/// Resident memory of a process, in bytes.
fn memory(pid: u32) -> io::Result<u64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kb = line.and_then(|l| l.trim().trim_end_matches("kB").trim().parse::<u64>().ok());
    kb.map(|kb| kb * 1024).ok_or_else(|| io::Error::other("no VmRSS"))
}
