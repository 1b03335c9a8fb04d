//! Generated events of all kinds, for settings with every option.

use std::collections::BTreeMap;

use hoptiller_policy::*;
use rand_core::RngCore;
use rand_pcg::Pcg64Mcg;

use crate::common::*;

pub const ENGINES: u64 = 7;

/// Random draws of the generator, independent of the controller's.
pub struct Draw(pub Pcg64Mcg);

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
    let idempotency = match draw.below(5) {
        0 | 1 => Idempotency::Idempotent,
        2 => Idempotency::WithKey {
            scope: draw.choose(&[
                DeduplicationScope::All,
                DeduplicationScope::Zone,
                DeduplicationScope::Cell,
            ]),
            window,
        },
        3 => Idempotency::WithKey {
            scope: DeduplicationScope::Cell,
            window,
        },
        _ => Idempotency::NotIdempotent,
    };
    Class {
        latency_objective: draw.choose(&[100 * MS, 400 * MS, S, 3 * S]),
        objective_stretch: draw.choose(&[0.0, 1.5, 3.0]),
        deadline: draw.choose(&[S, 3 * S, 8 * S]),
        idempotency,
        ordered_by_key: draw.one_in(4),
        late_weight_ratio: draw.choose(&[0.0, 0.1, 0.3, 0.8]),
        priority_weight: draw.choose(&[0.2, 1.0, 5.0]),
        zones: draw.one_in(5).then(|| vec![0]),
        kinds: draw.one_in(5).then(|| vec![1]),
        threads: draw.choose(&[1.0, 1.0, 2.0, 4.0]),
        locks_group: draw.one_in(4),
    }
}

pub fn generated_settings(draw: &mut Draw) -> Settings {
    let classes = (0..1 + draw.below(5))
        .map(|_| generated_class(draw))
        .collect();
    let mut generated = default_settings(classes);
    generated.gateways = draw.choose(&[1, 1, 2, 5, 40]);
    generated.index = draw.below(u64::from(generated.gateways)) as u32;
    generated.cores = draw
        .choose(&[[4.0, 8.0], [2.0, 16.0], [64.0, 64.0]])
        .to_vec();
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
    let retry_budget = RetryBudget {
        min_retries: 2.0,
        ratio: 0.2,
        window: 2 * S,
    };
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
    let invalid = draw.choose(&[-1.0, f64::NAN, 1e9]);
    let value = |draw: &mut Draw, bound: u64| {
        let valid = draw.below(bound * 100) as f64 / 100.0;
        let value = if draw.one_in(60) { invalid } else { valid };
        draw.maybe(value)
    };
    let (in_flight, memory, cpu) = (value(draw, 20), value(draw, 1), value(draw, 1));
    draw.maybe(LoadReport {
        in_flight,
        memory,
        cpu,
    })
}

/// Returns the engine that is silent at a time if faults are generated.
fn silent_engine(now: Micros) -> u32 {
    u32::try_from(now / (3 * S) % ENGINES).expect("below the number of engines")
}

/// An attempt without an outcome.
struct InFlight {
    request: u64,
    number: u32,
    engine: u32,
    sent_at: Micros,
    cancelled: bool,
}

pub struct Generator {
    draw: Draw,
    /// Whether engines take turns being silent and the process also pauses for short times.
    faults: bool,
    classes: usize,
    deadlines: Vec<Micros>,
    next_request: u64,
    open: BTreeMap<u64, u32>,
    in_flight: Vec<InFlight>,
}

impl Generator {
    /// Creates a generator for the classes of `settings`.
    pub fn new(draw: Draw, settings: &Settings, faults: bool) -> Self {
        Generator {
            draw,
            faults,
            classes: settings.classes.len(),
            deadlines: settings
                .classes
                .iter()
                .map(|class| class.deadline)
                .collect(),
            next_request: 0,
            open: BTreeMap::new(),
            in_flight: Vec::new(),
        }
    }

    /// Returns the settings for the second half, with one more class and new limits and rules. The initial classes keep
    /// their numbers.
    pub fn changed_settings(&mut self, initial: &Settings) -> Settings {
        let mut changed = generated_settings(&mut self.draw);
        changed.classes = initial.classes.clone();
        changed.classes.push(generated_class(&mut self.draw));
        self.classes = changed.classes.len();
        self.deadlines = changed.classes.iter().map(|class| class.deadline).collect();
        changed
    }

    pub fn events(&mut self, now: Micros) -> Vec<Event> {
        let mut events = Vec::new();
        self.add_list_updates(now, &mut events);
        self.add_arrivals(now, &mut events);
        self.add_outcomes(now, &mut events);
        self.add_progress(now, &mut events);
        self.add_rare_events(&mut events);
        events
    }

    fn add_list_updates(&mut self, now: Micros, events: &mut Vec<Event>) {
        let draw = &mut self.draw;
        if now <= S || draw.one_in(120) {
            let scope = draw.choose(&[
                ListScope::Changes,
                ListScope::Changes,
                ListScope::Changes,
                ListScope::All,
                ListScope::Cached,
            ]);
            let count = if scope == ListScope::Changes {
                1 + draw.below(2)
            } else {
                4 + draw.below(4)
            };
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
            let time_limit = draw.choose(&[1.0, 1.0, 0.5, 0.02]) * self.deadlines[class] as f64;
            events.push(Event::Arrival(Arrival {
                request: RequestId(self.next_request),
                class,
                tenant: draw.maybe((self.next_request % 3) as usize),
                key: draw.one_in(3).then_some(KeyId(self.next_request % 5)),
                valid_until: now + time_limit as Micros,
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
            let status = if attempt.cancelled && draw.one_in(5) {
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
                attempt: attempt.number,
                engine: EngineId(attempt.engine),
                status,
                elapsed,
                terminal: status == AttemptStatus::Succeeded,
                work: draw.maybe(elapsed / (1 + attempt.request % 3)),
                report: generated_report(draw),
            }));
            false
        });
    }

    fn add_progress(&mut self, now: Micros, events: &mut Vec<Event>) {
        let draw = &mut self.draw;
        for attempt in &self.in_flight {
            if self.faults && attempt.engine == silent_engine(now) || !draw.one_in(30) {
                continue;
            }
            let progress = match draw.below(4) {
                0 => Progress::Spilling(draw.choose(&[10.0, 300.0, -5.0, f64::NAN])),
                1 => Progress::Blocked,
                _ => {
                    Progress::Completed(draw.choose(&[0.0, 0.0001, 0.01, 0.3, 0.9, 7.0, f64::NAN]))
                }
            };
            events.push(Event::Progress {
                request: RequestId(attempt.request),
                attempt: attempt.number + u32::from(draw.one_in(20)),
                engine: EngineId(attempt.engine),
                progress,
            });
        }
    }

    fn add_rare_events(&mut self, events: &mut Vec<Event>) {
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
                excluded_engines: (0..ENGINES as u32)
                    .filter(|_| draw.one_in(4))
                    .map(EngineId)
                    .collect(),
                low_priority: draw.one_in(3),
            }));
        }
        if draw.one_in(50) {
            events.push(Event::Wakeup);
        }
    }

    /// Records the attempts that the actions send and cancel.
    pub fn observe(&mut self, now: Micros, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Send {
                    request, engine, ..
                } => {
                    let attempts = self.open.entry(request.0).or_default();
                    self.in_flight.push(InFlight {
                        request: request.0,
                        number: *attempts,
                        engine: engine.0,
                        sent_at: now,
                        cancelled: false,
                    });
                    *attempts += 1;
                }
                Action::Cancel {
                    request,
                    attempt: number,
                } => {
                    for attempt in &mut self.in_flight {
                        attempt.cancelled |=
                            attempt.request == request.0 && attempt.number == *number;
                    }
                }
                _ => {}
            }
        }
    }
}
