//! Owns the events of a run: what passes between clients, routers and engines, each after the time it takes. The
//! routers are `hoptiller_statement_router`'s cores; the engines are the stand-ins' model.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::rc::Rc;

use hoptiller_mock_servers::model::{self, Admission, Model};
use hoptiller_policy::{
    AttemptStatus, EndpointEntry, EngineId, ListScope, LoadReport, Micros, Progress, Readiness,
};
use hoptiller_router_core::{
    AttemptOutcome, Command, Core, CoreLimits, EngineStatement, FinalResponse, PollOutcome,
    ResponseContent, ResultPage, RouterIdentity, StatementId, Submission, group_of,
};
use hoptiller_runaway::{BlockedState, Finding, Holder, ProgressReport, Proof, RunawayDetector};
use hoptiller_statement_router::service::RESPONSE_MARGIN;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::plan::Plan;

/// One way between two processes.
const WAY: Micros = 500;
/// Time between two polls of an attempt that runs, as the stand-ins' long poll has it.
const POLL: Micros = 1_000_000;
/// The clocks start here, so that engines have a past.
pub const START: Micros = 24 * 3_600_000_000;

/// What became of a statement.
#[derive(Clone, Debug, PartialEq)]
pub enum Came {
    /// Served.
    Served,
    /// Refused, or turned away.
    Refused,
    /// Failed: it may have run, or was cut.
    Failed,
    /// The run ended before.
    Open,
}

/// An attempt as its engine saw it.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The statement, by its place in the plan.
    pub statement: usize,
    /// The engine.
    pub engine: usize,
    /// When the engine took it.
    pub began: Micros,
    /// When it was over there, if it ever was.
    pub over: Option<Micros>,
    /// When it was seen to stand still, a second of it each time.
    pub stood: Vec<Micros>,
}

/// What a run gave.
#[derive(Clone, Debug, Default)]
pub struct Run {
    /// By statement of the plan: how it ended, and when.
    pub came: Vec<Option<(Came, Micros)>>,
    /// Attempts that engines took.
    pub attempts: Vec<Attempt>,
    /// Verdicts, by router and time.
    pub findings: Vec<(usize, Micros, Finding)>,
    /// By router: the statements of the plan, by the router's numbers.
    pub numbers: Vec<BTreeMap<StatementId, usize>>,
    /// Engines that fell over.
    pub fallen: usize,
}

impl Run {
    /// The statement of the plan that engines know by this name.
    pub fn named(&self, name: &str) -> Option<usize> {
        let (router, rest) = name.strip_prefix('r')?.split_once('/')?;
        let (number, _) = rest.split_once('_')?;
        self.numbers
            .get(router.parse::<usize>().ok()?)?
            .get(&number.parse().ok()?)
            .copied()
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Submit(usize),
    Round(usize),
    /// An attempt reaches its engine: router, statement, hop, engine.
    Arrive(usize, StatementId, u32, usize),
    Engine(usize),
    /// The router polls: engine and the engine's number of the job.
    Poll(usize, u64),
    /// The router gives an attempt up.
    Late(usize, StatementId, u32),
    Probe(usize, usize),
    /// The client polls.
    Ask(usize, StatementId),
}

/// A job at an engine, and whose it is.
#[derive(Clone, Debug)]
struct Held {
    router: usize,
    id: StatementId,
    hop: u32,
    attempt: usize,
    /// The router does not wait for it any more.
    orphan: bool,
}

struct EngineState {
    model: Model,
    held: BTreeMap<u64, Held>,
    next: u64,
    wake: Option<Micros>,
}

struct RouterState {
    core: Core,
    names: RouterIdentity,
    round: bool,
    wake: Option<Micros>,
    /// Jobs of attempts that are out.
    out: BTreeMap<(StatementId, u32), (usize, u64)>,
    pages: BTreeMap<StatementId, u64>,
    /// Priority and grant of an attempt that is on its way.
    terms: BTreeMap<(StatementId, u32), (Option<u8>, f64)>,
}

struct World<'p> {
    plan: &'p Plan,
    now: Micros,
    events: BinaryHeap<Reverse<(Micros, u64, What)>>,
    order: u64,
    routers: Vec<RouterState>,
    engines: Vec<EngineState>,
    rng: StdRng,
    run: Run,
}

/// Plays a plan to its end.
pub fn play(plan: &Plan, seed: u64) -> Run {
    let mut world = World::new(plan, seed);
    while let Some(Reverse((at, _, what))) = world.events.pop() {
        if at > START + plan.lasts {
            break;
        }
        world.now = at;
        world.happen(what);
    }
    world.run
}

impl<'p> World<'p> {
    fn new(plan: &'p Plan, seed: u64) -> World<'p> {
        let n = plan.settings.router.fleet_size as usize;
        let l = &plan.settings.limits;
        let micros = |d: std::time::Duration| d.as_micros() as Micros;
        let bounds = CoreLimits {
            max_open_statements: l.max_open_statements,
            max_retained_responses: l.max_retained_responses,
            retention: micros(l.retention),
            abandon_after: Micros::MAX / 4,
            max_buffered_bytes: l.max_buffered_bytes,
            response_margin: RESPONSE_MARGIN,
        };
        let routers = (0..n).map(|index| {
            let mut settings = plan.settings.clone();
            settings.router.index = index as u32;
            let names = RouterIdentity {
                router: format!("r{index}"),
                incarnation: "emulated".into(),
            };
            let watch = RunawayDetector::new(settings.runaway_settings());
            let core = Core::new(
                settings.policy_settings(),
                seed ^ index as u64,
                bounds,
                Some(watch),
                names.clone(),
            )
            .unwrap_or_else(|e| unreachable!("checked settings: {e}"));
            let (out, pages, terms) = Default::default();
            RouterState {
                core,
                names,
                round: false,
                wake: None,
                out,
                pages,
                terms,
            }
        });
        let engines = plan.engines.iter().map(|e| EngineState {
            model: Model::new(e.spec.clone(), START, false),
            held: BTreeMap::new(),
            next: 0,
            wake: None,
        });
        let mut world = World {
            plan,
            now: START,
            events: BinaryHeap::new(),
            order: 0,
            routers: routers.collect(),
            engines: engines.collect(),
            rng: StdRng::seed_from_u64(seed),
            run: Run {
                came: vec![None; plan.statements.len()],
                numbers: vec![BTreeMap::new(); n],
                ..Run::default()
            },
        };
        let entry = |(n, e): (usize, &crate::plan::Engine)| EndpointEntry {
            engine: EngineId(n as u32),
            zone: Some(e.zone),
            kind: Some(e.kind),
            cell: 0,
            ready_at: 0,
            readiness: Readiness::Up,
        };
        let entries: Vec<EndpointEntry> = plan.engines.iter().enumerate().map(entry).collect();
        for router in 0..n {
            world.routers[router]
                .core
                .update_endpoints(START, ListScope::All, entries.clone());
            world.settle(router);
        }
        for (at, s) in plan.statements.iter().enumerate() {
            world.after(START + s.at - world.now, What::Submit(at));
        }
        world
    }

    fn after(&mut self, wait: Micros, what: What) {
        self.order += 1;
        self.events
            .push(Reverse((self.now + wait, self.order, what)));
    }

    fn happen(&mut self, what: What) {
        match what {
            What::Submit(at) => self.submit(at),
            What::Round(router) => {
                let r = &mut self.routers[router];
                r.round = false;
                r.wake = r.wake.filter(|at| *at > self.now);
                r.core.run_batch(self.now);
                self.settle(router);
            }
            What::Arrive(router, id, hop, engine) => self.arrive(router, id, hop, engine),
            What::Engine(engine) => {
                self.engines[engine].wake = None;
                self.advance(engine);
            }
            What::Poll(engine, job) => self.poll(engine, job),
            What::Late(router, id, hop) => {
                if let Some((engine, job)) = self.routers[router].out.remove(&(id, hop)) {
                    if let Some(held) = self.engines[engine].held.get_mut(&job) {
                        held.orphan = true;
                    }
                    self.end(
                        router,
                        id,
                        hop,
                        AttemptStatus::TimedOut,
                        "the engine did not finish in time",
                        None,
                    );
                }
            }
            What::Probe(router, engine) => {
                self.advance(engine);
                let report = self.report(engine);
                self.routers[router]
                    .core
                    .report_health_check(EngineId(engine as u32), report);
                self.settle(router);
            }
            What::Ask(router, id) => self.ask(router, id),
        }
    }

    // ---- clients --------------------------------------------------------------------------------

    fn submit(&mut self, at: usize) {
        let s = &self.plan.statements[at];
        let router = s.router;
        let submission = Submission {
            class: s.class,
            tenant: None,
            ordering_key: None,
            group: s.tables.as_deref().map(group_of),
            estimated_work: None,
            estimated_memory_mb: 0.0,
            fingerprint: s.fingerprint,
            label: format!("kind {}", s.fingerprint).into(),
            announced: s.announced,
            is_retry: false,
            timeout: None,
            work: Rc::new(EngineStatement {
                text: at.to_string(),
                fields: Vec::new(),
            }),
        };
        let r = &mut self.routers[router];
        match r.core.submit(self.now, submission) {
            Ok(id) => {
                self.run.numbers[router].insert(id, at);
                r.pages.insert(id, 0);
                self.ask(router, id);
            }
            Err(_) => self.run.came[at] = Some((Came::Refused, self.now)),
        }
        self.settle(router);
    }

    /// A client takes all that there is for it.
    fn ask(&mut self, router: usize, id: StatementId) {
        loop {
            let r = &mut self.routers[router];
            let Some(page) = r.pages.get(&id).copied() else {
                return;
            };
            let PollOutcome::Response(answer) = r.core.poll(self.now, id, page) else {
                break;
            };
            r.pages.insert(id, page + 1);
            if !answer.is_final() {
                continue;
            }
            r.pages.remove(&id);
            let came = match &answer.content {
                ResponseContent::Rows(_) | ResponseContent::Final(FinalResponse::Completed) => {
                    Came::Served
                }
                ResponseContent::Final(
                    FinalResponse::Rejected { .. } | FinalResponse::TerminatedByRule { .. },
                ) => Came::Refused,
                _ => Came::Failed,
            };
            if let Some(at) = self.run.numbers[router].get(&id) {
                self.run.came[*at] = Some((came, self.now));
            }
            break;
        }
        self.settle(router);
    }

    // ---- routers --------------------------------------------------------------------------------

    /// Carries out what a core wants, and sees to its next round.
    fn settle(&mut self, router: usize) {
        while let Some(command) = self.routers[router].core.next_command() {
            self.command(router, command);
        }
        let r = &mut self.routers[router];
        if r.core.has_events() && !r.round {
            r.round = true;
            self.after(100, What::Round(router));
        }
        let r = &mut self.routers[router];
        if let Some(at) = r.core.wake_at().map(|at| at.max(self.now))
            && r.wake.is_none_or(|w| at < w)
        {
            r.wake = Some(at);
            let wait = at - self.now;
            self.after(wait, What::Round(router));
        }
    }

    fn command(&mut self, router: usize, command: Command) {
        match command {
            Command::Send(a) => {
                self.routers[router]
                    .terms
                    .insert((a.id, a.number), (a.priority, a.memory_grant_mb));
                self.after(
                    WAY,
                    What::Arrive(router, a.id, a.number, a.engine.0 as usize),
                );
                self.after(
                    a.deadline.saturating_sub(self.now),
                    What::Late(router, a.id, a.number),
                );
            }
            Command::Cancel { id, attempt: hop } => {
                self.take_off(router, id, hop);
                self.end(router, id, hop, AttemptStatus::Cancelled, "withdrawn", None);
            }
            Command::Release { id, attempt: hop } => self.take_off(router, id, hop),
            Command::Kill { id, attempt: hop } => {
                let Some((engine, job)) = self.routers[router].out.remove(&(id, hop)) else {
                    return;
                };
                self.advance(engine);
                let e = &mut self.engines[engine];
                let killed = e.model.kill(self.now, job);
                if let Some(held) = e.held.remove(&job) {
                    self.run.attempts[held.attempt].over = Some(self.now);
                }
                self.wake(engine);
                if killed {
                    let core = &mut self.routers[router].core;
                    core.finish_killed_attempt(
                        self.now,
                        id,
                        hop,
                        Proof::RolledBack,
                        "by rule".into(),
                    );
                }
            }
            Command::Pause {
                id,
                attempt: hop,
                paused,
            } => {
                if let Some((engine, job)) = self.routers[router].out.get(&(id, hop)).copied() {
                    self.advance(engine);
                    self.engines[engine].model.pause(self.now, job, paused);
                    self.wake(engine);
                }
            }
            Command::HealthCheck(engine) => {
                self.after(2 * WAY, What::Probe(router, engine.0 as usize))
            }
            Command::NotifyWaiters(id) => self.after(WAY, What::Ask(router, id)),
            Command::ReportFinding(finding) => self.run.findings.push((router, self.now, *finding)),
            Command::Fetch { .. } | Command::RefreshDiscovery | Command::Settled { .. } => {}
        }
    }

    /// An attempt is not wanted any more: its engine stops it, where it can.
    fn take_off(&mut self, router: usize, id: StatementId, hop: u32) {
        let Some((engine, job)) = self.routers[router].out.remove(&(id, hop)) else {
            return;
        };
        self.advance(engine);
        let e = &mut self.engines[engine];
        match e.model.cancel(self.now, job) {
            true => {
                if let Some(held) = e.held.remove(&job) {
                    self.run.attempts[held.attempt].over = Some(self.now);
                }
            }
            false => {
                if let Some(held) = e.held.get_mut(&job) {
                    held.orphan = true;
                }
            }
        }
        self.wake(engine);
    }

    fn end(
        &mut self,
        router: usize,
        id: StatementId,
        hop: u32,
        ending: AttemptStatus,
        why: &str,
        report: Option<LoadReport>,
    ) {
        let ended = AttemptOutcome {
            status: ending,
            reason: why.into(),
            load_report: report,
        };
        self.routers[router]
            .core
            .finish_attempt(self.now, id, hop, ended);
        self.settle(router);
    }

    // ---- engines --------------------------------------------------------------------------------

    fn report(&self, engine: usize) -> Option<LoadReport> {
        let load = self.engines[engine].model.load();
        let told = LoadReport {
            in_flight: None,
            memory: Some(load.memory),
            cpu: Some(load.cpu),
        };
        self.plan.reports.then_some(told)
    }

    fn arrive(&mut self, router: usize, id: StatementId, hop: u32, engine: usize) {
        let (priority, grant) = self.routers[router]
            .terms
            .remove(&(id, hop))
            .unwrap_or_default();
        let Some(at) = self.run.numbers[router].get(&id).copied() else {
            return;
        };
        self.advance(engine);
        let mut job = self.plan.statements[at].job.clone();
        job.priority = priority.unwrap_or(1);
        job.grant = (grant > 0.0).then_some(grant);
        let e = &mut self.engines[engine];
        let number = e.next;
        e.next += 1;
        match e.model.admit(self.now, number, job) {
            Admission::Taken => {
                let attempt = self.run.attempts.len();
                self.run.attempts.push(Attempt {
                    statement: at,
                    engine,
                    began: self.now,
                    over: None,
                    stood: vec![],
                });
                e.held.insert(
                    number,
                    Held {
                        router,
                        id,
                        hop,
                        attempt,
                        orphan: false,
                    },
                );
                self.routers[router].out.insert((id, hop), (engine, number));
                self.after(POLL, What::Poll(engine, number));
            }
            Admission::Full => {
                let report = self.report(engine);
                self.end(router, id, hop, AttemptStatus::Rejected, "full", report);
            }
            Admission::Fell => {
                self.run.fallen += 1;
                let lost: Vec<Held> = std::mem::take(&mut self.engines[engine].held)
                    .into_values()
                    .collect();
                for held in lost.into_iter().filter(|h| !h.orphan) {
                    self.routers[held.router].out.remove(&(held.id, held.hop));
                    self.end(
                        held.router,
                        held.id,
                        held.hop,
                        AttemptStatus::ConnectionReset,
                        "the engine fell over",
                        None,
                    );
                }
                self.end(
                    router,
                    id,
                    hop,
                    AttemptStatus::ConnectionReset,
                    "the engine fell over",
                    None,
                );
            }
        }
        self.wake(engine);
    }

    /// Moves an engine on to now, and passes on what has ended.
    fn advance(&mut self, engine: usize) {
        let over = self.engines[engine].model.advance(self.now);
        for job in over {
            let Some(held) = self.engines[engine].held.remove(&job) else {
                continue;
            };
            self.run.attempts[held.attempt].over = Some(self.now);
            let report = self.report(engine);
            if held.orphan {
                continue;
            }
            self.routers[held.router].out.remove(&(held.id, held.hop));
            let statement = self.run.attempts[held.attempt].statement;
            let work = self.plan.statements[statement].job.work as Micros;
            let work = self.plan.settings.engines.reports_work.then_some(work);
            let page = ResultPage {
                is_last: true,
                load_report: report,
                work,
                ..ResultPage::default()
            };
            self.routers[held.router]
                .core
                .accept_page(self.now, held.id, held.hop, page);
            self.settle(held.router);
        }
        self.wake(engine);
    }

    fn wake(&mut self, engine: usize) {
        let e = &mut self.engines[engine];
        if let Some(at) = e.model.next().map(|at| at.max(self.now))
            && e.wake.is_none_or(|w| at < w)
        {
            e.wake = Some(at);
            let wait = at - self.now;
            self.after(wait, What::Engine(engine));
        }
    }

    /// The answer to a poll of an attempt that runs.
    fn poll(&mut self, engine: usize, job: u64) {
        self.advance(engine);
        let e = &self.engines[engine];
        let Some(held) = e.held.get(&job).filter(|h| !h.orphan).cloned() else {
            return;
        };
        self.after(POLL, What::Poll(engine, job));
        let Some(course) = self.engines[engine].model.course(job) else {
            return;
        };
        if course.stands.is_some() {
            self.run.attempts[held.attempt].stood.push(self.now);
        }
        if !self.plan.notes {
            return;
        }
        let e = &self.engines[engine];
        let reads = self.plan.statements[self.run.attempts[held.attempt].statement].reads;
        let noise = 1.0 + self.plan.rough * self.rng.random_range(-1.0..1.0);
        let done = (course.done * noise).clamp(0.0, 0.99);
        let stands = course.stands.map(|why| match why {
            model::Stands::Memory => BlockedState::Memory,
            model::Stands::Paused => BlockedState::Behind(None),
            model::Stands::Behind(other) => {
                BlockedState::Behind(e.held.get(&other).map(|h| Holder {
                    name: self.routers[h.router].names.statement_name(h.id),
                    class: Some(self.plan.statements[self.run.attempts[h.attempt].statement].class),
                    age: e.model.course(other).map(|c| c.ran),
                }))
            }
        });
        let progress = if stands.is_some() {
            Progress::Blocked
        } else {
            Progress::Completed(done)
        };
        let news = ProgressReport {
            work: (course.worked > 1000.0).then_some(course.worked as Micros),
            done: stands.is_none().then_some(done),
            rows: Some((reads as f64 * course.done) as u64),
            memory_mb: (course.memory > 0.0).then_some(course.memory),
            spills: course.spills,
            blocked_state: stands,
        };
        let core = &mut self.routers[held.router].core;
        core.report_progress(held.id, held.hop, progress);
        core.update_attempt_status(self.now, held.id, held.hop, news);
        self.settle(held.router);
    }
}
