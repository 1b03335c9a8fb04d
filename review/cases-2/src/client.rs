//! Usual clients: one request on a connection, of which the last byte's time is known.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::record::{now_ms, Record};

/// How long a client listens for an answer after its time has run out. It only observes: a sound client is gone by then.
const LISTENS_LONGER: Duration = Duration::from_secs(12);

/// How a request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// A whole answer, with its status.
    Answer(u16),
    /// The connection ended without a whole answer.
    Closed,
    /// No answer while the client listened.
    Nothing,
    /// No connection was established, so nothing was taken.
    NotTaken,
}

/// A request and its end.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub id: String,
    pub router: usize,
    pub max_wait_ms: u64,
    /// When the last byte was written.
    pub sent_ms: f64,
    /// From the last byte to the end.
    pub took_ms: f64,
    pub end: End,
}

static LAST_ID: AtomicU64 = AtomicU64::new(0);

/// Returns a new request id, 16 hex digits.
pub fn new_id() -> String {
    let number = LAST_ID.fetch_add(1, Ordering::SeqCst);
    let mut bits = number ^ (now_ms() as u64) << 20;
    bits = (bits ^ bits >> 31).wrapping_mul(0x7fb5_d329_728e_a185);
    bits = (bits ^ bits >> 27).wrapping_mul(0x81da_def4_bc2d_d44d);
    format!("{:016x}", bits ^ bits >> 33)
}

pub fn request(id: &str, class: &str, max_wait_ms: u64, statement: &str) -> Vec<u8> {
    format!(
        "POST /call/{class} HTTP/1.1\r\nHost: service.internal\r\nTrace-Id: {id}\r\nMax-Wait-Ms: {max_wait_ms}\r\nProject: brindley-homes\r\nContent-Length: {}\r\n\r\n{statement}",
        statement.len()
    )
    .into_bytes()
}

/// Sends one request on a new connection and waits for its end.
pub fn call(
    addr: SocketAddr,
    router: usize,
    class: &'static str,
    max_wait_ms: u64,
    statement: &str,
) -> Outcome {
    let id = new_id();
    let bytes = request(&id, class, max_wait_ms, statement);
    let outcome = |sent_ms: f64, end| Outcome {
        id: id.clone(),
        router,
        max_wait_ms,
        sent_ms,
        took_ms: now_ms() - sent_ms,
        end,
    };
    let wait = Duration::from_millis(max_wait_ms);
    let Ok(mut stream) = TcpStream::connect_timeout(&addr, wait) else {
        return outcome(now_ms(), End::NotTaken);
    };
    let _ = stream.set_nodelay(true);
    if stream.write_all(&bytes).is_err() {
        return outcome(now_ms(), End::NotTaken);
    }
    let sent_ms = now_ms();
    let end = read_answer(&mut stream, Instant::now() + wait + LISTENS_LONGER);
    outcome(sent_ms, end)
}

/// Reads a whole answer of HTTP/1.1 with a length.
pub fn read_answer(stream: &mut TcpStream, until: Instant) -> End {
    let mut bytes = Vec::new();
    let mut buffer = [0; 16 << 10];
    loop {
        if let Some(status) = whole_answer(&bytes) {
            return End::Answer(status);
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() || stream.set_read_timeout(Some(left)).is_err() {
            return End::Nothing;
        }
        match stream.read(&mut buffer) {
            Ok(0) => return End::Closed,
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
            Err(error) => {
                let kind = error.kind();
                if kind == std::io::ErrorKind::WouldBlock || kind == std::io::ErrorKind::TimedOut {
                    return End::Nothing;
                }
                if kind != std::io::ErrorKind::Interrupted {
                    return End::Closed;
                }
            }
        }
    }
}

fn whole_answer(bytes: &[u8]) -> Option<u16> {
    let head = bytes.windows(4).position(|four| four == b"\r\n\r\n")?;
    let text = std::str::from_utf8(&bytes[..head]).ok()?;
    let status = text.split(' ').nth(1)?.parse().ok()?;
    let length: usize = text.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length")
            .then(|| value.trim().parse().ok())?
    })?;
    (bytes.len() >= head + 4 + length).then_some(status)
}

/// The requests of a test.
#[derive(Clone, Default)]
pub struct Calls {
    pub outcomes: Arc<Mutex<Vec<Outcome>>>,
    threads: Arc<Mutex<Vec<thread::JoinHandle<()>>>>,
}

impl Calls {
    /// Starts a request in a thread of its own.
    pub fn start(
        &self,
        addr: SocketAddr,
        router: usize,
        class: &'static str,
        max_wait_ms: u64,
        record: &Record,
    ) {
        let (outcomes, record) = (self.outcomes.clone(), record.clone());
        let thread = thread::spawn(move || {
            let statement = "SELECT day, note FROM sales_17.orders WHERE tag = '3f9c'";
            let outcome = call(addr, router, class, max_wait_ms, statement);
            record.note(&format!(
                "client id={} router={} class={} max_wait_ms={} sent_ms={:.1} took_ms={:.1} end={:?}",
                outcome.id,
                router + 1,
                class,
                max_wait_ms,
                outcome.sent_ms,
                outcome.took_ms,
                outcome.end
            ));
            outcomes.lock().unwrap().push(outcome);
        });
        self.threads.lock().unwrap().push(thread);
    }

    /// Waits for all requests that were started.
    pub fn wait(&self) {
        loop {
            let threads = std::mem::take(&mut *self.threads.lock().unwrap());
            if threads.is_empty() {
                return;
            }
            for thread in threads {
                let _ = thread.join();
            }
        }
    }
}
