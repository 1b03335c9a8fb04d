//! Slow start with 20 and 30 gateways that share an engine. The gateways disagree about the start of the engine and
//! about their number, some restart and lose their record of recent sends, and some connections open late, so that many
//! attempts begin at the same time. Attempts are counted when they begin.

mod common;
use common::*;
use hoptiller_policy::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

const TICK: Micros = 10 * MS;
/// Start of the engine.
const ENGINE_START: Micros = 20 * S;
const SLOW_START_WINDOW: Micros = 10 * S;
/// Maximum time to open a connection.
const MAX_CONNECT_TIME: Micros = 250 * MS;
/// Mean work of an attempt.
const MEAN_WORK_MICROS: f64 = 250_000.0;

/// Returns a uniformly distributed number in [0, 1).
fn uniform(rng: &mut Pcg64Mcg) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

struct Gateway {
    controller: Controller,
    /// Time at which the gateway gets the endpoint list.
    list_at: Micros,
    /// Start of the engine according to that list.
    engine_start: Micros,
    restart_at: Option<Micros>,
    events: Vec<Event>,
    next_request: u64,
    /// End and outcome of each attempt in flight.
    in_flight: Vec<(Micros, Event)>,
}

fn gateway_controller(gateways: u32, index: u32, seed: u64) -> Controller {
    let mut settings = Settings {
        gateways,
        index,
        reports_work: true,
        ..default_settings(vec![class(Idempotency::Idempotent)])
    };
    settings.rules.slow_start_window = SLOW_START_WINDOW;
    Controller::new(settings, seed).expect("usable settings")
}

impl Gateway {
    fn new(gateways: u32, index: u32, seed: u64, rng: &mut Pcg64Mcg) -> Self {
        // The number of gateways is known with an error of up to 10 %.
        let assumed_gateways = (f64::from(gateways) * (0.9 + 0.2 * uniform(rng))).round() as u32;
        Gateway {
            controller: gateway_controller(assumed_gateways, index, seed ^ u64::from(index)),
            list_at: ENGINE_START + (2e6 * uniform(rng)) as Micros,
            engine_start: ENGINE_START + (2e5 * uniform(rng)) as Micros - 100 * MS,
            // 70 % of the gateways restart at the same time during the slow start.
            restart_at: (uniform(rng) < 0.7).then_some(ENGINE_START + 3 * S),
            events: Vec::new(),
            next_request: 0,
            in_flight: Vec::new(),
        }
    }

    /// Restarts the gateway, which forgets its attempts and gets the endpoint list immediately.
    fn restart(&mut self, gateways: u32, index: u32, seed: u64, now: Micros) {
        self.controller = gateway_controller(gateways, index, seed);
        self.restart_at = None;
        (self.in_flight, self.events, self.list_at) = (Vec::new(), Vec::new(), now);
    }

    /// Handles a batch with an arrival if `has_arrival`. Returns its sends.
    fn step(&mut self, has_arrival: bool, now: Micros) -> Vec<(u64, u32)> {
        if (self.list_at..self.list_at + TICK).contains(&now) {
            let engine = EndpointEntry {
                ready_at: self.engine_start,
                ..entry(1, 0)
            };
            self.events
                .push(Event::EndpointList(ListScope::All, vec![engine]));
        }
        if has_arrival {
            self.next_request += 1;
            self.events.push(arrival(self.next_request, 0, now + 4 * S));
        }
        self.in_flight.retain(|(end, event)| {
            let has_ended = *end <= now;
            self.events.extend(has_ended.then(|| event.clone()));
            !has_ended
        });
        let events = std::mem::take(&mut self.events);
        sends(&step(&mut self.controller, now, &events))
    }
}

/// Returns the times at which attempts begin at the engine during its slow start.
fn attempt_starts(gateway_count: u32, seed: u64) -> Vec<Micros> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut gateways: Vec<Gateway> = (0..gateway_count)
        .map(|index| Gateway::new(gateway_count, index, seed, &mut rng))
        .collect();
    let mut starts = Vec::new();
    for tick in 0..(SLOW_START_WINDOW / TICK) {
        let now = ENGINE_START + tick * TICK;
        // All attempts in flight share 4 cores.
        let in_flight = gateways
            .iter()
            .map(|gateway| gateway.in_flight.len())
            .sum::<usize>();
        let slowdown = (in_flight as f64 / 4.0).max(1.0);
        for (index, gateway) in gateways.iter_mut().enumerate() {
            if gateway.restart_at.is_some_and(|at| at <= now) {
                gateway.restart(gateway_count, index as u32, rng.next_u64(), now);
            }
            // The requests of each gateway alone exceed the initial capacity of the engine.
            let has_arrival = tick % 10 == 0;
            for (id, engine) in gateway.step(has_arrival, now) {
                // A third of the attempts begin late, and all late ones of the same interval begin at the same time.
                let is_late = uniform(&mut rng) < 1.0 / 3.0;
                let start = if is_late {
                    now / MAX_CONNECT_TIME * MAX_CONNECT_TIME + MAX_CONNECT_TIME
                } else {
                    now
                };
                starts.push(start);
                let work = (-(1.0 - uniform(&mut rng)).ln() * MEAN_WORK_MICROS) as Micros;
                let elapsed = (work as f64 * slowdown) as Micros;
                let success = outcome(id, 0, engine, AttemptStatus::Succeeded);
                let success =
                    outcome_with(success, |o| (o.elapsed, o.work) = (elapsed, Some(work)));
                gateway.in_flight.push((start + elapsed, success));
            }
        }
    }
    starts
}

/// Returns the number of attempts with mean work that the settings permit in the overload window from `start`: the
/// overload factor of 3 times the capacity of 4 cores, of which 0.3 is available at the start and all at the end of the
/// slow start. The capacity counts in the middle of the window.
fn max_attempts_from(start: Micros) -> f64 {
    let elapsed = (start + S / 2 - ENGINE_START) as f64;
    let warm_up = (elapsed / SLOW_START_WINDOW as f64).min(1.0);
    3.0 * (0.3 + 0.7 * warm_up) * 4.0 * S as f64 / MEAN_WORK_MICROS
}

#[test]
fn twenty_and_thirty_gateways_together_keep_the_slow_start_budget() {
    for gateways in [20, 30] {
        let mut total = 0;
        for seed in 1..=12 {
            let starts = attempt_starts(gateways, seed);
            for first in &starts {
                let limit = max_attempts_from(*first);
                let attempts = starts
                    .iter()
                    .filter(|start| (*first..*first + S).contains(start))
                    .count() as f64;
                // The tolerance is two standard deviations of a Poisson-distributed count, and two attempts.
                let after_ms = (*first - ENGINE_START) / MS;
                assert!(
                    attempts <= limit + 2.0 * limit.sqrt() + 2.0,
                    "{gateways} gateways, seed {seed}, {after_ms} ms after the start: {attempts} attempts, limit {limit}"
                );
            }
            total += starts.len();
        }
        // At least ten attempts per slow start.
        assert!(
            total > 12 * 10,
            "{gateways} gateways leave the engine idle: {total} attempts in 12 slow starts"
        );
    }
}
