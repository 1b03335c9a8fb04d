//! A small world for verdicts: engines, kinds with a past, attempts that are told of.
#![allow(dead_code)]

use std::rc::Rc;

use hoptiller_policy::{EngineId, Hold, Idempotency, Micros};
use hoptiller_runaway::*;

pub const S: Micros = 1_000_000;

pub const LOOKUP: usize = 0;
pub const REPORT: usize = 1;
pub const LOAD: usize = 2;

pub fn class(
    name: &str,
    aim: Micros,
    threads: f64,
    effect: Idempotency,
    acts: EnforcementOptions,
) -> Class {
    let holds = effect == Idempotency::NotIdempotent;
    Class {
        name: name.into(),
        aim,
        patience: 25 * S,
        threads,
        effect,
        holds,
        enforcement: acts,
    }
}

pub const NAME_AND_HOLD: EnforcementOptions = EnforcementOptions {
    name: true,
    hold: true,
    lower: false,
    pause: false,
    end: false,
};

pub fn settings(acts: EnforcementOptions) -> Settings {
    Settings {
        classes: vec![
            class("lookup", 3 * S / 2, 1.0, Idempotency::Idempotent, acts),
            class("report", 2 * S, 2.0, Idempotency::Idempotent, acts),
            class("rent-load", 3 * S, 2.0, Idempotency::NotIdempotent, acts),
        ],
        kinds: 1000,
        pause_for: 10 * S,
        end_after: 5 * S,
    }
}

/// A statement that runs in this world.
#[derive(Clone)]
pub struct Job {
    pub id: u64,
    pub class: usize,
    pub kind: u64,
    pub engine: u32,
    pub group: Option<u64>,
    pub announced: Announced,
    /// Work in all, over all threads, in µs; and how many times slower it runs than its threads could.
    pub work: f64,
    pub slow: f64,
    pub rows: Option<u64>,
    /// It ends only when told to.
    pub done: f64,
}

pub struct World {
    pub detector: RunawayDetector,
    pub now: Micros,
    /// Engines tell of progress and work.
    pub notes: bool,
    pub running: Vec<Job>,
    pub heard: Vec<Decision>,
    next: u64,
    threads: Vec<f64>,
}

pub fn name(id: u64) -> String {
    format!("r1/{id:05}_life")
}

impl World {
    pub fn new(acts: EnforcementOptions, engines: u32) -> World {
        World::of(settings(acts), engines)
    }

    pub fn of(settings: Settings, engines: u32) -> World {
        let threads = settings.classes.iter().map(|c| c.threads).collect();
        let mut detector = RunawayDetector::new(settings);
        let listed = |n| EngineStatus {
            engine: EngineId(n),
            up: true,
            classes: vec![true; 3],
        };
        detector.update_engines((0..engines).map(listed).collect());
        World {
            detector,
            now: 100 * S,
            notes: true,
            running: vec![],
            heard: vec![],
            next: 0,
            threads,
        }
    }

    /// A world in which each of three kinds has run a hundred times: lookups of 0.25 s, reports of 2 s, loads of 2 s.
    pub fn with_past(acts: EnforcementOptions, engines: u32) -> World {
        let mut w = World::new(acts, engines);
        w.past(100);
        w
    }

    pub fn past(&mut self, runs: u64) {
        for n in 0..runs {
            for (class, work) in [(LOOKUP, 250_000.0), (REPORT, 4e6), (LOAD, 4e6)] {
                let spread = 0.7 + 0.6 * (n % 10) as f64 / 9.0;
                let id = self.start(class, class as u64, (n % 4) as u32, work * spread);
                let run = (work * spread / self.threads[class]) as Micros;
                self.now += run;
                self.finish(id);
            }
        }
        self.now += 60 * S;
        self.heard.clear();
    }

    pub fn job(&mut self, class: usize, kind: u64, engine: u32, work: f64) -> Job {
        self.next += 1;
        Job {
            id: self.next,
            class,
            kind,
            engine,
            group: None,
            announced: Announced::default(),
            work,
            slow: 1.0,
            rows: None,
            done: 0.0,
        }
    }

    pub fn start(&mut self, class: usize, kind: u64, engine: u32, work: f64) -> u64 {
        let job = self.job(class, kind, engine, work);
        self.run(job)
    }

    pub fn run(&mut self, job: Job) -> u64 {
        let kind = FingerprintId(job.kind);
        let label: Rc<str> = format!("kind {}", job.kind).into();
        let held_as = self
            .detector
            .observe_arrival(self.now, kind, job.class, &label);
        let attempt = AttemptId {
            statement: job.id,
            hop: 0,
        };
        let start = AttemptStart {
            attempt,
            engine: EngineId(job.engine),
            class: job.class,
            name: name(job.id),
            kind,
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
            hop: 0,
        }
    }

    pub fn finish(&mut self, id: u64) {
        let Some(at) = self.running.iter().position(|j| j.id == id) else {
            return;
        };
        let job = self.running.swap_remove(at);
        let work = Some(job.work as Micros).filter(|_| self.notes);
        self.detector.end_attempt(
            self.now,
            World::attempt(id),
            ExecutionOutcome::Succeeded,
            work,
        );
        self.hear();
    }

    pub fn hear(&mut self) {
        self.heard.extend(self.detector.take_decisions());
    }

    /// Time goes on in half seconds; jobs progress, are told of each second, and end when they are done.
    pub fn go(&mut self, seconds: u64) {
        for half in 0..2 * seconds {
            self.now += S / 2;
            let mut over = Vec::new();
            for job in &mut self.running {
                let rate = self.threads[job.class] / job.slow;
                job.done += rate * (S / 2) as f64;
                if job.done >= job.work {
                    over.push(job.id);
                } else if self.notes && half % 2 == 1 {
                    let share = job.done / job.work;
                    let news = ProgressReport {
                        work: Some(job.done as Micros),
                        done: Some(share),
                        rows: job.rows.map(|r| (r as f64 * share) as u64),
                        ..ProgressReport::default()
                    };
                    self.detector
                        .report_progress(self.now, World::attempt(job.id), news);
                }
            }
            over.into_iter().for_each(|id| self.finish(id));
            self.detector.run_detection(self.now);
            self.hear();
        }
    }

    /// Takes a job out of the world without its end being told.
    pub fn lose(&mut self, id: u64) {
        self.running.retain(|j| j.id != id);
    }

    /// An engine tells that one stands still.
    pub fn stands(&mut self, id: u64, why: BlockedState) {
        let news = ProgressReport {
            blocked_state: Some(why),
            ..ProgressReport::default()
        };
        self.detector
            .report_progress(self.now, World::attempt(id), news);
    }

    pub fn behind(&mut self, id: u64, holder: &str) {
        let holder = Holder {
            name: holder.into(),
            class: None,
            age: None,
        };
        self.stands(id, BlockedState::Behind(Some(holder)));
    }

    pub fn found(&self) -> Vec<&Finding> {
        self.heard
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

    /// Names of statements found to be runaways.
    pub fn runaways(&self) -> Vec<(String, Cause)> {
        let of = |f: &&Finding| f.verdict == Verdict::Runaway;
        let name = |f: &Finding| match &f.subject {
            Subject::Statement(name) => name.clone(),
            other => format!("{other:?}"),
        };
        self.found()
            .into_iter()
            .filter(of)
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
        self.heard
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
