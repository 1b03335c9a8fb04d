//! Bad clients send without pause, and the other clients of their router wait.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::Calls;
use crate::record::Record;
use crate::router::Options;
use crate::site::{judge_lost, Setting, Site};

/// How long usual requests are sent: the calm, the trouble and a second after it.
const LOAD: Duration = Duration::from_secs(13);
const CALM: Duration = Duration::from_secs(2);
const TROUBLE: Duration = Duration::from_secs(10);
const PAUSE: Duration = Duration::from_millis(100);
/// Patience of usual clients, as in the example of the protocol page: 83% of the class's give-up time.
const MAX_WAIT_MS: u64 = 1500;
/// Requests that a bad client sends at once.
const AT_ONCE: usize = 300;

/// The number of bad clients, all at one router.
const BAD_CLIENTS: usize = 8;

/// What the bad clients send.
#[derive(Clone, Copy)]
pub enum Bad {
    /// Hundreds of requests at once for a class that does not exist, each again as soon as it is turned away.
    Requests,
    /// A message that never ends: empty lines.
    Message,
}

pub fn run(setting: &Setting, bad: Bad) -> Result<bool, String> {
    let options = Options {
        index: 0,
        routers: 3,
        memory_mb: 192,
        sockets: 1024,
        deadlines: [1800, 3000, 3000],
        aims: [600, 900, 1200],
    };
    let mut site = Site::start(setting, options, 6)?;
    let record = &setting.record;
    let calls = Calls::default();
    let stop = Arc::new(AtomicBool::new(false));
    let target = site.routers[0].addr;
    let trouble = setting.trouble.then(|| {
        let (record, stop) = (record.clone(), stop.clone());
        thread::spawn(move || {
            thread::sleep(CALM);
            record.say(&format!("{BAD_CLIENTS} bad clients connect to router 1"));
            let started = Instant::now();
            let result = match bad {
                Bad::Requests => send_requests(target, &stop, &record),
                Bad::Message => send_messages(target, &stop, &record),
            };
            let elapsed = started.elapsed();
            record.say(&format!(
                "the bad clients end after {elapsed:.1?}: {result:?}"
            ));
        })
    });
    let stopper = stop.clone();
    thread::spawn(move || {
        thread::sleep(CALM + TROUBLE);
        stopper.store(true, Ordering::SeqCst);
    });
    let count = LOAD.as_millis() / PAUSE.as_millis();
    site.usual_load(&calls, record, "lookup", MAX_WAIT_MS, PAUSE, count as usize);
    if let Some(trouble) = trouble {
        let _ = trouble.join();
    }
    calls.wait();
    let ended = site.ended_routers();
    ended.iter().for_each(|line| record.say(line));
    let outcomes = calls.outcomes.lock().unwrap().clone();
    Ok(judge_lost(record, &outcomes) && ended.is_empty())
}

/// Bad clients that each send hundreds of requests at once, and each request again as soon as it is turned away. They
/// read all answers.
fn send_requests(addr: SocketAddr, stop: &AtomicBool, record: &Record) -> std::io::Result<()> {
    thread::scope(|scope| {
        let clients: Vec<_> = (0..BAD_CLIENTS)
            .map(|_| scope.spawn(|| repeat_requests(addr, stop, record)))
            .collect();
        for client in clients {
            if let Ok(result) = client.join() {
                result?;
            }
        }
        Ok(())
    })
}

fn repeat_requests(addr: SocketAddr, stop: &AtomicBool, record: &Record) -> std::io::Result<()> {
    let request = b"POST /call/no-such-class HTTP/1.1\r\nHost: service.internal\r\nTrace-Id: 9b1f03aa5c7e2d41\r\nMax-Wait-Ms: 1500\r\nProject: brindley-homes\r\nContent-Length: 8\r\n\r\nSELECT 1";
    let all = request.repeat(AT_ONCE);
    let mut stream = TcpStream::connect(addr)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(500)))?;
    // Each request gets the same answer, so that the answers can be counted by their length.
    stream.write_all(request)?;
    let mut buffer = vec![0; 256 << 10];
    let length = loop {
        match stream.read(&mut buffer) {
            Ok(count) if buffer[..count].starts_with(b"HTTP/1.1 404") => break count,
            Err(error) if is_timeout(&error) && !stop.load(Ordering::SeqCst) => {}
            Ok(_) | Err(_) => return Err(std::io::ErrorKind::InvalidData.into()),
        }
    };
    stream.write_all(&all)?;
    let (mut sent, mut turned_away, mut received) = (AT_ONCE, 0, 0);
    while !stop.load(Ordering::SeqCst) {
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => received += count,
            Err(error) if is_timeout(&error) => continue,
            Err(error) => return Err(error),
        }
        let again = received / length - turned_away;
        turned_away += again;
        if again > 0 {
            stream.write_all(&all[..again * request.len()])?;
            sent += again;
        }
    }
    record.note(&format!(
        "a bad client sent {sent} requests on one connection, at most {AT_ONCE} at once, and was turned away {turned_away} times"
    ));
    Ok(())
}

/// Several bad clients each send a message without an end, and again on a new connection when theirs is closed. Each
/// reads whatever it is sent.
fn send_messages(addr: SocketAddr, stop: &AtomicBool, record: &Record) -> std::io::Result<()> {
    let lines = b"\r\n".repeat(512 << 10);
    thread::scope(|scope| {
        let clients: Vec<_> = (0..BAD_CLIENTS)
            .map(|_| scope.spawn(|| send_message(addr, &lines, stop, record)))
            .collect();
        for client in clients {
            if let Ok(result) = client.join() {
                result?;
            }
        }
        Ok(())
    })
}

fn send_message(
    addr: SocketAddr,
    lines: &[u8],
    stop: &AtomicBool,
    record: &Record,
) -> std::io::Result<()> {
    while !stop.load(Ordering::SeqCst) {
        let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(5))?;
        stream.set_write_timeout(Some(Duration::from_millis(500)))?;
        let mut reader = stream.try_clone()?;
        let started = Instant::now();
        let (mut sent, mut closed) = (0, false);
        let answer = thread::spawn(move || {
            let mut answer = Vec::new();
            let _ = reader.read_to_end(&mut answer);
            (answer.len(), started.elapsed())
        });
        while !stop.load(Ordering::SeqCst) && !closed {
            match stream.write(lines) {
                Ok(count) => sent += count,
                Err(error) => closed = !is_timeout(&error),
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
        let (answered, after) = answer.join().unwrap_or_default();
        record.note(&format!(
            "a bad client sent {sent} bytes of one message, was sent {answered} bytes, and its connection ended after {after:.1?}"
        ));
    }
    Ok(())
}

fn is_timeout(error: &std::io::Error) -> bool {
    matches!(
        error.kind(),
        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
    )
}
