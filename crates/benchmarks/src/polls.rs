//! Polls a second of a router's one thread, in turn with a bare hyper server on one thread that sends the same
//! bytes to the same load.

use std::io;
use std::process::Command;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Async;
use hoptiller_http::{Method, Request, Response};
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::service::service_fn;

use crate::load::{Answered, closed};
use crate::site::{Measured, Place, Site, ask, next, patient, post};

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
    #[command(flatten)]
    place: Place,
}

pub fn run(args: &Args) -> io::Result<()> {
    // Statements that never end meanwhile: each poll is answered at once, that nothing is new, and moves on.
    let change = |v: &mut serde_json::Value| {
        v["limits"] =
            serde_json::json!({ "long_poll": "0s", "abandon_after": "1h", "statements": 10_000 });
        patient(v);
    };
    let site = Site::new(&args.place, 2, change, |e| e.work_model.speed = 1e-6)?;
    let router = site.router.addr;
    let submit = || {
        let first =
            ask(router, &post("lookup", "SELECT 1 /* work=1h */")).map_err(io::Error::other)?;
        next(&first).ok_or_else(|| io::Error::other("no nextUri"))
    };
    let again = submit()?;
    let same = ask(router, &Request::new(Method::Get, &again)).map_err(io::Error::other)?;
    let hyper = Measured::start(
        Command::new(std::env::current_exe()?)
            .arg("bare")
            .arg(same.body.len().to_string()),
    )?;
    let time = Duration::from_secs(args.seconds);
    let mut paths: Vec<String> = (0..args.connections)
        .map(|_| submit())
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
    let moving = |_: &Request, answer: &Response| {
        Request::new(Method::Get, next(answer).unwrap_or_default())
    };
    for pair in 0..args.pairs {
        let path = again.clone();
        let bare = closed(
            hyper.addr,
            args.threads,
            args.connections,
            time,
            move |_| Request::new(Method::Get, &path),
            repeat,
        );
        let path = again.clone();
        let same = closed(
            router,
            args.threads,
            args.connections,
            time,
            move |_| Request::new(Method::Get, &path),
            repeat,
        );
        let from = paths.clone();
        let on = closed(
            router,
            args.threads,
            args.connections,
            time,
            move |n| Request::new(Method::Get, &from[n]),
            moving,
        );
        // New statements for the next pair: the last tokens stayed with the load.
        paths = (0..args.connections)
            .map(|_| submit())
            .collect::<io::Result<_>>()?;
        let rate = |m: &Answered| m.answered as f64 / args.seconds as f64;
        let failed = bare.failed + same.failed + on.failed;
        if failed > 0 {
            return Err(io::Error::other(format!("{failed} connections failed")));
        }
        let (b, s, o) = (rate(&bare), rate(&same), rate(&on));
        println!(
            "{pair:>4} {b:>12.0} {s:>12.0} {o:>12.0} {:>8.2} {:>8.2}",
            s / b,
            o / b
        );
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

#[derive(clap::Args)]
pub struct BareArgs {
    /// Bytes of the body
    bytes: usize,
}

/// A hyper server on one thread that answers everything with so many bytes.
pub fn bare(args: &BareArgs) -> io::Result<()> {
    let listener = Async::<std::net::TcpListener>::bind(([127, 0, 0, 1], 0))?;
    println!("ready http://{}", listener.get_ref().local_addr()?);
    let ex = Rc::new(LocalExecutor::new());
    let body = Bytes::from(vec![b'x'; args.bytes]);
    async_io::block_on(ex.run(async {
        loop {
            let (stream, _) = listener.accept().await?;
            stream.get_ref().set_nodelay(true)?;
            let body = body.clone();
            ex.spawn(async move {
                let service = service_fn(move |_| {
                    let response = hyper::Response::builder()
                        .header("Content-Type", "application/json")
                        .body(Full::new(body.clone()));
                    async { response }
                });
                let io = smol_hyper::rt::FuturesIo::new(stream);
                let _ = hyper::server::conn::http1::Builder::new()
                    .serve_connection(io, service)
                    .await;
            })
            .detach();
        }
    }))
}
