//! Slow start of an engine under the sum of what twenty and thirty routers send, each with its own view: of when the engine started, of
//! how many routers there are, of what it sent before it was restarted; and with connections that come up late, so that
//! attempts of some time begin at once. Calls are counted when they begin.

mod common;
use common::*;
use hoptiller_policy::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

const TICK: Micros = 10 * MS;
const START: Micros = 20 * S;
const RAMP: Micros = 10 * S;
/// A connection is up within that, or not at all.
const LATE: Micros = 250 * MS;
/// Mean work of a call, in µs.
const WORK: f64 = 250_000.0;

/// A number from 0 up to, and without, 1.
fn part(rng: &mut Pcg64Mcg) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

struct Router {
    c: Controller,
    /// When it learns of the engine, and what it believes of its start.
    told_at: Micros,
    start: Micros,
    restart_at: Option<Micros>,
    events: Vec<Event>,
    next: u64,
    /// Attempts that are out: when each ends, its request and attempt, and what it then tells.
    in_flight: Vec<(Micros, Event)>,
}

fn router_controller(gateways: u32, index: u32, seed: u64) -> Controller {
    let mut cfg = Settings {
        gateways,
        index,
        reports_work: true,
        ..settings(vec![class(Idempotency::Idempotent)])
    };
    cfg.rules.slow_start_window = RAMP;
    Controller::new(cfg, seed).expect("usable settings")
}

/// The times at which calls begin at the engine in its ramp.
fn ramp(routers: u32, seed: u64) -> Vec<Micros> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut all: Vec<Router> = (0..routers)
        .map(|index| {
            // Each believes in a tenth more or fewer routers than there are.
            let believed = (f64::from(routers) * (0.9 + 0.2 * part(&mut rng))).round() as u32;
            Router {
                c: router_controller(believed, index, seed ^ u64::from(index)),
                told_at: START + (2e6 * part(&mut rng)) as Micros,
                start: START + (2e5 * part(&mut rng)) as Micros - 100 * MS,
                // Seven in ten are killed at once, in the ramp.
                restart_at: (part(&mut rng) < 0.7).then_some(START + 3 * S),
                events: Vec::new(),
                next: 0,
                in_flight: Vec::new(),
            }
        })
        .collect();
    let mut begun = Vec::new();
    for tick in 0..(RAMP / TICK) {
        let now = START + tick * TICK;
        // What runs at once shares 4 cores.
        let crowd = all.iter().map(|r| r.in_flight.len()).sum::<usize>() as f64;
        for (index, r) in all.iter_mut().enumerate() {
            if r.restart_at.is_some_and(|at| at <= now) {
                r.restart_at = None;
                r.c = router_controller(routers, index as u32, rng.next_u64());
                (r.in_flight, r.events, r.told_at) = (Vec::new(), Vec::new(), now);
            }
            if (r.told_at..r.told_at + TICK).contains(&now) {
                r.events.push(Event::EndpointList(
                    ListScope::All,
                    vec![EndpointEntry {
                        ready_at: r.start,
                        ..entry(1, 0)
                    }],
                ));
            }
            // More than the engine could bear comes at each, all the time.
            if tick % 10 == 0 {
                r.next += 1;
                r.events.push(arrival(r.next, 0, now + 4 * S));
            }
            r.in_flight.retain(|(at, event)| {
                let over = *at <= now;
                r.events.extend(over.then(|| event.clone()));
                !over
            });
            let sent = sends(&step(&mut r.c, now, &std::mem::take(&mut r.events)));
            for (id, engine) in sent {
                // A third of all begin late, all of some time at the same moment.
                let late = part(&mut rng) < 1.0 / 3.0;
                let at = if late { now / LATE * LATE + LATE } else { now };
                begun.push(at);
                let work = (-(1.0 - part(&mut rng)).ln() * WORK) as Micros;
                let served = outcome(id, 0, engine, AttemptStatus::Succeeded);
                let elapsed = (work as f64 * (crowd / 4.0).max(1.0)) as Micros;
                let done = outcome_with(served, |o| (o.elapsed, o.work) = (elapsed, Some(work)));
                r.in_flight.push((at + elapsed, done));
            }
        }
    }
    begun
}

/// Calls of mean work that the settings allow from that time on, for as long as a fall takes: 3 times what 4 cores can do
/// in it, which is 0.3 of their capacity at the start and all of it at the ramp's end.
fn allowed(from: Micros) -> f64 {
    let warm = ((from + S / 2 - START) as f64 / RAMP as f64).min(1.0);
    3.0 * (0.3 + 0.7 * warm) * 4.0 * S as f64 / WORK
}

#[test]
fn twenty_and_thirty_routers_together_keep_the_slow_start_budget() {
    for routers in [20, 30] {
        let mut total = 0;
        for seed in 1..=12 {
            let begun = ramp(routers, seed);
            for from in &begun {
                let n = allowed(*from);
                let calls = begun
                    .iter()
                    .filter(|at| (*from..*from + S).contains(at))
                    .count() as f64;
                let after = (*from - START) / MS;
                assert!(
                    calls <= n + 2.0 * n.sqrt() + 2.0,
                    "{routers} routers, seed {seed}, {after} ms after its start: {calls} calls, {n} allowed"
                );
            }
            total += begun.len();
        }
        assert!(
            total > 12 * 10,
            "{routers} routers leave it idle: {total} calls in 12 ramps"
        );
    }
}
