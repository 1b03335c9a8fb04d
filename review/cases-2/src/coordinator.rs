//! A stand-in for the coordinator: it tells each router the events after the last one that the router has, and sends
//! an empty frame each second.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The states of an engine on the list.
pub const READY: u8 = 0;
pub const DRAINING: u8 = 1;
pub const GONE: u8 = 2;

/// An engine's entry in an event.
#[derive(Clone, Debug)]
pub struct Entry {
    pub id: u32,
    pub addr: SocketAddr,
    pub state: u8,
    pub zone: u8,
    pub kind: u8,
    pub started_ms: u64,
}

/// The events that all coordinators of a test tell. The first event, number 1, is in the configuration.
#[derive(Default)]
pub struct Events(Mutex<Vec<Vec<u8>>>);

impl Events {
    /// Adds an event with these changes, and returns its number.
    pub fn tell(&self, changes: &[Entry]) -> u64 {
        let mut events = self.0.lock().unwrap();
        let number = events.len() as u64 + 2;
        let records: Vec<u8> = changes.iter().flat_map(record).collect();
        events.push(frame(number, 2, &records));
        number
    }

    fn after(&self, number: u64) -> Vec<Vec<u8>> {
        let events = self.0.lock().unwrap();
        let first = (number.max(1) - 1) as usize;
        events.get(first..).map(<[_]>::to_vec).unwrap_or_default()
    }

    pub fn last(&self) -> u64 {
        self.0.lock().unwrap().len() as u64 + 1
    }
}

fn frame(number: u64, kind: u8, payload: &[u8]) -> Vec<u8> {
    let length = 9 + payload.len() as u32;
    let mut frame = length.to_be_bytes().to_vec();
    frame.extend(number.to_be_bytes());
    frame.push(kind);
    frame.extend(payload);
    frame
}

fn record(entry: &Entry) -> Vec<u8> {
    let mut record = entry.id.to_be_bytes().to_vec();
    let ip = match entry.addr {
        SocketAddr::V4(addr) => *addr.ip(),
        SocketAddr::V6(_) => Ipv4Addr::LOCALHOST,
    };
    record.extend(ip.octets());
    record.extend(entry.addr.port().to_be_bytes());
    record.extend([entry.state, entry.zone, entry.kind]);
    record.extend(1u16.to_be_bytes());
    record.extend(1000u32.to_be_bytes());
    record.extend(entry.started_ms.to_be_bytes());
    record
}

/// Starts a coordinator that tells these events.
pub fn start(events: Arc<Events>) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let events = events.clone();
            thread::spawn(move || tell(&events, stream));
        }
    });
    Ok(addr)
}

fn tell(events: &Events, mut stream: TcpStream) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut last = [0; 8];
    stream.read_exact(&mut last).ok()?;
    let mut last = u64::from_be_bytes(last);
    let mut next_empty = Instant::now();
    loop {
        for event in events.after(last) {
            stream.write_all(&event).ok()?;
            last += 1;
        }
        if Instant::now() >= next_empty {
            stream.write_all(&frame(last, 0, &[])).ok()?;
            next_empty += Duration::from_secs(1);
        }
        thread::sleep(Duration::from_millis(10));
    }
}
