//! Case: discovery that is slow. Each call to the coordinator is answered 2.5 s after it came; then events are told at
//! once and an empty frame follows each second. An engine of kind std-8a begins to drain; 12 s later it has gone, and a
//! new engine of kind std-8b has its address. Do routers go on sending to it, also what may run on std-8a only?

use std::sync::{Arc, Mutex};

use hoptiller_review_standins::*;

/// How long the coordinator takes to begin its answer to a call.
const ANSWER_MS: u64 = 2_500;
const DRAIN_AT: u64 = 10_000;
const GONE_AT: u64 = 22_000;
const END_AT: u64 = 40_000;
/// `rules.drainGrace`, and the 50 ms by which each limit is longer on sockets.
const GRACE_MS: u64 = 1_000 + 50;
/// Whatever a silent coordinator would have told counts as told this long after.
const TOLD_MS: u64 = 4_000;
const ROUTERS: usize = 3;
const FIRST_ID: u32 = 0x00c4_1f70;
const NEW_ID: u32 = 0x00c4_1f80;

fn main() {
    let case = Case::start();
    let record = case.record.clone();
    let arrivals = Arrivals::default();
    let coordinator = Coordinator::start(&record, if case.trouble { ANSWER_MS } else { 0 });
    let behaviour = EngineBehaviour {
        run_ms: Arc::new(|class, _| if class == "report" { 600 } else { 120 }),
        ..EngineBehaviour::running(0)
    };
    let machines: Vec<Machine> = (0..6)
        .map(|number| start_machine(&record, FIRST_ID + number, behaviour.clone(), &arrivals))
        .collect();
    let listed = |(number, machine): (usize, &Machine)| Listed {
        id: FIRST_ID + number as u32,
        addr: machine.addr,
        zone: (number % 3) as u8,
        kind: u8::from(number >= 4),
        cell: 2,
    };
    let engines: Vec<Listed> = machines.iter().enumerate().map(listed).collect();
    let routers: Vec<RouterConfig> = (0..ROUTERS)
        .map(|index| RouterConfig {
            name: format!("n{index}"),
            listen: free_address(),
            coordinator: coordinator.addr,
            sockets: 1024,
            memory_mb: 192,
            engines: engines.clone(),
            zones: DERBY_ZONES.to_vec(),
            kinds: DERBY_KINDS.to_vec(),
            settings: derby_settings(ROUTERS as u32, index as u32),
        })
        .collect();
    for router in &routers {
        case.start_router(router);
    }
    let answers: Collected<Ending> = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    for (index, router) in routers.iter().enumerate() {
        let (record, answers, listen) = (record.clone(), answers.clone(), router.listen);
        clients.push(std::thread::spawn(move || {
            let mut number = index as u64 * 1_000_000;
            while record.now() < END_AT {
                number += 1;
                let (record, answers) = (record.clone(), answers.clone());
                let request = match number % 10 {
                    0 => Call::new(number, "report", "brindley-homes", 24_000),
                    _ => Call::new(number, "lookup", "brindley-homes", 7_000),
                };
                std::thread::spawn(move || {
                    let listen_ms = request.max_wait_ms + 550;
                    let (_, ending, _) = call(&record, listen, &request, 1_000, listen_ms);
                    answers.lock().expect("not poisoned").push(ending);
                });
                pause(50);
            }
        }));
    }
    record.sleep_until(DRAIN_AT);
    let drained = engines[0];
    let drained_at = coordinator.change(&drained, DRAINING);
    record.sleep_until(GONE_AT);
    let successor = Listed {
        id: NEW_ID,
        kind: 1,
        ..drained
    };
    coordinator.change(&drained, GONE);
    machines[0].replace(&record, NEW_ID);
    let replaced_at = coordinator.change(&successor, READY);
    for client in clients {
        let _ = client.join();
    }
    pause(2_000);
    let arrivals = arrivals.lock().expect("not poisoned").clone();
    // The excuse for a coordinator that says nothing is granted in both runs.
    let (drain_limit, placement_limit) = (
        drained_at + TOLD_MS + GRACE_MS,
        replaced_at + TOLD_MS + GRACE_MS,
    );
    let text = |arrived: &Arrived| format!("{} at {} ms", arrived.id, arrived.at);
    let late: Vec<String> = arrivals
        .iter()
        .filter(|arrived| arrived.engine == drained.id && arrived.at > drain_limit)
        .map(text)
        .collect();
    let misplaced: Vec<String> = arrivals
        .iter()
        .filter(|arrived| {
            arrived.engine == NEW_ID && arrived.class == "report" && arrived.at > placement_limit
        })
        .map(text)
        .collect();
    let answers = answers.lock().expect("not poisoned");
    let served = answers
        .iter()
        .filter(|ending| **ending == Ending::Served)
        .count();
    record.line(&format!(
        "{} requests answered, {served} served, {} came to engines",
        answers.len(),
        arrivals.len()
    ));
    if served * 2 < answers.len() || answers.is_empty() {
        case.cannot_run("fewer than half of the requests were served");
    }
    if late.is_empty() && misplaced.is_empty() {
        case.finish(0, "nothing was sent to the draining engine after its grace, and no report to the engine of kind std-8b");
    }
    let verdict = format!(
        "drain: {} sends to the draining engine more than {GRACE_MS} ms after it counted as told at {} ms: {}. placement: {} reports sent to the \
         engine of kind std-8b that counted as told at {} ms: {}",
        late.len(),
        drained_at + TOLD_MS,
        first_of(&late, 2),
        misplaced.len(),
        replaced_at + TOLD_MS,
        first_of(&misplaced, 2)
    );
    case.finish(1, &verdict);
}
