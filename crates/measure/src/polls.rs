//! Polls a second of a router's one thread, in turn with a bare hyper server on one thread that sends the same
//! bytes to the same load.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Async;
use hoptiller_http::{Method, Request, Response};
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::service::service_fn;

use crate::load::{Measured, closed};
use crate::site::{Site, ask, next, post};

#[derive(clap::Args)]
pub struct Args {
    /// Seconds of each run
    #[arg(long, default_value_t = 3)]
    seconds: u64,
    /// Pairs of runs
    #[arg(long, default_value_t = 5)]
    pairs: usize,
    /// Connections
    #[arg(long, default_value_t = 64)]
    connections: usize,
    /// Threads of the load
    #[arg(long, default_value_t = 2)]
    threads: usize,
}

pub fn run(args: &Args) -> io::Result<()> {
    // Statements that never end meanwhile: each poll is answered at once, that nothing is new, and moves on.
    let change = |v: &mut serde_json::Value| {
        v["limits"] = serde_json::json!({ "long_poll": "0s", "abandon_after": "1h", "statements": 1000 });
        for class in v["classes"].as_array_mut().into_iter().flatten() {
            class["patience"] = serde_json::json!("1h");
            class["aim"] = serde_json::json!("30m");
        }
    };
    let site = Site::new(2, change, |e| e.spec.speed = 1e-6)?;
    let first = ask(site.addr, &post("lookup", "SELECT 1 /* work=1h */")).map_err(io::Error::other)?;
    let again = next(&first).ok_or_else(|| io::Error::other("no nextUri"))?;
    let same = ask(site.addr, &Request::new(Method::Get, &again)).map_err(io::Error::other)?;
    let hyper = bare_hyper(same.clone())?;
    let time = Duration::from_secs(args.seconds);
    let paths: Vec<String> = (0..args.connections)
        .map(|_| {
            let first =
                ask(site.addr, &post("lookup", "SELECT 1 /* work=1h */")).map_err(io::Error::other)?;
            next(&first).ok_or_else(|| io::Error::other("no nextUri"))
        })
        .collect::<io::Result<_>>()?;
    println!(
        "{} bytes of body; polls a second, one thread each; {} connections",
        same.body.len(),
        args.connections
    );
    println!(
        "{:>4} {:>12} {:>12} {:>12} {:>8} {:>8}",
        "pair", "bare hyper", "same again", "moving on", "ratio", "ratio"
    );
    let mut ratios = Vec::new();
    let repeat = |request: &Request, _: &Response| request.clone();
    let moving = |_: &Request, answer: &Response| Request::new(Method::Get, next(answer).unwrap_or_default());
    let mut paths = paths;
    for pair in 0..args.pairs {
        let path = again.clone();
        let bare = closed(
            hyper,
            args.threads,
            args.connections,
            time,
            move |_| Request::new(Method::Get, &path),
            repeat,
        );
        let path = again.clone();
        let same = closed(
            site.addr,
            args.threads,
            args.connections,
            time,
            move |_| Request::new(Method::Get, &path),
            repeat,
        );
        let from = paths.clone();
        let on = closed(
            site.addr,
            args.threads,
            args.connections,
            time,
            move |n| Request::new(Method::Get, &from[n]),
            moving,
        );
        // New statements for the next pair: the last tokens stayed with the load.
        paths = (0..args.connections)
            .map(|_| {
                let first =
                    ask(site.addr, &post("lookup", "SELECT 1 /* work=1h */")).map_err(io::Error::other)?;
                next(&first).ok_or_else(|| io::Error::other("no nextUri"))
            })
            .collect::<io::Result<_>>()?;
        let rate = |m: &Measured| m.answered as f64 / args.seconds as f64;
        let failed = bare.failed + same.failed + on.failed;
        if failed > 0 {
            return Err(io::Error::other(format!("{failed} connections failed")));
        }
        let (b, s, o) = (rate(&bare), rate(&same), rate(&on));
        println!("{pair:>4} {b:>12.0} {s:>12.0} {o:>12.0} {:>8.2} {:>8.2}", s / b, o / b);
        ratios.push((s / b, o / b));
    }
    let median = |of: fn(&(f64, f64)) -> f64| {
        let mut all: Vec<f64> = ratios.iter().map(of).collect();
        all.sort_by(f64::total_cmp);
        all[all.len() / 2]
    };
    println!(
        "median ratio to bare hyper: same again {:.2}, moving on {:.2}",
        median(|r| r.0),
        median(|r| r.1)
    );
    Ok(())
}

/// A hyper server on one thread that answers everything with these bytes.
fn bare_hyper(answer: Response) -> io::Result<SocketAddr> {
    let listener = Async::<std::net::TcpListener>::bind(([127, 0, 0, 1], 0))?;
    let addr = listener.get_ref().local_addr()?;
    std::thread::spawn(move || {
        let ex = Rc::new(LocalExecutor::new());
        let body = Bytes::from(answer.body);
        let own = ex.clone();
        async_io::block_on(ex.run(async {
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                let _ = stream.get_ref().set_nodelay(true);
                let body = body.clone();
                own.spawn(async move {
                    let service = service_fn(move |_| {
                        let body = body.clone();
                        async move {
                            let response = hyper::Response::builder()
                                .header("Content-Type", "application/json")
                                .body(Full::new(body));
                            Ok::<_, Infallible>(response.expect("a response"))
                        }
                    });
                    let io = smol_hyper::rt::FuturesIo::new(stream);
                    let _ = hyper::server::conn::http1::Builder::new().serve_connection(io, service).await;
                })
                .detach();
            }
        }));
    });
    Ok(addr)
}
