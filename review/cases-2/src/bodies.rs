//! Bad clients send hundreds of long requests at once, and the platform watches the memory of their router.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{new_id, read_answer, request, Calls, End};
use crate::record::Record;
use crate::router::Options;
use crate::site::{judge_lost, Setting, Site};

/// The least memory and the most descriptors that the pages give a router.
const MEMORY_MB: u64 = 32;
const SOCKETS: u64 = 1024;
const CALM: Duration = Duration::from_secs(2);
const TROUBLE: Duration = Duration::from_secs(6);
/// Bad clients, each with one request.
const AT_ONCE: usize = 400;
const STATEMENT_BYTES: usize = 60_000;
const BAD_WAIT_MS: u64 = 3000;
const USUAL_PAUSE: Duration = Duration::from_millis(200);
const USUAL_WAIT_MS: u64 = 1500;
const WATCH_PAUSE: Duration = Duration::from_millis(5);

pub fn run(setting: &Setting) -> Result<bool, String> {
    let options = Options {
        index: 0,
        routers: 3,
        memory_mb: MEMORY_MB,
        sockets: SOCKETS,
        deadlines: [1800, 3000, 3000],
        aims: [600, 900, 1200],
    };
    let mut site = Site::start(setting, options, 6)?;
    let record = &setting.record;
    let calls = Calls::default();
    let stop = Arc::new(AtomicBool::new(false));
    let (target, loaded) = (site.routers[0].addr, setting.trouble);
    let bad = thread::spawn({
        let record = record.clone();
        move || {
            thread::sleep(CALM);
            if loaded {
                send_at_once(target, &record);
            }
        }
    });
    let usual = thread::spawn({
        let addrs: Vec<SocketAddr> = site.routers.iter().map(|router| router.addr).collect();
        let (calls, record, stop) = (calls.clone(), record.clone(), stop.clone());
        move || {
            let mut number = 0;
            while !stop.load(Ordering::SeqCst) {
                let router = number % addrs.len();
                number += 1;
                calls.start(addrs[router], router, "lookup", USUAL_WAIT_MS, &record);
                thread::sleep(USUAL_PAUSE);
            }
        }
    });
    let started = Instant::now();
    let (mut most, mut killed) = (0.0_f64, false);
    while started.elapsed() < CALM + TROUBLE && !killed {
        thread::sleep(WATCH_PAUSE);
        let memory = site.routers[0].memory_mb().unwrap_or(0.0);
        most = most.max(memory);
        if memory > MEMORY_MB as f64 {
            // The platform's limit: a router over it is killed.
            site.routers[0].kill();
            killed = true;
            let after = started.elapsed();
            record.say(&format!(
                "the platform kills router 1 after {after:.2?}: it uses {memory:.1} MB of {MEMORY_MB} MB"
            ));
        }
    }
    stop.store(true, Ordering::SeqCst);
    let _ = usual.join();
    let _ = bad.join();
    calls.wait();
    record.say(&format!("at most {most:.1} MB of {MEMORY_MB} MB"));
    let ended = if killed {
        Vec::new()
    } else {
        site.ended_routers()
    };
    ended.iter().for_each(|line| record.say(line));
    let outcomes = calls.outcomes.lock().unwrap().clone();
    // What a killed router held is the client's to retry, so only its end counts.
    let answered = judge_lost(record, &outcomes) || killed;
    Ok(answered && !killed && ended.is_empty())
}

/// Opens the connections, then sends a request on each, and reads the answers.
fn send_at_once(addr: SocketAddr, record: &Record) {
    record.say(&format!(
        "{AT_ONCE} bad clients send router 1 a request each, of {STATEMENT_BYTES} bytes"
    ));
    let statement = format!(
        "SELECT a FROM sales_17.orders -- {}",
        "x".repeat(STATEMENT_BYTES)
    );
    let statement = &statement[..STATEMENT_BYTES];
    let (answered, closed) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let streams: Vec<TcpStream> = (0..AT_ONCE)
        .flat_map(|_| TcpStream::connect(addr))
        .collect();
    thread::scope(|scope| {
        for mut stream in streams {
            let (answered, closed) = (&answered, &closed);
            scope.spawn(move || {
                let bytes = request(&new_id(), "report", BAD_WAIT_MS, statement);
                let end = match stream.write_all(&bytes) {
                    Ok(()) => read_answer(&mut stream, Instant::now() + TROUBLE),
                    Err(_) => End::Closed,
                };
                let counter = if matches!(end, End::Answer(_)) {
                    answered
                } else {
                    closed
                };
                counter.fetch_add(1, Ordering::SeqCst);
            });
        }
    });
    record.say(&format!(
        "bad clients: {answered:?} answered, {closed:?} closed"
    ));
}
