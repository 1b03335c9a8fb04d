//! A generator of seeded events: arrivals, reports, waits, ends, engine lists and settings. There are phases with a
//! slow engine, with a changed fingerprint and with an engine that lacks memory.

use std::collections::BTreeMap;
use std::rc::Rc;

use hoptiller_policy::{EngineId, Idempotency, Micros};
use hoptiller_runaway::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::common::{SECOND, class};
use crate::{STEP, STEPS};

const ENGINES: u64 = 6;
const FINGERPRINTS: u64 = 7;
const GROUPS: u64 = 3;
/// Maximum number of attempts in flight.
const MAX_RUNNING: usize = 60;

struct RandomSource(Pcg64Mcg);

impl RandomSource {
    fn below(&mut self, bound: u64) -> u64 {
        self.0.next_u64() % bound
    }

    fn one_in(&mut self, bound: u64) -> bool {
        self.below(bound) == 0
    }

    fn choose<T: Copy>(&mut self, values: &[T]) -> T {
        values[self.below(values.len() as u64) as usize]
    }
}

fn generated_settings(random: &mut RandomSource) -> Settings {
    let names = ["lookup", "report", "load", "other", "batch"];
    let classes = (0..3 + random.below(3) as usize)
        .map(|number| {
            let idempotency = if number == 2 || random.one_in(4) {
                Idempotency::NotIdempotent
            } else {
                Idempotency::Idempotent
            };
            let options = EnforcementOptions {
                report: true,
                hold: !random.one_in(4),
                low_priority: random.one_in(3),
                pause: random.one_in(2),
                kill: random.one_in(2),
            };
            let objective = random.choose(&[SECOND, 3 * SECOND / 2, 2 * SECOND, 3 * SECOND]);
            let threads = random.choose(&[1.0, 2.0]);
            class(names[number], objective, threads, idempotency, options)
        })
        .collect();
    Settings {
        classes,
        max_fingerprints: random.choose(&[12, 40, 1000]),
        pause_for: random.choose(&[2 * SECOND, 10 * SECOND]),
        kill_after: random.choose(&[SECOND, 5 * SECOND]),
    }
}

/// An attempt that runs on a simulated engine.
struct SimulatedAttempt {
    start: AttemptStart,
    work: f64,
    done: f64,
    blocked_by: Option<AttemptId>,
    reports: bool,
    memory_mb: Option<f64>,
    spills: bool,
}

pub struct Generator {
    random: RandomSource,
    settings: Settings,
    /// Whether engines report progress with this seed.
    reports_progress: bool,
    /// Whether progress reports contain the work done.
    reports_work: bool,
    now: Micros,
    next_statement: u64,
    running: BTreeMap<AttemptId, SimulatedAttempt>,
    /// Names of abandoned attempts that still run.
    abandoned: Vec<String>,
    slow_engine: u64,
    changed_fingerprint: u64,
    /// The engine on which all but large statements wait for memory.
    engine_without_memory: u64,
}

impl Generator {
    pub fn new(seed: u64) -> Generator {
        let mut random = RandomSource(Pcg64Mcg::seed_from_u64(seed));
        let settings = generated_settings(&mut random);
        Generator {
            random,
            settings,
            reports_progress: seed % 4 != 3,
            reports_work: seed % 4 != 2,
            now: 100 * SECOND,
            next_statement: 0,
            running: BTreeMap::new(),
            abandoned: Vec::new(),
            slow_engine: ENGINES,
            changed_fingerprint: FINGERPRINTS,
            engine_without_memory: ENGINES,
        }
    }

    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    pub fn now(&self) -> Micros {
        self.now
    }

    pub fn advance(&mut self, duration: Micros) {
        self.now += duration;
    }

    /// Generates the events of one step, then runs detection.
    pub fn step(&mut self, detector: &mut RunawayDetector, number: u64) {
        let phase = number * 8 / STEPS;
        self.slow_engine = if phase == 3 { 1 } else { ENGINES };
        self.changed_fingerprint = if phase == 5 { 1 } else { FINGERPRINTS };
        self.engine_without_memory = if phase == 6 { 2 } else { ENGINES };
        self.start_attempts(detector);
        self.progress(detector);
        self.report(detector);
        self.end_attempts(detector);
        self.add_rare_events(detector, number);
        detector.run_detection(self.now);
    }

    fn start_attempts(&mut self, detector: &mut RunawayDetector) {
        for _ in 0..self.random.below(5) {
            if self.running.len() >= MAX_RUNNING {
                return;
            }
            self.start_attempt(detector);
        }
    }

    fn start_attempt(&mut self, detector: &mut RunawayDetector) {
        let random = &mut self.random;
        let number = if random.one_in(12) {
            1_000 + random.below(30)
        } else {
            random.below(FINGERPRINTS)
        };
        let class = (number % self.settings.classes.len() as u64) as usize;
        let fingerprint = detector.fingerprint_id(class, number);
        let label: Rc<str> = format!("select {number}").into();
        let held_as = detector.observe_arrival(self.now, fingerprint, class, &label);
        self.next_statement += 1;
        let attempt = AttemptId {
            statement: self.next_statement,
            number: random.below(2) as u32,
        };
        let size = random.choose(&[0, 0, 0, 12, 300]);
        let usual = 200_000.0 * (1 + number % 5) as f64 * (1.0 + size as f64 / 30.0);
        let mut work = usual * random.choose(&[0.7, 0.9, 1.0, 1.1, 1.4]);
        let estimate = random
            .one_in(3)
            .then(|| (work * random.choose(&[0.8, 1.0, 1.2])) as Micros);
        if random.one_in(70) || number >= 1_000 && random.one_in(4) {
            work *= random.choose(&[20.0, 60.0, 200.0]);
        }
        if number == self.changed_fingerprint {
            work *= 30.0;
        }
        let is_load = self.settings.classes[class].locks_group;
        let engine = if self.engine_without_memory < ENGINES && random.one_in(2) {
            self.engine_without_memory
        } else {
            random.below(ENGINES)
        };
        let start = AttemptStart {
            attempt,
            engine: EngineId(engine as u32),
            class,
            // Names are part of the recorded digests.
            name: format!("r1/{:05}_life", self.next_statement),
            fingerprint,
            held_as,
            label,
            announced: Announced { size, estimate },
            group: (is_load || random.one_in(2)).then(|| random.below(GROUPS)),
        };
        detector.start_attempt(self.now, start.clone());
        let running = SimulatedAttempt {
            start,
            work,
            done: 0.0,
            blocked_by: None,
            reports: self.reports_progress && !random.one_in(15),
            memory_mb: random.one_in(2).then(|| random.choose(&[10.0, 20.0, 30.0])),
            spills: random.one_in(40),
        };
        self.running.insert(attempt, running);
    }

    /// Advances the work of all attempts that are not blocked; loads block later attempts on their table group.
    fn progress(&mut self, detector: &mut RunawayDetector) {
        let loads: Vec<(AttemptId, EngineId, Option<u64>)> = self
            .running
            .values()
            .filter(|running| self.settings.classes[running.start.class].locks_group)
            .map(|running| {
                (
                    running.start.attempt,
                    running.start.engine,
                    running.start.group,
                )
            })
            .collect();
        for running in self.running.values_mut() {
            let start = &running.start;
            running.blocked_by = loads
                .iter()
                .find(|(id, engine, group)| {
                    *id < start.attempt && (*engine, *group) == (start.engine, start.group)
                })
                .map(|(id, _, _)| *id);
            if running.blocked_by.is_none() {
                let is_slow = u64::from(start.engine.0) == self.slow_engine;
                let rate =
                    self.settings.classes[start.class].threads / if is_slow { 6.0 } else { 1.0 };
                running.done += rate * STEP as f64;
            }
            if running.done < running.work && self.random.one_in(900) {
                detector.start_streaming(self.now, start.attempt);
            }
        }
    }

    fn report(&mut self, detector: &mut RunawayDetector) {
        let names: Vec<String> = self
            .running
            .values()
            .map(|running| running.start.name.clone())
            .collect();
        let ids: Vec<AttemptId> = self.running.keys().copied().collect();
        for id in ids {
            let Some(running) = self.running.get(&id) else {
                continue;
            };
            if !running.reports || !self.random.one_in(4) {
                continue;
            }
            let blocker = running
                .blocked_by
                .and_then(|id| self.running.get(&id))
                .map(|blocker| blocker.start.name.clone());
            let mut report =
                generated_report(&mut self.random, running, blocker, &names, &self.abandoned);
            let waits_for_memory = u64::from(running.start.engine.0) == self.engine_without_memory
                && running.work < 1e7;
            if waits_for_memory && !self.random.one_in(5) {
                report.blocked_state = Some(BlockedState::Memory);
            }
            if !self.reports_work {
                report.work = None;
            }
            detector.report_progress(self.now, id, report);
        }
        if self.random.one_in(50) {
            let unknown = AttemptId {
                statement: 1 << 40,
                number: 0,
            };
            detector.report_progress(self.now, unknown, ProgressReport::default());
        }
    }

    fn end_attempts(&mut self, detector: &mut RunawayDetector) {
        let random = &mut self.random;
        let mut over = Vec::new();
        for (id, running) in &self.running {
            if running.done >= running.work {
                over.push((*id, ExecutionOutcome::Succeeded));
            } else if random.one_in(400) {
                let outcome = random.choose(&[
                    ExecutionOutcome::Failed,
                    ExecutionOutcome::NeverRan,
                    ExecutionOutcome::Abandoned,
                    ExecutionOutcome::Abandoned,
                ]);
                over.push((*id, outcome));
            }
        }
        for (id, outcome) in over {
            let Some(running) = self.running.remove(&id) else {
                continue;
            };
            if outcome == ExecutionOutcome::Abandoned {
                self.abandoned.push(running.start.name);
            }
            let work = (running.reports && !self.random.one_in(5) && self.reports_work)
                .then_some(running.work as Micros);
            detector.end_attempt(self.now, id, outcome, work);
        }
        if self.abandoned.len() > 3 {
            self.abandoned.remove(0);
        }
    }

    fn add_rare_events(&mut self, detector: &mut RunawayDetector, number: u64) {
        let random = &mut self.random;
        if number == 0 || random.one_in(100) {
            let classes = self.settings.classes.len();
            let engines = (0..ENGINES as u32)
                .filter(|_| number == 0 || !random.one_in(8))
                .collect::<Vec<_>>();
            let engines = engines.into_iter().map(|engine| EngineStatus {
                engine: EngineId(engine),
                is_up: !random.one_in(8),
                classes: (0..classes).map(|_| !random.one_in(6)).collect(),
            });
            let engines = engines.collect();
            detector.update_engines(engines);
        }
        if random.one_in(300) {
            detector.reset_engine(self.now, EngineId(random.below(ENGINES) as u32));
        }
        if random.one_in(200) {
            let held: Vec<FingerprintId> = detector.holds().map(|(id, _)| *id).collect();
            held.first().map(|id| detector.release_hold(*id));
        }
        if number == STEPS / 2 {
            let mut settings = self.settings.clone();
            settings.classes.push(settings.classes[0].clone());
            settings.classes[0].client_timeout *= 2;
            detector.update_settings(settings.clone());
            self.settings = settings;
        }
    }
}

/// Returns an engine's report on an attempt: mostly correct values, occasionally invalid ones.
fn generated_report(
    random: &mut RandomSource,
    running: &SimulatedAttempt,
    blocker: Option<String>,
    names: &[String],
    abandoned: &[String],
) -> ProgressReport {
    let fraction = (running.done / running.work).min(1.0);
    let blocking_statement = |name: String, random: &mut RandomSource| BlockingStatement {
        name,
        class: random.one_in(2).then(|| random.below(7) as usize),
        age: random.one_in(2).then(|| random.below(60) * SECOND),
    };
    let blocked_state = match (blocker, random.below(40)) {
        (Some(name), 0..36) => Some(BlockedState::Statement(Some(blocking_statement(
            name, random,
        )))),
        (Some(_), _) => Some(BlockedState::Statement(None)),
        (None, 0) => Some(BlockedState::Memory),
        (None, 1) => {
            let name = format!("r2/{:05}_life", random.below(4));
            Some(BlockedState::Statement(Some(blocking_statement(
                name, random,
            ))))
        }
        (None, 2) => {
            let name = names[random.below(names.len() as u64) as usize].clone();
            Some(BlockedState::Statement(Some(blocking_statement(
                name, random,
            ))))
        }
        (None, 3 | 4) => abandoned
            .last()
            .map(|name| BlockedState::Statement(Some(blocking_statement(name.clone(), random)))),
        _ if running.start.fingerprint.0.is_multiple_of(3) && random.one_in(3) => {
            Some(BlockedState::Memory)
        }
        _ => None,
    };
    let done = match random.below(60) {
        0 => Some(f64::NAN),
        1 => Some(7.0),
        2..30 => Some(fraction),
        _ => None,
    };
    ProgressReport {
        work: (!random.one_in(4)).then_some(running.done as Micros),
        done,
        rows: random
            .one_in(2)
            .then_some((running.done / if running.work > 1e7 { 900.0 } else { 50.0 }) as u64),
        memory_mb: running
            .memory_mb
            .map(|memory| memory * if running.work > 1e7 { 40.0 } else { 1.0 }),
        spills: running.spills,
        blocked_state,
    }
}
