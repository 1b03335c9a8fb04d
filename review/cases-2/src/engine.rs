//! A stand-in for an SQL engine on the platform's protocol: it answers each request after its work, and each probe at
//! once.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::json::Json;
use crate::record::Record;

/// Work of each request.
const WORK_MS: u64 = 20;
const ROWS: &str = "a\tb\tc\nd\te\tf\n";

/// Starts an engine and returns its address.
pub fn start(number: usize, record: Record) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let record = record.clone();
            thread::spawn(move || serve(number, stream, &record));
        }
    });
    Ok(addr)
}

fn serve(number: usize, stream: TcpStream, record: &Record) {
    let Ok(writer) = stream.try_clone() else {
        return;
    };
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
            record.say(&format!(
                "engine {} cannot read: {}",
                number,
                line.trim_end()
            ));
            break;
        };
        let id = command.text("i").unwrap_or_default();
        match command.text("t").as_deref() {
            Some("REQ") => run(number, &command, id, &writer, &closed, record),
            Some("HELO" | "STAT") => {
                let answer =
                    format!("{{\"t\":\"green\",\"i\":\"{id}\",\"f\":{{\"load\":\"util:0.2\"}}}}\n");
                send(&writer, &answer);
            }
            _ => {}
        }
    }
    closed.store(true, Ordering::SeqCst);
}

fn run(
    number: usize,
    command: &Json,
    id: String,
    writer: &Arc<Mutex<TcpStream>>,
    closed: &Arc<AtomicBool>,
    record: &Record,
) {
    let fields = command.get("f");
    let class = fields
        .and_then(|fields| fields.text("c"))
        .unwrap_or_default();
    record.note(&format!("engine {number} runs id={id} class={class}"));
    let (writer, closed) = (writer.clone(), closed.clone());
    thread::spawn(move || {
        thread::sleep(Duration::from_millis(WORK_MS));
        if closed.load(Ordering::SeqCst) {
            return;
        }
        let body = base64(ROWS.as_bytes());
        let answer = format!(
            "{{\"t\":\"served\",\"i\":\"{id}\",\"f\":{{\"fetches\":\"1\",\"effort\":{WORK_MS},\"high\":8}},\"b\":\"{body}\"}}\n"
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
