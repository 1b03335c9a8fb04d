//! Bad clients send the same request again as soon as it is turned away, and the platform watches the memory of their
//! router.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{new_id, request, Calls};
use crate::router::Options;
use crate::site::{judge_lost, Setting, Site};

/// The least memory that the pages give a router.
const MEMORY_MB: u64 = 32;
const CALM: Duration = Duration::from_secs(2);
/// How long the bad clients go on, unless the router is killed before.
const TROUBLE: Duration = Duration::from_secs(104);
/// The number of bad clients, each with one request at a time on one connection.
const BAD_CLIENTS: usize = 100;
const THREADS: usize = 4;
/// The time that the bad clients' requests have left.
const LITTLE_TIME_MS: u64 = 20;
const USUAL_PAUSE: Duration = Duration::from_millis(200);
const USUAL_WAIT_MS: u64 = 1500;

#[derive(Default)]
struct Counts {
    sent: AtomicU64,
    turned_away: AtomicU64,
    other: AtomicU64,
}

pub fn run(setting: &Setting) -> Result<bool, String> {
    let options = Options {
        index: 0,
        routers: 3,
        memory_mb: MEMORY_MB,
        sockets: 1024,
        deadlines: [1800, 3000, 3000],
        aims: [600, 900, 1200],
    };
    let mut site = Site::start(setting, options, 6)?;
    let record = &setting.record;
    let counts = Arc::new(Counts::default());
    let stop = Arc::new(AtomicBool::new(false));
    let calls = Calls::default();
    let started = Instant::now();
    let target = site.routers[0].addr;
    let mut clients = Vec::new();
    let (mut next_note, mut most, mut killed) = (started, 0.0_f64, false);
    let mut number = 0;
    while started.elapsed() < CALM + TROUBLE && !killed {
        if setting.trouble && clients.is_empty() && started.elapsed() >= CALM {
            record.say(&format!("{BAD_CLIENTS} bad clients connect to router 1"));
            clients = (0..THREADS)
                .map(|_| start_clients(target, &counts, &stop))
                .collect();
        }
        let router = number % site.routers.len();
        number += 1;
        calls.start(
            site.routers[router].addr,
            router,
            "lookup",
            USUAL_WAIT_MS,
            record,
        );
        thread::sleep(USUAL_PAUSE);
        let memory = site.routers[0].memory_mb().unwrap_or(0.0);
        most = most.max(memory);
        if Instant::now() >= next_note {
            next_note += Duration::from_secs(5);
            let after = started.elapsed();
            record.say(&format!(
                "after {after:.0?}: router 1 uses {memory:.1} MB; {}",
                counts.text()
            ));
        }
        if memory > MEMORY_MB as f64 {
            // The platform's limit: a router over it is killed.
            site.routers[0].kill();
            killed = true;
            let after = started.elapsed();
            record.say(&format!(
                "the platform kills router 1 after {after:.1?}: it uses {memory:.1} MB of {MEMORY_MB} MB"
            ));
        }
    }
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    calls.wait();
    record.say(&format!(
        "at most {most:.1} MB of {MEMORY_MB} MB; {}",
        counts.text()
    ));
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

impl Counts {
    fn text(&self) -> String {
        let [sent, turned_away, other] =
            [&self.sent, &self.turned_away, &self.other].map(|count| count.load(Ordering::SeqCst));
        format!("{sent} requests of bad clients sent, {turned_away} turned away, {other} ended otherwise")
    }
}

/// Starts clients that each send the same request again as soon as it is turned away.
fn start_clients(
    addr: SocketAddr,
    counts: &Arc<Counts>,
    stop: &Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    let (counts, stop) = (counts.clone(), stop.clone());
    thread::spawn(move || {
        let mut clients: Vec<Option<BadClient>> =
            (0..BAD_CLIENTS / THREADS).map(|_| None).collect();
        while !stop.load(Ordering::SeqCst) {
            for client in &mut clients {
                let connected = client.take().or_else(|| BadClient::connect(addr));
                *client = connected.and_then(|mut client| client.send(&counts).then_some(client));
            }
            for client in &mut clients {
                *client = client
                    .take()
                    .and_then(|mut client| client.read(&counts).then_some(client));
            }
        }
    })
}

struct BadClient {
    stream: TcpStream,
    request: Vec<u8>,
}

impl BadClient {
    fn connect(addr: SocketAddr) -> Option<BadClient> {
        let stream = TcpStream::connect(addr).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
        let request = request(
            &new_id(),
            "lookup",
            LITTLE_TIME_MS,
            "SELECT a FROM sales_17.orders",
        );
        Some(BadClient { stream, request })
    }

    fn send(&mut self, counts: &Counts) -> bool {
        counts.sent.fetch_add(1, Ordering::SeqCst);
        self.stream.write_all(&self.request).is_ok()
    }

    /// Reads the answer. Returns whether the connection can be used again.
    fn read(&mut self, counts: &Counts) -> bool {
        let mut buffer = [0; 4 << 10];
        let count = self.stream.read(&mut buffer).unwrap_or(0);
        let is_refusal = buffer[..count].starts_with(b"HTTP/1.1 429");
        let counter = if is_refusal {
            &counts.turned_away
        } else {
            &counts.other
        };
        counter.fetch_add(1, Ordering::SeqCst);
        is_refusal
    }
}
