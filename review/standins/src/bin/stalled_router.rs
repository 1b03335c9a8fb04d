//! Case: a router stalls for 2 s. A request that was written to it during the stall must still get its final answer
//! before its client's time is up, counted from its last byte.

use std::sync::{Arc, Mutex};

use hoptiller_review_standins::*;

const STALL_MS: u64 = 2_000;
const STALL_AT: u64 = 8_000;
const END_AT: u64 = 12_000;
const SLACK_MS: u64 = 500 + 50;
/// How long a heavy report runs: longer than its client waits.
const HEAVY_MS: u64 = 30_000;
const USUAL_MS: u64 = 400;

fn main() {
    let case = Case::start();
    let record = case.record.clone();
    let arrivals = Arrivals::default();
    let coordinator = Coordinator::start(&record, 0);
    // The work of reports is widely spread: one in sixteen runs longer than its client waits.
    let is_heavy = |id: &str| id.bytes().last().is_some_and(|digit| digit == b'3');
    let mut behaviour = EngineBehaviour::running(0);
    behaviour.run_ms = Arc::new(move |_, id| if is_heavy(id) { HEAVY_MS } else { USUAL_MS });
    let engines: Vec<Listed> = (0..6)
        .map(|number| {
            let id = 0x00c4_1f70 + number;
            let addr = start_engine(&record, id, behaviour.clone(), &arrivals);
            Listed {
                id,
                addr,
                zone: (number % 3) as u8,
                kind: u8::from(number >= 4),
                cell: 2,
            }
        })
        .collect();
    let router = RouterConfig {
        name: "n0".to_owned(),
        listen: free_address(),
        coordinator: coordinator.addr,
        sockets: 1024,
        memory_mb: 192,
        engines,
        zones: DERBY_ZONES.to_vec(),
        kinds: DERBY_KINDS.to_vec(),
        settings: derby_settings(3, 0),
    };
    let pid = case.start_router(&router);
    let results: Collected<(Call, u64, Ending, u64)> = Arc::new(Mutex::new(Vec::new()));
    let sender = {
        let (record, results, listen) = (record.clone(), results.clone(), router.listen);
        std::thread::spawn(move || {
            let (mut numbers, mut number, mut clients) = (Numbers::new(47), 0, Vec::new());
            while record.now() < END_AT {
                number += 1;
                let request = Call::new(
                    number,
                    "report",
                    "brindley-homes",
                    20_000 + numbers.below(5_001),
                );
                let (record, results) = (record.clone(), results.clone());
                clients.push(std::thread::spawn(move || {
                    let listen_ms = request.max_wait_ms + SLACK_MS;
                    let (sent, ending, after) = call(&record, listen, &request, 3_000, listen_ms);
                    results
                        .lock()
                        .expect("not poisoned")
                        .push((request, sent, ending, after));
                }));
                pause(50);
            }
            for client in clients {
                let _ = client.join();
            }
        })
    };
    record.sleep_until(STALL_AT);
    let stalled_at = record.now();
    if case.trouble {
        case.signal(pid, "STOP");
    }
    pause(STALL_MS);
    if case.trouble {
        case.signal(pid, "CONT");
    }
    let resumed_at = record.now();
    let _ = sender.join();
    if let Some(exit) = case.router_exit(pid) {
        case.finish(1, &format!("crash: {exit}"));
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
    // A request whose time ended while the router was stalled could not be answered: it is not judged.
    let lost: Vec<String> = taken
        .iter()
        .filter(|(request, sent, ending, _)| {
            ending.is_lost()
                && *sent >= stalled_at
                && sent + request.max_wait_ms >= resumed_at + 1_000
        })
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
