//! Case: bad clients that send endless messages. Usual clients, each on a new connection, must get an answer in time.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hoptiller_review_standins::*;

/// How many bad clients there are. They come at once, each on one connection, and not again.
const BAD: usize = 240;
const BAD_AT: u64 = 5_000;
/// The latest time at which a bad client ends its message by itself.
const BAD_END: u64 = 40_000;
const END_AT: u64 = 30_000;
/// A final answer later than this after the client's time is lost.
const SLACK_MS: u64 = 500 + 50;

/// Sends a message that never ends, and reads whatever it is sent. Returns when the router has closed the connection.
fn endless_client(record: &Record, router: SocketAddr, number: usize) {
    let Ok(mut stream) = TcpStream::connect_timeout(&router, Duration::from_secs(20)) else {
        return;
    };
    let began = record.now();
    let _ = stream.set_nodelay(true);
    let Ok(mut reader) = stream.try_clone() else {
        return;
    };
    std::thread::spawn(move || {
        let mut buffer = [0; 4096];
        while matches!(reader.read(&mut buffer), Ok(count) if count > 0) {}
    });
    let mut sent = 0;
    let mut part: Vec<u8> =
        b"POST /call/room-lookup HTTP/1.1\r\nHost: service.internal\r\nX-Note: ".to_vec();
    part.resize(16 << 10, b'a');
    while record.now() < BAD_END && stream.write_all(&part).is_ok() {
        sent += part.len();
        part = vec![b'a'; 16 << 10];
        pause(50);
    }
    let after = record.now() - began;
    record.line(&format!("bad client {number}: connected at {began}, sent {sent} bytes, closed by the router after {after} ms"));
}

fn main() {
    let case = Case::start();
    let record = case.record.clone();
    let arrivals = Arrivals::default();
    let coordinator = Coordinator::start(&record, 0);
    let engines: Vec<Listed> = (0..6)
        .map(|number| {
            let id = 0x00c4_1f70 + number;
            let addr = start_engine(&record, id, EngineBehaviour::running(100), &arrivals);
            Listed {
                id,
                addr,
                zone: 0,
                kind: 0,
                cell: 2,
            }
        })
        .collect();
    let router = RouterConfig {
        name: "n0".to_owned(),
        listen: free_address(),
        coordinator: coordinator.addr,
        sockets: 256,
        memory_mb: 64,
        engines,
        zones: vec!["basford-dc"],
        kinds: vec!["std-8core"],
        settings: nottingham_settings(3, 0),
    };
    let pid = case.start_router(&router);
    let results: Collected<(Call, u64, Ending, u64)> = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    let mut numbers = Numbers::new(47);
    let mut number = 0;
    while record.now() < END_AT {
        if case.trouble && number > 0 && clients.len() == (BAD_AT / 100) as usize {
            record.line(&format!("{BAD} bad clients begin"));
            for bad in 0..BAD {
                let (record, listen) = (record.clone(), router.listen);
                std::thread::spawn(move || endless_client(&record, listen, bad));
            }
            pause(100);
        }
        number += 1;
        // A try is given up after 80 to 100% of the class's time.
        let request = Call::new(number, "room-lookup", "", 4_000 + numbers.below(1_001));
        let (record, results, listen) = (record.clone(), results.clone(), router.listen);
        clients.push(std::thread::spawn(move || {
            let listen_ms = request.max_wait_ms + SLACK_MS;
            let (sent, ending, after) = call(&record, listen, &request, 1_000, listen_ms);
            results
                .lock()
                .expect("not poisoned")
                .push((request, sent, ending, after));
        }));
        pause(100);
    }
    for client in clients {
        let _ = client.join();
    }
    if let Some(exit) = case.router_exit(pid) {
        case.finish(1, &format!("crash: the router ended: {exit}"));
    }
    let results = results.lock().expect("not poisoned");
    let taken: Vec<_> = results
        .iter()
        .filter(|(_, _, ending, _)| !matches!(ending, Ending::NotTaken(_)))
        .collect();
    let served = taken
        .iter()
        .filter(|(_, _, ending, _)| *ending == Ending::Served)
        .count();
    record.line(&format!(
        "{} requests, {} taken, {served} served",
        results.len(),
        taken.len()
    ));
    let lost: Vec<String> = taken
        .iter()
        .filter(|(_, _, ending, _)| ending.is_lost())
        .map(|(request, sent, ending, after)| {
            format!(
                "{} sent at {sent}, Max-Wait-Ms {}: {ending:?} after {after} ms",
                request.id, request.max_wait_ms
            )
        })
        .collect();
    if served == 0 {
        case.cannot_run("no request was served");
    }
    if lost.is_empty() {
        case.finish(
            0,
            "every request that was taken got its final answer in time",
        );
    }
    case.finish(
        1,
        &format!(
            "lost: {} of {} requests: {}",
            lost.len(),
            taken.len(),
            first_of(&lost, 3)
        ),
    );
}
