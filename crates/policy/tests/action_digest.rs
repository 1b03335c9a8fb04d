//! Pins a digest of every action that the controller emits for seeded generated events: all kinds of events, settings
//! with every switch. A refactoring must leave each digest as it is.
//!
//! The digest is taken over explicit numbers and not over `Debug` output, so that renamed types do not change it.
//! `UPDATE_FIXTURES=1` rewrites the file; only a deliberate change of a decision justifies that.

mod common;

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;

use common::*;
use hoptiller_policy::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SEEDS: u64 = 48;
const STEP: Micros = 7 * MS;
const STEPS: u64 = 2_500;
const ENGINES: u64 = 7;

/// Draws of the generator, apart from those of the controller.
struct Draw(Pcg64Mcg);

impl Draw {
    fn below(&mut self, bound: u64) -> u64 {
        self.0.next_u64() % bound
    }

    fn one_in(&mut self, bound: u64) -> bool {
        self.below(bound) == 0
    }

    fn choose<T: Copy>(&mut self, values: &[T]) -> T {
        values[self.below(values.len() as u64) as usize]
    }

    fn maybe<T>(&mut self, value: T) -> Option<T> {
        (!self.one_in(3)).then_some(value)
    }
}

fn generated_class(draw: &mut Draw) -> Class {
    let window = draw.choose(&[300 * MS, 800 * MS, 5 * S]);
    let effect = match draw.below(5) {
        0 | 1 => Idempotency::Idempotent,
        2 => Idempotency::WithKey {
            scope: draw.choose(&[
                DeduplicationScope::All,
                DeduplicationScope::Zone,
                DeduplicationScope::Cell,
            ]),
            window,
        },
        3 => Idempotency::WithKey { scope: DeduplicationScope::Cell, window },
        _ => Idempotency::NotIdempotent,
    };
    Class {
        latency_objective: draw.choose(&[100 * MS, 400 * MS, S, 3 * S]),
        objective_stretch: draw.choose(&[0.0, 1.5, 3.0]),
        deadline: draw.choose(&[S, 3 * S, 8 * S]),
        idempotency: effect,
        ordered_by_key: draw.one_in(4),
        late_weight_ratio: draw.choose(&[0.0, 0.1, 0.3, 0.8]),
        priority_weight: draw.choose(&[0.2, 1.0, 5.0]),
        zones: draw.one_in(5).then(|| vec![0]),
        kinds: draw.one_in(5).then(|| vec![1]),
        threads: draw.choose(&[1.0, 1.0, 2.0, 4.0]),
        locks_group: draw.one_in(4),
    }
}

fn generated_settings(draw: &mut Draw) -> Settings {
    let classes = (0..1 + draw.below(5)).map(|_| generated_class(draw)).collect();
    let mut generated = settings(classes);
    generated.gateways = draw.choose(&[1, 1, 2, 5, 40]);
    generated.index = draw.below(u64::from(generated.gateways)) as u32;
    generated.cores = draw.choose(&[[4.0, 8.0], [2.0, 16.0], [64.0, 64.0]]).to_vec();
    generated.tenant_quotas = vec![0.5, 0.3, 0.2];
    generated.over_quota_weight = draw.choose(&[1.0, 0.2]);
    generated.load_reports = draw.one_in(2);
    generated.progress_interval = draw.choose(&[0, 0, 300 * MS]);
    generated.max_grant_mb = draw.choose(&[0.0, 500.0]);
    generated.memory_overcommit = draw.one_in(2);
    generated.reports_in_flight = draw.one_in(2);
    generated.reports_work = draw.one_in(2);
    generated.health_check_cost = draw.choose(&[0.0, 0.005, 0.2]);
    generated.clients_mark_retries = draw.one_in(2);
    generated.discovery = draw.choose(&[Discovery::Push, Discovery::Subscribe]);
    generated.limits = Limits {
        max_attempts: draw.choose(&[1, 2, 3, 5]),
        max_open_requests: draw.choose(&[0, 0, 30]),
        hedged_requests: draw.one_in(3),
        retry_after: draw.one_in(2),
        max_retry_after: draw.choose(&[0, 500 * MS, 2 * S]),
        priorities: draw.one_in(2),
        health_checks: draw.one_in(2),
        cancel: draw.one_in(2),
    };
    generated.rules.start_capacity = draw.choose(&[0.1, 0.3, 0.8]);
    generated.rules.slow_start_window = draw.choose(&[2 * S, 10 * S]);
    generated.rules.overload_factor = draw.choose(&[1.5, 3.0]);
    generated.rules.overload_window = draw.choose(&[300 * MS, S]);
    generated.rules.key_pause = draw.choose(&[100 * MS, 500 * MS]);
    let retry_budget = RetryBudget { min_retries: 2.0, ratio: 0.2, window: 2 * S };
    generated.rules.retry_budget = draw.maybe(retry_budget);
    generated.rules.max_poll_interval = draw.choose(&[200 * MS, 10 * S]);
    generated
}

fn generated_entry(draw: &mut Draw, now: Micros) -> EndpointEntry {
    let engine = EngineId(draw.below(ENGINES) as u32);
    EndpointEntry {
        engine,
        zone: draw.maybe(u64::from(engine.0) as usize % 2),
        kind: draw.maybe(u64::from(engine.0) as usize % 2),
        cell: u64::from(engine.0 % 3),
        ready_at: draw.choose(&[0, 0, now.saturating_sub(500 * MS), now]),
        readiness: draw.choose(&[
            Readiness::Up,
            Readiness::Up,
            Readiness::Up,
            Readiness::Draining,
            Readiness::Removed,
        ]),
    }
}

fn generated_report(draw: &mut Draw) -> Option<LoadReport> {
    let odd = draw.choose(&[-1.0, f64::NAN, 1e9]);
    let value = |draw: &mut Draw, top: u64| {
        let usual = draw.below(top * 100) as f64 / 100.0;
        let value = if draw.one_in(60) { odd } else { usual };
        draw.maybe(value)
    };
    let (in_flight, memory, cpu) = (value(draw, 20), value(draw, 1), value(draw, 1));
    draw.maybe(LoadReport { in_flight, memory, cpu })
}

/// The engine from which nothing is heard at that time, where faults are generated.
fn silent_engine(now: Micros) -> u32 {
    u32::try_from(now / (3 * S) % ENGINES).expect("below the number of engines")
}

/// An attempt whose outcome the generator still owes.
struct InFlight {
    request: u64,
    hop: u32,
    engine: u32,
    sent_at: Micros,
    withdrawn: bool,
}

struct Generator {
    draw: Draw,
    /// Engines fall silent by turns, reports are absurd, and the process pauses for short times.
    faults: bool,
    classes: usize,
    deadlines: Vec<Micros>,
    next_request: u64,
    open: BTreeMap<u64, u32>,
    in_flight: Vec<InFlight>,
}

impl Generator {
    fn events(&mut self, now: Micros) -> Vec<Event> {
        let mut events = Vec::new();
        self.add_lists(now, &mut events);
        self.add_arrivals(now, &mut events);
        self.add_outcomes(now, &mut events);
        self.add_notes(now, &mut events);
        self.add_rare(&mut events);
        events
    }

    fn add_lists(&mut self, now: Micros, events: &mut Vec<Event>) {
        let draw = &mut self.draw;
        if now <= S || draw.one_in(120) {
            let scope = draw.choose(&[
                ListScope::Changes,
                ListScope::Changes,
                ListScope::Changes,
                ListScope::All,
                ListScope::Cached,
            ]);
            let count = if scope == ListScope::Changes { 1 + draw.below(2) } else { 4 + draw.below(4) };
            let entries = (0..count).map(|_| generated_entry(draw, now)).collect();
            events.push(Event::EndpointList(scope, entries));
        }
        if draw.one_in(400) {
            events.push(Event::EndpointList(ListScope::Failed, vec![]));
        }
    }

    fn add_arrivals(&mut self, now: Micros, events: &mut Vec<Event>) {
        let draw = &mut self.draw;
        let burst = if (now / S) % 5 == 3 { 3 } else { 1 };
        for _ in 0..draw.below(2 + burst) {
            let class = draw.below(self.classes as u64) as usize;
            let patience = draw.choose(&[1.0, 1.0, 0.5, 0.02]) * self.deadlines[class] as f64;
            events.push(Event::Arrival(Arrival {
                request: RequestId(self.next_request),
                class,
                tenant: draw.maybe((self.next_request % 3) as usize),
                key: draw.one_in(3).then_some(KeyId(self.next_request % 5)),
                valid_until: now + patience as Micros,
                estimated_work: draw.maybe(20 * MS),
                estimated_memory_mb: draw.choose(&[0.0, 30.0, 200.0, 900.0]),
                group: draw.one_in(2).then_some(self.next_request % 4),
                is_retry: draw.one_in(10),
                kind: draw.one_in(2).then_some(self.next_request % 3),
            }));
            self.open.insert(self.next_request, 0);
            self.next_request += 1;
        }
    }

    fn add_outcomes(&mut self, now: Micros, events: &mut Vec<Event>) {
        let draw = &mut self.draw;
        let silent = silent_engine(now);
        let faults = self.faults;
        self.in_flight.retain(|attempt| {
            if faults && attempt.engine == silent {
                return true;
            }
            let ending = if attempt.withdrawn && draw.one_in(5) {
                AttemptStatus::Cancelled
            } else if draw.one_in(25) || now.saturating_sub(attempt.sent_at) > 4 * S {
                draw.choose(&[
                    AttemptStatus::Succeeded,
                    AttemptStatus::Succeeded,
                    AttemptStatus::Succeeded,
                    AttemptStatus::Succeeded,
                    AttemptStatus::Succeeded,
                    AttemptStatus::Succeeded,
                    AttemptStatus::ErrorResponse,
                    AttemptStatus::Rejected,
                    AttemptStatus::TimedOut,
                    AttemptStatus::ConnectFailed,
                    AttemptStatus::ConnectionReset,
                    AttemptStatus::NotSent,
                ])
            } else {
                return true;
            };
            let elapsed = now - attempt.sent_at;
            events.push(Event::Outcome(Outcome {
                request: RequestId(attempt.request),
                attempt: attempt.hop,
                engine: EngineId(attempt.engine),
                status: ending,
                elapsed,
                terminal: ending == AttemptStatus::Succeeded,
                work: draw.maybe(elapsed / (1 + attempt.request % 3)),
                report: generated_report(draw),
            }));
            false
        });
    }

    fn add_notes(&mut self, now: Micros, events: &mut Vec<Event>) {
        let draw = &mut self.draw;
        for attempt in &self.in_flight {
            if self.faults && attempt.engine == silent_engine(now) || !draw.one_in(30) {
                continue;
            }
            let progress = match draw.below(4) {
                0 => Progress::Spilling(draw.choose(&[10.0, 300.0, -5.0, f64::NAN])),
                1 => Progress::Blocked,
                _ => Progress::Completed(draw.choose(&[0.0, 0.0001, 0.01, 0.3, 0.9, 7.0, f64::NAN])),
            };
            events.push(Event::Progress {
                request: RequestId(attempt.request),
                attempt: attempt.hop + u32::from(draw.one_in(20)),
                engine: EngineId(attempt.engine),
                progress,
            });
        }
    }

    fn add_rare(&mut self, events: &mut Vec<Event>) {
        let draw = &mut self.draw;
        let request = RequestId(draw.below(self.next_request.max(1)));
        if draw.one_in(40) {
            events.push(Event::ClientDisconnected(request));
        }
        if draw.one_in(80) {
            events.push(Event::Abandoned(request));
        }
        if draw.one_in(30) {
            let engine = EngineId(draw.below(ENGINES + 1) as u32);
            events.push(Event::HealthChecked(engine, generated_report(draw)));
        }
        if draw.one_in(150) {
            let number = draw.below(3);
            events.push(Event::Hold(Hold {
                target: draw.choose(&[HoldTarget::Kind(number), HoldTarget::Group(number)]),
                max_in_flight: draw.choose(&[0, 1, 3, u32::MAX]),
                excluded_engines: (0..ENGINES as u32).filter(|_| draw.one_in(4)).map(EngineId).collect(),
                low_priority: draw.one_in(3),
            }));
        }
        if draw.one_in(50) {
            events.push(Event::Wakeup);
        }
    }

    /// Follows the attempts that the actions begin and withdraw.
    fn observe(&mut self, now: Micros, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Send { request, engine, .. } => {
                    let hops = self.open.entry(request.0).or_default();
                    self.in_flight.push(InFlight {
                        request: request.0,
                        hop: *hops,
                        engine: engine.0,
                        sent_at: now,
                        withdrawn: false,
                    });
                    *hops += 1;
                }
                Action::Cancel { request, attempt: hop } => {
                    for attempt in &mut self.in_flight {
                        attempt.withdrawn |= attempt.request == request.0 && attempt.hop == *hop;
                    }
                }
                _ => {}
            }
        }
    }
}

/// An action as numbers: its kind, then its fields.
fn encode(action: &Action, numbers: &mut Vec<u64>) {
    let optional = |value: Option<Micros>| value.map_or([0, 0], |value| [1, value]);
    match action {
        Action::Send { request, engine, send_by } => {
            numbers.extend([1, request.0, u64::from(engine.0)]);
            numbers.extend(optional(*send_by));
        }
        Action::SetOptions { request, priority, memory_grant_mb: grant } => {
            numbers.extend([2, request.0, u64::from(*priority), grant.to_bits()]);
        }
        Action::Cancel { request, attempt: hop } => numbers.extend([3, request.0, u64::from(*hop)]),
        Action::Reject { request, retry_after: hold_off } => {
            numbers.extend([4, request.0]);
            numbers.extend(optional(*hold_off));
        }
        Action::Fail(request) => numbers.extend([5, request.0]),
        Action::HealthCheck(engine) => numbers.extend([6, u64::from(engine.0)]),
        Action::Timer(after) => numbers.extend([7, *after]),
        Action::Subscribe => numbers.push(8),
    }
}

/// The digest of one seed's actions, and how often each kind of action came.
fn play(seed: u64, faults: bool) -> (String, [u64; 9]) {
    let mut draw = Draw(Pcg64Mcg::seed_from_u64(seed ^ 0x5eed));
    let mut first = generated_settings(&mut draw);
    if faults {
        first.classes.iter_mut().for_each(|class| class.late_weight_ratio = 0.22);
    }
    let mut controller = Controller::new(first.clone(), seed).expect("usable settings");
    let deadlines: Vec<Micros> = first.classes.iter().map(|class| class.deadline).collect();
    let classes = deadlines.len();
    let (open, in_flight) = (BTreeMap::new(), vec![]);
    let mut generator = Generator { draw, faults, classes, deadlines, next_request: 0, open, in_flight };
    let (mut hasher, mut counts) = (blake3::Hasher::new(), [0; 9]);
    let mut now = S;
    for step_number in 0..STEPS {
        let mut events = generator.events(now);
        if step_number == STEPS / 2 {
            events.push(Event::SettingsChanged(Box::new(changed_settings(&first, &mut generator))));
        }
        let actions = step(&mut controller, now, &events);
        generator.observe(now, &actions);
        let mut numbers = Vec::new();
        for action in &actions {
            let start = numbers.len();
            encode(action, &mut numbers);
            counts[numbers[start] as usize] += 1;
        }
        let held: usize = (0..ENGINES as u32).map(|engine| controller.in_flight_at(EngineId(engine))).sum();
        numbers.extend([u64::MAX, step_number, held as u64]);
        numbers.iter().for_each(|number| {
            hasher.update(&number.to_le_bytes());
        });
        now += pause_after(step_number, faults);
    }
    (hasher.finalize().to_hex()[..32].to_owned(), counts)
}

/// The time from one batch to the next: a pause of the whole process now and then, with `faults` also short ones.
fn pause_after(step_number: u64, faults: bool) -> Micros {
    if step_number % 700 == 699 {
        900 * MS
    } else if faults && step_number % 90 == 89 {
        250 * MS
    } else {
        STEP
    }
}

/// Other rules for the second half: one more class, other limits; the first classes keep their numbers.
fn changed_settings(first: &Settings, generator: &mut Generator) -> Settings {
    let mut changed = generated_settings(&mut generator.draw);
    changed.classes = first.classes.clone();
    changed.classes.push(generated_class(&mut generator.draw));
    generator.classes = changed.classes.len();
    generator.deadlines = changed.classes.iter().map(|class| class.deadline).collect();
    changed
}

/// Plays all seeds and compares their digests with the fixture; returns how often each kind of action came.
fn assert_pinned(fixture: &str, seeds: std::ops::Range<u64>, faults: bool) -> [u64; 9] {
    let mut text = String::new();
    let mut totals = [0; 9];
    for seed in seeds {
        let (digest, counts) = play(seed, faults);
        let _ = writeln!(text, "{seed} {digest}");
        totals.iter_mut().zip(counts).for_each(|(total, count)| *total += count);
    }
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(fixture);
    if std::env::var_os("UPDATE_FIXTURES").is_some() {
        std::fs::write(&path, &text).expect("the fixture can be written");
    }
    let pinned = std::fs::read_to_string(&path).expect("the fixture exists");
    assert_eq!(pinned, text, "the controller's actions have changed");
    totals
}

#[test]
fn generated_events_give_the_pinned_actions() {
    let totals = assert_pinned("action-digests.txt", 0..SEEDS, false);
    assert!(totals[1..].iter().all(|total| *total > 20), "each kind of action occurs: {totals:?}");
}

#[test]
fn silent_engines_and_short_pauses_give_the_pinned_actions() {
    let totals = assert_pinned("action-digests-faults.txt", 100..116, true);
    assert!(totals[1..].iter().all(|total| *total > 5), "each kind of action occurs: {totals:?}");
}
