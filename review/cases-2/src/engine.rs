//! A stand-in for an SQL engine on the platform's protocol: it answers each request after its work, and each probe at
//! once.

use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::json::Json;
use crate::record::{now_ms, Record};

/// A run of a request, as the engine saw it.
#[derive(Clone, Debug)]
pub struct Run {
    pub at_ms: f64,
    pub id: String,
    pub class: String,
    pub engine: usize,
}

/// What a test tells an engine, and what the engine has run.
pub struct EngineState {
    pub number: usize,
    /// Work of a request, in milliseconds.
    pub work_ms: AtomicU64,
    /// While true, requests are taken and not answered.
    pub hangs: AtomicBool,
    /// While true, each request is answered as one that never ran.
    pub is_full: AtomicBool,
    /// While true, an answer is replaced by a reset.
    pub resets: AtomicBool,
    pub runs: Mutex<Vec<Run>>,
    connections: Mutex<Vec<TcpStream>>,
    stopped: AtomicBool,
}

/// A running engine.
#[derive(Clone)]
pub struct Engine {
    pub addr: SocketAddr,
    pub state: Arc<EngineState>,
}

const ROWS: &str = "a\tb\tc\nd\te\tf\n";

impl Engine {
    pub fn start(number: usize, work_ms: u64, record: Record) -> std::io::Result<Engine> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let state = Arc::new(EngineState {
            number,
            work_ms: AtomicU64::new(work_ms),
            hangs: AtomicBool::new(false),
            is_full: AtomicBool::new(false),
            resets: AtomicBool::new(false),
            runs: Mutex::default(),
            connections: Mutex::default(),
            stopped: AtomicBool::new(false),
        });
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if shared.stopped.load(Ordering::SeqCst) {
                    return;
                }
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    let mut connections = shared.connections.lock().unwrap();
                    connections.retain(|known| known.peer_addr().is_ok());
                    connections.push(copy);
                }
                let (state, record) = (shared.clone(), record.clone());
                thread::spawn(move || serve(&state, stream, &record));
            }
        });
        Ok(Engine { addr, state })
    }

    /// Ends the engine: its connections are reset and no new one is accepted.
    pub fn stop(&self) {
        self.state.stopped.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.addr);
        for stream in self.state.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve(state: &Arc<EngineState>, stream: TcpStream, record: &Record) {
    let Ok(writer) = stream.try_clone() else { return };
    let writer = Arc::new(Mutex::new(writer));
    let closed = Arc::new(AtomicBool::new(false));
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    loop {
        line.clear();
        match reader.read_line(&mut line) {
            Ok(count) if count > 0 => {}
            _ => break,
        }
        let Some(command) = Json::parse(line.trim_end()) else {
            record.say(&format!("engine {} cannot read: {}", state.number, line.trim_end()));
            break;
        };
        let id = command.text("i").unwrap_or_default();
        match command.text("t").as_deref() {
            Some("REQ") => run(state, &command, id, &writer, &closed, record),
            Some("HELO" | "STAT") => {
                let answer =
                    format!("{{\"t\":\"green\",\"i\":\"{id}\",\"f\":{{\"load\":\"util:0.2\"}}}}\n");
                send(&writer, &answer);
            }
            Some("FETCH") => {
                let page = command.text("x").unwrap_or_default();
                let body = base64(ROWS.as_bytes());
                let answer = format!(
                    "{{\"t\":\"rows\",\"i\":\"{id}\",\"f\":{{\"fetch_no\":\"{page}\"}},\"b\":\"{body}\"}}\n"
                );
                send(&writer, &answer);
            }
            _ => {}
        }
    }
    closed.store(true, Ordering::SeqCst);
}

fn run(
    state: &Arc<EngineState>,
    command: &Json,
    id: String,
    writer: &Arc<Mutex<TcpStream>>,
    closed: &Arc<AtomicBool>,
    record: &Record,
) {
    let fields = command.get("f");
    let class = fields.and_then(|fields| fields.text("c")).unwrap_or_default();
    let at_ms = now_ms();
    let engine = state.number;
    if state.is_full.load(Ordering::SeqCst) {
        record.note(&format!("engine {engine} full id={id} class={class}"));
        send(writer, &format!("{{\"t\":\"overload\",\"i\":\"{id}\",\"f\":{{}}}}\n"));
        return;
    }
    record.note(&format!("engine {engine} runs id={id} class={class}"));
    let run = Run { at_ms, id: id.clone(), class, engine };
    state.runs.lock().unwrap().push(run);
    if state.hangs.load(Ordering::SeqCst) {
        return;
    }
    let work_ms = state.work_ms.load(Ordering::SeqCst);
    let (state, writer, closed) = (state.clone(), writer.clone(), closed.clone());
    thread::spawn(move || {
        thread::sleep(Duration::from_millis(work_ms));
        if closed.load(Ordering::SeqCst) || state.hangs.load(Ordering::SeqCst) {
            return;
        }
        if state.resets.load(Ordering::SeqCst) {
            let _ = writer.lock().unwrap().shutdown(Shutdown::Both);
            return;
        }
        let body = base64(ROWS.as_bytes());
        let answer = format!(
            "{{\"t\":\"served\",\"i\":\"{id}\",\"f\":{{\"fetches\":\"1\",\"effort\":{work_ms},\"high\":8}},\"b\":\"{body}\"}}\n"
        );
        send(&writer, &answer);
    });
}

fn send(writer: &Mutex<TcpStream>, text: &str) {
    let _ = writer.lock().unwrap().write_all(text.as_bytes());
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for digit in 0..4 {
            if digit <= chunk.len() {
                let index = bits >> (18 - 6 * digit) & 63;
                out.push(char::from(DIGITS[index as usize]));
            } else {
                out.push('=');
            }
        }
    }
    out
}
