//! The core without sockets: generated courses of clients and engines, checked against what every course keeps.

use std::collections::BTreeMap;
use std::rc::Rc;

use hoptiller_policy::{AttemptStatus, EndpointEntry, EngineId, ListScope, Micros, Readiness};
use hoptiller_router_core::{
    AttemptOutcome, Command, Core, CoreLimits, EngineError, EngineStatement, FinalResponse,
    PollOutcome, ResponseContent, ResultPage, RouterIdentity, StatementId, StatementResponse,
    Submission,
};
use hoptiller_runaway::{Announced, Proof, RunawayDetector};
use hoptiller_statement_router::Settings;
use proptest::prelude::*;
use serde_json::value::RawValue;

const EXAMPLE: &str = include_str!("../../../examples/derby.jsonnet");
const MS: Micros = 1_000;
const START: Micros = 3_600_000 * MS;

/// A client's step, an engine's step, or time that passes. Numbers choose among what there is.
#[derive(Clone, Debug)]
enum Step {
    Submit(usize),
    Poll(usize),
    PollOld(usize),
    PollAtOnce(usize),
    Cancel(usize),
    Page(usize, bool),
    Ended(usize, u8),
    Wrong(usize),
    /// Ended at its engine on demand, with what the engine says of its effects.
    Killed(usize, u8),
    /// A page of an attempt whose end was told.
    Stale(usize),
    Pass(Micros),
}

fn step() -> impl Strategy<Value = Step> {
    let some = 0usize..64;
    prop_oneof![
        3 => (0usize..3).prop_map(Step::Submit),
        6 => some.clone().prop_map(Step::Poll),
        1 => some.clone().prop_map(Step::PollOld),
        1 => some.clone().prop_map(Step::PollAtOnce),
        1 => some.clone().prop_map(Step::Cancel),
        5 => (some.clone(), any::<bool>()).prop_map(|(n, last)| Step::Page(n, last)),
        2 => (some.clone(), 0u8..7).prop_map(|(n, e)| Step::Ended(n, e)),
        1 => some.clone().prop_map(Step::Wrong),
        1 => (some, 0u8..3).prop_map(|(n, p)| Step::Killed(n, p)),
        1 => (0usize..64).prop_map(Step::Stale),
        4 => (1u64..3_000).prop_map(|ms| Step::Pass(ms * MS)),
    ]
}

/// What one client has seen.
#[derive(Default)]
struct Seen {
    class: usize,
    /// The number to ask for next, and the answer before it.
    next: u64,
    last: Option<Rc<StatementResponse>>,
    finals: u32,
    /// The attempts whose rows came, by the text of the rows.
    sources: Vec<String>,
    left: bool,
}

struct World {
    core: Core,
    now: Micros,
    clients: BTreeMap<StatementId, Seen>,
    /// Attempts that run: statement and hop; whether they may give a page now.
    out: Vec<(StatementId, u32, bool)>,
    sends: BTreeMap<StatementId, Vec<(EngineId, Vec<AttemptStatus>)>>,
    settled: BTreeMap<StatementId, FinalResponse>,
    proofs: BTreeMap<StatementId, Vec<Proof>>,
    bounds: CoreLimits,
}

impl World {
    fn new() -> World {
        World::with("{}")
    }

    /// With a change of the settings.
    fn with(change: &str) -> World {
        let text = format!("({EXAMPLE}) + {change}");
        let settings = Settings::from_text("derby", &text).expect("good");
        let bounds = CoreLimits {
            max_open_statements: 20,
            max_retained_responses: 10,
            retention: 5_000 * MS,
            abandon_after: 9_000 * MS,
            max_buffered_bytes: 60,
            response_margin: 150 * MS,
        };
        let watch = RunawayDetector::new(settings.runaway_settings());
        let names = RouterIdentity {
            router: "r1".into(),
            incarnation: "life".into(),
        };
        let mut core =
            Core::new(settings.policy_settings(), 5, bounds, Some(watch), names).expect("usable");
        let entry = |n: u32| EndpointEntry {
            engine: EngineId(n),
            zone: Some(0),
            kind: Some(0),
            cell: 0,
            ready_at: 0,
            readiness: Readiness::Up,
        };
        core.update_endpoints(START, ListScope::All, (0..3).map(entry).collect());
        let (clients, sends, settled, proofs) = Default::default();
        World {
            core,
            now: START,
            clients,
            out: Vec::new(),
            sends,
            settled,
            proofs,
            bounds,
        }
    }

    fn round(&mut self) -> Result<(), TestCaseError> {
        self.core.run_batch(self.now);
        while let Some(command) = self.core.next_command() {
            match command {
                Command::Send(a) => {
                    let before = self.sends.entry(a.id).or_default();
                    // What must not run twice goes again only where every attempt proved that it never ran.
                    if a.class == 2 {
                        let proof = |e: &AttemptStatus| {
                            matches!(
                                e,
                                AttemptStatus::Rejected
                                    | AttemptStatus::ConnectFailed
                                    | AttemptStatus::NotSent
                            )
                        };
                        let proved = before.iter().all(|(_, ends)| ends.iter().any(proof));
                        prop_assert!(proved, "a load was sent again: {before:?}");
                    }
                    before.push((a.engine, Vec::new()));
                    prop_assert_eq!(a.number as usize + 1, before.len());
                    prop_assert!(a.deadline >= self.now);
                    self.out.push((a.id, a.number, true));
                }
                Command::Fetch { id, attempt: hop } => {
                    for o in self.out.iter_mut().filter(|o| (o.0, o.1) == (id, hop)) {
                        o.2 = true;
                    }
                }
                Command::Cancel { .. } => {
                    prop_assert!(false, "engines allow no withdrawing here")
                }
                Command::Release { id, attempt: hop } => {
                    self.out.retain(|o| (o.0, o.1) != (id, hop))
                }
                Command::Settled {
                    id, response: how, ..
                } => {
                    prop_assert!(self.settled.insert(id, how).is_none(), "settled twice");
                }
                Command::HealthCheck(engine) => self.core.report_health_check(engine, None),
                Command::Kill { .. } | Command::Pause { .. } => {
                    prop_assert!(false, "nothing here may be ended or paused");
                }
                Command::RefreshDiscovery
                | Command::NotifyWaiters(_)
                | Command::ReportFinding(_) => {}
            }
        }
        let usage = self.core.usage();
        let (open, kept) = (usage.open_statements, usage.retained_statements);
        prop_assert!(
            open <= self.bounds.max_open_statements && kept <= self.bounds.max_retained_responses,
            "{open} {kept}"
        );
        Ok(())
    }

    fn pick(&self, n: usize) -> Option<StatementId> {
        let ids: Vec<StatementId> = self.clients.keys().copied().collect();
        (!ids.is_empty()).then(|| ids[n % ids.len()])
    }

    fn take(&mut self, id: StatementId, page: u64, poll: PollOutcome) -> Result<(), TestCaseError> {
        let PollOutcome::Response(answer) = poll else {
            return Ok(());
        };
        let seen = self.clients.get_mut(&id).expect("known");
        prop_assert_eq!(answer.page, page);
        if let Some(last) = seen.last.as_ref().filter(|l| l.page == page) {
            prop_assert!(
                Rc::ptr_eq(last, &answer),
                "another answer under the same number"
            );
            return Ok(());
        }
        prop_assert_eq!(seen.finals, 0, "an answer behind the final one");
        seen.finals += u32::from(answer.is_final());
        if let ResponseContent::Rows(page) = &answer.content {
            seen.sources
                .extend(page.rows.as_ref().map(|r| r.get().to_owned()));
        }
        seen.next = page + 1;
        seen.last = Some(answer);
        prop_assert!(
            !seen.sources.iter().any(|s| s.contains("stale")),
            "rows of an attempt that had ended"
        );
        let first = &seen.sources.first();
        prop_assert!(
            seen.sources.iter().all(|s| Some(s) == *first),
            "rows of two attempts: {:?}",
            seen.sources
        );
        Ok(())
    }

    fn play(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match *step {
            Step::Submit(class) => {
                let work = Rc::new(EngineStatement::default());
                let (tenant, key, group, repeat, patience) = Default::default();
                let s = Submission {
                    class,
                    tenant,
                    ordering_key: key,
                    group,
                    is_retry: repeat,
                    timeout: patience,
                    work,
                    ..submission()
                };
                match self.core.submit(self.now, s) {
                    Ok(id) => {
                        self.clients.insert(
                            id,
                            Seen {
                                class,
                                next: 0,
                                ..Seen::default()
                            },
                        );
                        let poll = self.core.poll(self.now, id, 0);
                        self.take(id, 0, poll)?;
                    }
                    Err(_) => prop_assert_eq!(
                        self.core.usage().open_statements,
                        self.bounds.max_open_statements
                    ),
                }
            }
            Step::Poll(n) | Step::PollAtOnce(n) => {
                if let Some(id) = self.pick(n) {
                    let page = self.clients[&id].next;
                    let poll = match step {
                        Step::Poll(_) => self.core.poll(self.now, id, page),
                        _ => self.core.poll_now(self.now, id, page),
                    };
                    let over = self.clients[&id].finals > 0;
                    prop_assert!(
                        !over || !matches!(poll, PollOutcome::Response(_)),
                        "an answer behind the final one"
                    );
                    self.take(id, page, poll)?;
                }
            }
            Step::PollOld(n) => {
                if let Some(id) = self.pick(n) {
                    let last = self.clients[&id].next.saturating_sub(1);
                    let poll = self.core.poll(self.now, id, last);
                    prop_assert!(matches!(poll, PollOutcome::Response(_) | PollOutcome::Gone));
                    self.take(id, last, poll)?;
                    if last > 0 {
                        prop_assert!(matches!(
                            self.core.poll(self.now, id, last - 1),
                            PollOutcome::Gone
                        ));
                    }
                    let far = self.core.poll(self.now, id, last + 2);
                    prop_assert!(matches!(far, PollOutcome::Unknown | PollOutcome::Gone));
                }
            }
            Step::Cancel(n) => {
                if let Some(id) = self.pick(n) {
                    self.core.cancel(self.now, id);
                    self.clients.get_mut(&id).expect("known").left = true;
                }
            }
            Step::Page(n, last) => {
                let ready: Vec<usize> = (0..self.out.len()).filter(|i| self.out[*i].2).collect();
                if !ready.is_empty() {
                    let at = ready[n % ready.len()];
                    let (id, hop, _) = self.out[at];
                    let rows = RawValue::from_string(format!("[[\"{id}.{hop}\"]]")).expect("JSON");
                    self.core.accept_page(
                        self.now,
                        id,
                        hop,
                        ResultPage {
                            rows: Some(rows.into()),
                            is_last: last,
                            ..ResultPage::default()
                        },
                    );
                    match last {
                        true => {
                            self.out.remove(at);
                        }
                        false => self.out[at].2 = false,
                    }
                }
            }
            Step::Ended(n, how) => {
                if !self.out.is_empty() {
                    let (id, hop, _) = self.out.remove(n % self.out.len());
                    let all = [
                        AttemptStatus::ErrorResponse,
                        AttemptStatus::Rejected,
                        AttemptStatus::TimedOut,
                        AttemptStatus::ConnectFailed,
                        AttemptStatus::ConnectionReset,
                        AttemptStatus::Cancelled,
                        AttemptStatus::NotSent,
                    ];
                    let ending = all[usize::from(how)];
                    if let Some(a) = self
                        .sends
                        .get_mut(&id)
                        .and_then(|s| s.get_mut(hop as usize))
                    {
                        a.1.push(ending);
                    }
                    self.core.finish_attempt(
                        self.now,
                        id,
                        hop,
                        AttemptOutcome {
                            status: ending,
                            reason: "x".into(),
                            load_report: None,
                        },
                    );
                }
            }
            Step::Wrong(n) => {
                if !self.out.is_empty() {
                    let (id, hop, _) = self.out.remove(n % self.out.len());
                    let failure = EngineError {
                        message: "x".into(),
                        code: 1,
                        name: "X".into(),
                    };
                    self.core.fail_with_engine_error(self.now, id, hop, failure);
                }
            }
            Step::Killed(n, proof) => {
                if !self.out.is_empty() {
                    let (id, hop, _) = self.out.remove(n % self.out.len());
                    let proof =
                        [Proof::RolledBack, Proof::Committed, Proof::Unknown][usize::from(proof)];
                    self.proofs.entry(id).or_default().push(proof);
                    if let Some(a) = self
                        .sends
                        .get_mut(&id)
                        .and_then(|s| s.get_mut(hop as usize))
                    {
                        a.1.push(AttemptStatus::Cancelled);
                    }
                    self.core
                        .finish_killed_attempt(self.now, id, hop, proof, "x".into());
                }
            }
            Step::Stale(n) => {
                let ended = |s: &[(EngineId, Vec<AttemptStatus>)]| {
                    let all = s.iter().enumerate().filter(|(_, a)| !a.1.is_empty());
                    all.map(|(hop, _)| hop as u32).collect::<Vec<_>>()
                };
                let all: Vec<(StatementId, u32)> = self
                    .sends
                    .iter()
                    .flat_map(|(id, s)| ended(s).into_iter().map(|hop| (*id, hop)))
                    .collect();
                if !all.is_empty() {
                    let (id, hop) = all[n % all.len()];
                    let rows = RawValue::from_string("[[\"stale\"]]".into()).expect("JSON");
                    self.core.accept_page(
                        self.now,
                        id,
                        hop,
                        ResultPage {
                            rows: Some(rows.into()),
                            ..ResultPage::default()
                        },
                    );
                }
            }
            Step::Pass(time) => self.now += time,
        }
        self.round()
    }

    /// All engines end, all clients that have not left ask to the end.
    fn finish(&mut self) -> Result<(), TestCaseError> {
        for _ in 0..400 {
            while let Some((id, hop, _)) = self.out.pop() {
                let ended = AttemptOutcome {
                    status: AttemptStatus::TimedOut,
                    reason: "x".into(),
                    load_report: None,
                };
                self.core.finish_attempt(self.now, id, hop, ended);
            }
            self.now += 100 * MS;
            self.round()?;
            let open: Vec<StatementId> = self
                .clients
                .iter()
                .filter(|(_, s)| s.finals == 0 && !s.left)
                .map(|(id, _)| *id)
                .collect();
            for id in open {
                let page = self.clients[&id].next;
                let poll = self.core.poll(self.now, id, page);
                self.take(id, page, poll)?;
            }
            self.round()?;
        }
        prop_assert_eq!(self.core.usage().open_statements, 0, "still open");
        prop_assert_eq!(self.core.usage().buffered_bytes, 0, "pages still held");
        let gone: Vec<StatementId> = self.clients.keys().copied().collect();
        let gone: Vec<StatementId> = gone.into_iter().filter(|id| self.forgotten(*id)).collect();
        for (id, seen) in &self.clients {
            let settled = self.settled.get(id);
            prop_assert!(settled.is_some(), "{} was never settled", id);
            // A client that went away for longer than it may is not waited for; all others were answered.
            let away = matches!(
                settled,
                Some(FinalResponse::Abandoned | FinalResponse::Canceled)
            );
            prop_assert!(
                seen.finals == 1 || seen.left || away || gone.contains(id),
                "{id}: {:?}",
                settled
            );
            // Unsafe work that was ended is called harmless only where its engine said that all is undone.
            if let (2, Some(FinalResponse::TerminatedByRule { .. })) = (seen.class, settled) {
                let proofs = self.proofs.get(id).map_or(&[][..], |p| p);
                prop_assert_eq!(proofs, &[Proof::RolledBack][..]);
            }
            // Unsafe work is refused only where no attempt can have run.
            if let (2, Some(FinalResponse::Rejected { .. })) = (seen.class, settled) {
                let none = Vec::new();
                let proof = |e: &AttemptStatus| {
                    matches!(
                        e,
                        AttemptStatus::Rejected
                            | AttemptStatus::ConnectFailed
                            | AttemptStatus::NotSent
                    )
                };
                let sends = self.sends.get(id).unwrap_or(&none);
                prop_assert!(
                    sends.iter().all(|(_, ends)| ends.iter().any(proof)),
                    "{id}: {sends:?}"
                );
            }
        }
        Ok(())
    }

    /// Settled while its client was away for longer than answers are kept.
    fn forgotten(&mut self, id: StatementId) -> bool {
        matches!(
            self.core.poll(self.now, id, self.clients[&id].next),
            PollOutcome::Gone
        )
    }
}

fn fixed() -> ProptestConfig {
    ProptestConfig {
        cases: 500,
        rng_seed: proptest::test_runner::RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed())]

    #[test]
    fn every_course_ends_in_one_answer(steps in proptest::collection::vec(step(), 1..120)) {
        let mut world = World::new();
        world.round()?;
        for step in &steps {
            world.play(step)?;
        }
        world.finish()?;
    }
}

fn page(text: &str, last: bool) -> ResultPage {
    let rows = RawValue::from_string(format!("[[\"{text}\"]]")).expect("JSON");
    ResultPage {
        rows: Some(rows.into()),
        is_last: last,
        ..ResultPage::default()
    }
}

fn submission() -> Submission {
    Submission {
        class: 0,
        tenant: None,
        ordering_key: None,
        group: None,
        estimated_work: None,
        estimated_memory_mb: 0.0,
        fingerprint: 1,
        label: "select ?".into(),
        announced: Announced::default(),
        is_retry: false,
        timeout: None,
        work: Rc::new(EngineStatement::default()),
    }
}

/// Submits a statement that an engine gets at once.
fn taken(world: &mut World, class: usize) -> StatementId {
    let work = Rc::new(EngineStatement::default());
    let (tenant, key, group, repeat, patience) = Default::default();
    let s = Submission {
        class,
        tenant,
        ordering_key: key,
        group,
        is_retry: repeat,
        timeout: patience,
        work,
        ..submission()
    };
    let id = world.core.submit(world.now, s).expect("taken");
    world.now += 20 * MS;
    world.core.run_batch(world.now);
    id
}

fn commands(core: &mut Core) -> Vec<Command> {
    std::iter::from_fn(|| core.next_command()).collect()
}

#[test]
fn a_page_is_fetched_only_when_there_is_room_for_it() {
    let mut world = World::new(); // Room for 60 bytes.
    let (a, b) = (taken(&mut world, 0), taken(&mut world, 0));
    let now = world.now;
    for id in [a, b] {
        world.core.accept_page(now, id, 0, page("small", false));
        assert!(matches!(
            world.core.poll(now, id, 1),
            PollOutcome::Response(_)
        ));
    }
    let fetched = |core: &mut Core, id| {
        commands(core)
            .iter()
            .any(|c| matches!(c, Command::Fetch { id: of, .. } if *of == id))
    };
    commands(&mut world.core);
    world
        .core
        .accept_page(now, a, 0, page(&"x".repeat(100), false));
    world.core.accept_page(now, b, 0, page("small", false));
    assert!(matches!(
        world.core.poll(now, b, 2),
        PollOutcome::Response(_)
    ));
    assert!(!fetched(&mut world.core, b), "the room is taken");
    assert!(matches!(
        world.core.poll(now, a, 2),
        PollOutcome::Response(_)
    ));
    assert!(fetched(&mut world.core, b), "there is room again");
}

#[test]
fn a_result_that_has_come_is_better_than_giving_up() {
    let mut world = World::with("{ engines+: { cancel: true, notes_every: '100ms' } }");
    let id = taken(&mut world, 2);
    world.now += 5_000 * MS;
    world.core.accept_page(world.now, id, 0, page("here", true));
    // Word that came late says that it would never end in time: the module gives it up.
    world
        .core
        .report_progress(id, 0, hoptiller_policy::Progress::Completed(0.001));
    world.core.run_batch(world.now);
    assert!(
        matches!(world.core.poll(world.now, id, 1), PollOutcome::Response(a) if matches!(a.content, ResponseContent::Rows(_)))
    );
}
