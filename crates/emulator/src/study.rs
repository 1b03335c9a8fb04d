//! Owns the study of runaways: seeded runs with planted runaways and large reports, how soon each runaway is found
//! and whether anything else is, beside fixed limits of time in the same runs; and what holding changes for the
//! rest.

use std::collections::BTreeMap;

use hoptiller_mock_servers::model::{Job, Spec};
use hoptiller_policy::Micros;
use hoptiller_runaway::{Announced, Subject, Verdict};
use hoptiller_statement_router::Settings;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use serde::Serialize;

use crate::plan::{Engine, Plan, Planted, Statement};
use crate::world::{Came, Run, START, play};

const S: Micros = 1_000_000;
/// Traffic without anything planted, for kinds to become known; then with; and the length of a run.
const LEARN: Micros = 240 * S;
const PLANT_UNTIL: Micros = 420 * S;
const LASTS: Micros = 600 * S;
/// Fixed limits that are compared, in s.
pub const LIMITS: [u64; 3] = [5, 15, 60];

const LOOKUP: usize = 0;
const REPORT: usize = 1;
const LOAD: usize = 2;
/// By class: statements a second, kinds, mean work in ms of the lightest kind and of the heaviest.
const TRAFFIC: [(f64, u64, f64, f64); 3] = [
    (70.0, 6, 150.0, 400.0),
    (2.4, 4, 2_000.0, 6_000.0),
    (1.0, 3, 2_500.0, 4_500.0),
];
/// Groups of tables.
const GROUPS: u64 = 24;

/// Conditions of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Condition {
    /// Engines tell of their statements.
    pub notes: bool,
    /// Engines tell their load.
    pub reports: bool,
    /// Runaways' kinds are held.
    pub hold: bool,
    /// Runaways are ended, 5 s after they are named: engines let it be done, and prove that all is undone.
    pub end: bool,
}

impl Condition {
    /// What the settings say: named and held.
    const SET: Condition = Condition {
        notes: true,
        reports: true,
        hold: true,
        end: false,
    };
    /// Those that are run.
    pub const ALL: [Condition; 5] = [
        Condition::SET,
        Condition {
            hold: false,
            ..Condition::SET
        },
        Condition {
            end: true,
            ..Condition::SET
        },
        Condition {
            notes: false,
            ..Condition::SET
        },
        Condition {
            reports: false,
            ..Condition::SET
        },
    ];

    /// In words.
    pub fn word(&self) -> String {
        let parts = [
            (!self.notes, "without notes"),
            (!self.reports, "without reports"),
            (!self.hold, "without holding"),
            (self.end, "ended by rule"),
        ];
        let all: Vec<&str> = parts.iter().filter(|p| p.0).map(|p| p.1).collect();
        if all.is_empty() {
            "as set".into()
        } else {
            all.join(", ")
        }
    }
}

/// What one run gave.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// The seed.
    pub seed: u64,
    /// The conditions.
    pub condition: Condition,
    /// Runaways: what was planted, and after how many s of running it was found, the time for which it stood behind
    /// others left out; `None`: never.
    pub found: Vec<(&'static str, Option<f64>)>,
    /// Large reports that ran, and verdicts on them.
    pub large: usize,
    /// See there.
    pub large_flagged: usize,
    /// Other statements, and verdicts on them.
    pub others: usize,
    /// See there.
    pub others_flagged: usize,
    /// Notices: engines, kinds.
    pub notices: usize,
    /// By fixed limit: runaways found, large reports flagged, others flagged.
    pub limits: Vec<(u64, usize, usize, usize)>,
    /// Worth of what was answered on time, as part of all; planted runaways left out.
    pub worth: f64,
    /// Lookups of tables that a planted load held while they came, and those of them served on time.
    pub behind: usize,
    /// See there.
    pub behind_on_time: usize,
    /// Engines that fell over.
    pub fallen: usize,
}

/// Draws a run. The same seed plants the same statements under all conditions.
pub fn draw(settings: &Settings, condition: Condition, seed: u64, engines: usize) -> Plan {
    let mut settings = settings.clone();
    settings.engines.load_reports = condition.reports;
    settings.engines.health_checks &= condition.reports;
    for acts in &mut settings.runaways.enforcement {
        acts.hold &= condition.hold;
        acts.end |= condition.end;
    }
    settings.runaways.kill_after = std::time::Duration::from_secs(5);
    let mut rng = StdRng::seed_from_u64(seed);
    let engines = (0..engines)
        .map(|n| Engine {
            kind: n % 2,
            zone: n % 3,
            spec: Spec::default(),
        })
        .collect();
    let mut statements = usual(&settings, &mut rng);
    plant(&settings, &mut rng, &mut statements);
    statements.sort_by_key(|s| s.at);
    Plan {
        settings,
        engines,
        statements,
        lasts: LASTS,
        notes: condition.notes,
        reports: condition.reports,
        rough: 0.15,
    }
}

/// Mean work of a kind, in µs: alike in all runs.
fn mean_work(class: usize, kind: u64) -> f64 {
    let (_, kinds, least, most) = TRAFFIC[class];
    1000.0 * (least + (most - least) * kind as f64 / (kinds - 1) as f64)
}

fn statement(
    settings: &Settings,
    rng: &mut StdRng,
    at: Micros,
    class: usize,
    kind: u64,
    work: f64,
) -> Statement {
    let (io, memory) = [(0.3, 20.0), (0.45, 200.0), (0.55, 150.0)][class];
    let group = rng.random_range(0..GROUPS);
    let job = Job {
        work,
        threads: settings.classes[class].threads,
        io,
        memory,
        grant: None,
        set: Some(group),
        holds: settings.classes[class].holds_tables,
        priority: 1,
        then: None,
    };
    Statement {
        at,
        router: rng.random_range(0..settings.router.fleet_size as usize),
        class,
        fingerprint: class as u64 * 100 + kind,
        job,
        reads: (work / 10.0) as u64,
        tables: Some(format!("g{group}")),
        announced: Announced::default(),
        planted: None,
    }
}

fn usual(settings: &Settings, rng: &mut StdRng) -> Vec<Statement> {
    let mut all = Vec::new();
    for (class, (rate, kinds, ..)) in TRAFFIC.iter().enumerate() {
        let mut at = 0.0;
        loop {
            // Poisson arrivals.
            at += -(1.0 - rng.random_range(0.0..1.0f64)).ln() / rate;
            let time = (at * 1e6) as Micros;
            if time >= LASTS {
                break;
            }
            let kind = rng.random_range(0..*kinds);
            let work = mean_work(class, kind) * rng.random_range(0.5..1.5);
            all.push(statement(settings, rng, time, class, kind, work));
        }
    }
    all
}

fn plant(settings: &Settings, rng: &mut StdRng, all: &mut Vec<Statement>) {
    let planted = [
        (Planted::Heavy, REPORT),
        (Planted::Heavy, REPORT),
        (Planted::Heavy, LOOKUP),
        (Planted::BadPlan, REPORT),
        (Planted::BlockingLoad, LOAD),
        (Planted::BlockingLoad, LOAD),
        (Planted::Large, REPORT),
        (Planted::Large, REPORT),
        (Planted::Announced, REPORT),
        (Planted::Announced, REPORT),
    ];
    // One to each part of the time, in any order.
    let part = (PLANT_UNTIL - LEARN) / planted.len() as u64;
    let mut places: Vec<u64> = (0..planted.len() as u64).collect();
    places.shuffle(rng);
    for ((what, class), place) in planted.into_iter().zip(places) {
        let at = LEARN + place * part + rng.random_range(0..part);
        let kind = rng.random_range(0..TRAFFIC[class].1);
        let usual = mean_work(class, kind);
        let times = match what {
            Planted::Heavy if class == LOOKUP => rng.random_range(150.0..400.0),
            Planted::Heavy | Planted::BadPlan => rng.random_range(40.0..120.0),
            Planted::BlockingLoad => rng.random_range(30.0..80.0),
            Planted::Large | Planted::Announced => 10.0,
        };
        let mut s = statement(settings, rng, at, class, kind, usual * times);
        s.planted = Some(what);
        if what == Planted::BadPlan {
            s.reads = (usual / 10.0) as u64;
        }
        if what == Planted::Announced {
            s.announced = Announced {
                size: 12,
                estimate: None,
            };
        }
        all.push(s);
    }
}

/// Draws and plays a run, and takes its figures.
pub fn run(settings: &Settings, condition: Condition, seed: u64, engines: usize) -> Figures {
    let plan = draw(settings, condition, seed, engines);
    let run = play(&plan, seed);
    figures(&plan, &run, condition, seed)
}

fn figures(plan: &Plan, run: &Run, condition: Condition, seed: u64) -> Figures {
    // By statement: when an engine first took it, and the longest that one attempt was there.
    let mut began: BTreeMap<usize, Micros> = BTreeMap::new();
    let mut longest: BTreeMap<usize, Micros> = BTreeMap::new();
    for a in &run.attempts {
        began.entry(a.statement).or_insert(a.began);
        let there = a.over.unwrap_or(START + plan.lasts) - a.began;
        let most = longest.entry(a.statement).or_default();
        *most = (*most).max(there);
    }
    let mut flagged: BTreeMap<usize, Micros> = BTreeMap::new();
    let mut notices = 0;
    for (_, at, f) in &run.findings {
        notices += usize::from(f.verdict == Verdict::Notice);
        if let (Verdict::Runaway, Subject::Statement(name)) = (f.verdict, &f.subject)
            && let Some(statement) = run.named(name)
        {
            flagged.entry(statement).or_insert(*at);
        }
    }
    let planted = |at: &usize| plan.statements[*at].planted;
    let is_runaway = |at: &usize| planted(at).is_some_and(Planted::is_runaway);
    let is_large = |at: &usize| planted(at).is_some_and(|p| !p.is_runaway());
    let is_other = |at: &usize| planted(at).is_none();
    let count = |of: &dyn Fn(&usize) -> bool| began.keys().filter(|at| of(at)).count();
    let count_flagged = |of: &dyn Fn(&usize) -> bool| flagged.keys().filter(|at| of(at)).count();
    let over = |limit: u64, of: &dyn Fn(&usize) -> bool| {
        longest
            .iter()
            .filter(|(at, there)| of(at) && **there > limit * S)
            .count()
    };
    let stood = |at: &usize, until: Micros| {
        let of = run.attempts.iter().filter(|a| a.statement == *at);
        of.flat_map(|a| &a.stood)
            .filter(|when| **when <= until)
            .count() as f64
    };
    let found = began
        .iter()
        .filter(|(at, _)| is_runaway(at))
        .map(|(at, began)| {
            // One that stands behind another does not run yet.
            let after = flagged
                .get(at)
                .map(|f| ((f - began) as f64 / 1e6 - stood(at, *f)).max(0.0));
            (planted(at).map_or("", Planted::word), after)
        });
    let on_time = |at: usize| {
        let s = &plan.statements[at];
        let c = &plan.settings.classes[s.class];
        let aim =
            c.latency_objective.as_secs_f64() * 1e6 + c.objective_stretch * s.job.work / c.threads;
        match &run.came[at] {
            Some((Came::Served, when)) if (when - START - s.at) as f64 <= aim => 1.0,
            Some((Came::Served, _)) => c.late_weight_ratio,
            _ => 0.0,
        }
    };
    let (mut got, mut all) = (0.0, 0.0);
    let (mut behind, mut behind_on_time) = (0, 0);
    // When each planted load held its tables.
    let held: Vec<(Option<&String>, Micros, Micros)> = run
        .attempts
        .iter()
        .filter(|a| planted(&a.statement) == Some(Planted::BlockingLoad))
        .map(|a| {
            (
                plan.statements[a.statement].tables.as_ref(),
                a.began,
                a.over.unwrap_or(START + plan.lasts),
            )
        })
        .collect();
    for (at, s) in plan.statements.iter().enumerate() {
        // What comes near the end has no time to be answered.
        if is_runaway(&at) || s.at < LEARN || s.at + 30 * S > plan.lasts {
            continue;
        }
        let (part, worth) = (on_time(at), plan.settings.classes[s.class].priority_weight);
        (got, all) = (got + part * worth, all + worth);
        let came = START + s.at;
        let is_behind = |h: &(Option<&String>, Micros, Micros)| {
            h.0 == s.tables.as_ref() && (h.1..h.2).contains(&came)
        };
        if s.class == LOOKUP && held.iter().any(is_behind) {
            behind += 1;
            behind_on_time += usize::from(part == 1.0);
        }
    }
    let limit = |l: u64| {
        (
            l,
            over(l, &is_runaway),
            over(l, &is_large),
            over(l, &is_other),
        )
    };
    Figures {
        seed,
        condition,
        found: found.collect(),
        large: count(&is_large),
        large_flagged: count_flagged(&is_large),
        others: count(&is_other),
        others_flagged: count_flagged(&is_other),
        notices,
        limits: LIMITS.map(limit).to_vec(),
        worth: got / all,
        behind,
        behind_on_time,
        fallen: run.fallen,
    }
}

#[cfg(test)]
mod tests;
