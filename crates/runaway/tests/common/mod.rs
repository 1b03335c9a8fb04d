//! A simulation of engines that run and report on attempts, with a history of three fingerprints.
#![allow(dead_code)]

use std::rc::Rc;

use hoptiller_policy::{EngineId, Hold, Idempotency, Micros};
use hoptiller_runaway::*;

pub const SECOND: Micros = 1_000_000;

pub const LOOKUP: usize = 0;
pub const REPORT: usize = 1;
pub const LOAD: usize = 2;

pub fn class(
    name: &str,
    latency_objective: Micros,
    threads: f64,
    idempotency: Idempotency,
    options: EnforcementOptions,
) -> Class {
    let locks_group = idempotency == Idempotency::NotIdempotent;
    Class {
        name: name.into(),
        latency_objective,
        client_timeout: 25 * SECOND,
        threads,
        idempotency,
        locks_group,
        enforcement: options,
    }
}

/// The options that a router applies by default.
pub const REPORT_AND_HOLD: EnforcementOptions = EnforcementOptions {
    report: true,
    hold: true,
    low_priority: false,
    pause: false,
    kill: false,
};

pub fn settings(options: EnforcementOptions) -> Settings {
    Settings {
        classes: vec![
            class(
                "lookup",
                3 * SECOND / 2,
                1.0,
                Idempotency::Idempotent,
                options,
            ),
            class("report", 2 * SECOND, 2.0, Idempotency::Idempotent, options),
            class(
                "rent-load",
                3 * SECOND,
                2.0,
                Idempotency::NotIdempotent,
                options,
            ),
        ],
        max_fingerprints: 1000,
        pause_for: 10 * SECOND,
        kill_after: 5 * SECOND,
    }
}

/// A statement that runs in the simulation.
#[derive(Clone)]
pub struct Job {
    pub id: u64,
    pub class: usize,
    pub fingerprint: u64,
    pub engine: u32,
    pub group: Option<u64>,
    pub announced: Announced,
    /// Total work over all threads, in µs.
    pub work: f64,
    /// Factor by which the statement runs slower than its threads allow.
    pub slowdown: f64,
    pub rows: Option<u64>,
    /// Work done so far, in µs.
    pub done: f64,
}

pub struct Simulation {
    pub detector: RunawayDetector,
    pub now: Micros,
    /// Whether engines report progress and work.
    pub reports_progress: bool,
    pub running: Vec<Job>,
    pub decisions: Vec<Decision>,
    next: u64,
    threads: Vec<f64>,
}

pub fn name(id: u64) -> String {
    format!("r1/{id:05}_1")
}

impl Simulation {
    pub fn new(options: EnforcementOptions, engines: u32) -> Simulation {
        Simulation::with_settings(settings(options), engines)
    }

    pub fn with_settings(settings: Settings, engines: u32) -> Simulation {
        let threads = settings.classes.iter().map(|c| c.threads).collect();
        let mut detector = RunawayDetector::new(settings);
        let listed = |n| EngineStatus {
            engine: EngineId(n),
            is_up: true,
            classes: vec![true; 3],
        };
        detector.update_engines((0..engines).map(listed).collect());
        Simulation {
            detector,
            now: 100 * SECOND,
            reports_progress: true,
            running: vec![],
            decisions: vec![],
            next: 0,
            threads,
        }
    }

    /// Creates a simulation with a history of a hundred runs of each of three fingerprints: lookups of 0.25 s, reports
    /// of 2 s and loads of 2 s.
    pub fn with_history(options: EnforcementOptions, engines: u32) -> Simulation {
        let mut simulation = Simulation::new(options, engines);
        simulation.run_history(100);
        simulation
    }

    pub fn run_history(&mut self, runs: u64) {
        for n in 0..runs {
            for (class, work) in [(LOOKUP, 250_000.0), (REPORT, 4e6), (LOAD, 4e6)] {
                let spread = 0.7 + 0.6 * (n % 10) as f64 / 9.0;
                let id = self.start(class, class as u64, (n % 4) as u32, work * spread);
                let run = (work * spread / self.threads[class]) as Micros;
                self.now += run;
                self.finish(id);
            }
        }
        self.now += 60 * SECOND;
        self.decisions.clear();
    }

    pub fn job(&mut self, class: usize, fingerprint: u64, engine: u32, work: f64) -> Job {
        self.next += 1;
        Job {
            id: self.next,
            class,
            fingerprint,
            engine,
            group: None,
            announced: Announced::default(),
            work,
            slowdown: 1.0,
            rows: None,
            done: 0.0,
        }
    }

    pub fn start(&mut self, class: usize, fingerprint: u64, engine: u32, work: f64) -> u64 {
        let job = self.job(class, fingerprint, engine, work);
        self.run(job)
    }

    pub fn run(&mut self, job: Job) -> u64 {
        let fingerprint = FingerprintId(job.fingerprint);
        let label: Rc<str> = format!("kind {}", job.fingerprint).into();
        let held_as = self
            .detector
            .observe_arrival(self.now, fingerprint, job.class, &label);
        let attempt = AttemptId {
            statement: job.id,
            number: 0,
        };
        let start = AttemptStart {
            attempt,
            engine: EngineId(job.engine),
            class: job.class,
            name: name(job.id),
            fingerprint,
            held_as,
            label,
            announced: job.announced,
            group: job.group,
        };
        self.detector.start_attempt(self.now, start);
        let id = job.id;
        self.running.push(job);
        id
    }

    pub fn attempt(id: u64) -> AttemptId {
        AttemptId {
            statement: id,
            number: 0,
        }
    }

    pub fn finish(&mut self, id: u64) {
        let Some(at) = self.running.iter().position(|j| j.id == id) else {
            return;
        };
        let job = self.running.swap_remove(at);
        let work = Some(job.work as Micros).filter(|_| self.reports_progress);
        self.detector.end_attempt(
            self.now,
            Simulation::attempt(id),
            ExecutionOutcome::Succeeded,
            work,
        );
        self.collect_decisions();
    }

    pub fn collect_decisions(&mut self) {
        self.decisions.extend(self.detector.take_decisions());
    }

    /// Advances time in steps of half a second. Jobs progress, are reported on each second, and finish when their work
    /// is done.
    pub fn advance(&mut self, seconds: u64) {
        for half in 0..2 * seconds {
            self.now += SECOND / 2;
            let mut over = Vec::new();
            for job in &mut self.running {
                let rate = self.threads[job.class] / job.slowdown;
                job.done += rate * (SECOND / 2) as f64;
                if job.done >= job.work {
                    over.push(job.id);
                } else if self.reports_progress && half % 2 == 1 {
                    let fraction = job.done / job.work;
                    let report = ProgressReport {
                        work: Some(job.done as Micros),
                        done: Some(fraction),
                        rows: job.rows.map(|r| (r as f64 * fraction) as u64),
                        ..ProgressReport::default()
                    };
                    self.detector
                        .report_progress(self.now, Simulation::attempt(job.id), report);
                }
            }
            over.into_iter().for_each(|id| self.finish(id));
            self.detector.run_detection(self.now);
            self.collect_decisions();
        }
    }

    /// Removes a job without reporting its end.
    pub fn drop_job(&mut self, id: u64) {
        self.running.retain(|j| j.id != id);
    }

    /// Reports an attempt as blocked.
    pub fn report_blocked(&mut self, id: u64, state: BlockedState) {
        let report = ProgressReport {
            blocked_state: Some(state),
            ..ProgressReport::default()
        };
        self.detector
            .report_progress(self.now, Simulation::attempt(id), report);
    }

    pub fn report_blocked_by(&mut self, id: u64, blocker: &str) {
        let blocker = BlockingStatement {
            name: blocker.into(),
            class: None,
            age: None,
        };
        self.report_blocked(id, BlockedState::Statement(Some(blocker)));
    }

    pub fn found(&self) -> Vec<&Finding> {
        self.decisions
            .iter()
            .filter_map(|d| {
                if let Decision::Found(f) = d {
                    Some(&**f)
                } else {
                    None
                }
            })
            .collect()
    }

    /// Returns the statements found to be runaways, with the causes.
    pub fn runaways(&self) -> Vec<(String, Cause)> {
        let is_runaway = |f: &&Finding| f.verdict == Verdict::Runaway;
        let name = |f: &Finding| match &f.subject {
            Subject::Statement(name) => name.clone(),
            other => format!("{other:?}"),
        };
        self.found()
            .into_iter()
            .filter(is_runaway)
            .map(|f| (name(f), f.cause))
            .collect()
    }

    pub fn notices(&self) -> Vec<Cause> {
        self.found()
            .into_iter()
            .filter(|f| f.verdict == Verdict::Notice)
            .map(|f| f.cause)
            .collect()
    }

    pub fn holds(&self) -> Vec<&Hold> {
        self.decisions
            .iter()
            .filter_map(|d| {
                if let Decision::Hold(h) = d {
                    Some(h)
                } else {
                    None
                }
            })
            .collect()
    }
}
