//! Model checking of leases: all courses, within bounds, of keepers and would-be holders whose messages are lost, doubled
//! and overtaken, whose clocks run at their bounds, and who crash and start again at any step. What moves is the state
//! machines of [`hoptiller_coordination`] themselves; here are only the messages between them, the time, and what is asked of
//! each state.
//!
//! Consensus is taken as given: acts come out of one log in one order, wherever they were put in. A keeper learns of them
//! when it gets to, and judges terms by its own clock; any keeper may be the one that leads at any moment.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use hoptiller_coordination::{
    Command, CommandResponse, ConfigState, Document, ExpiryTracker, Holder, LeaseGuard, LeaseOffer,
    LeaseTiming, Micros, Proposal, Shard, Task, TaskLeaseClient,
};
use hoptiller_coordination::{LeaseTableUpdate, MIN_CONSECUTIVE_RENEWALS, TaskLeaseGrant};
use stateright::{Model, Property};

/// One step of the time.
pub const TICK: Micros = 1_000_000;
/// The part that all want.
const PART: Shard = Shard {
    task: Task::Discovery,
    index: 0,
};
/// The keeper that learns late.
const LATE: usize = 2;
/// How far clocks may differ, in millionths.
const DRIFT: u64 = 100_000;

/// How far a check goes.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Steps of the time.
    pub ticks: u32,
    /// Length of a term, in steps.
    pub term: u32,
    /// Questions that each process asks.
    pub asks: u32,
    /// Crashes of keepers, in all.
    pub crashes: u32,
    /// Questions that arrive twice, in all.
    pub doubles: u32,
    /// How many steps an act may be on its way: the margin.
    pub way: u32,
    /// The second process starts only now: it has asked for nothing yet.
    pub late_twin: bool,
    /// Processes that want the part: the second is another life of the first one's router.
    pub processes: usize,
}

/// The model.
#[derive(Clone, Debug)]
pub struct Leasing {
    /// Its bounds.
    pub limits: Limits,
    bounds: LeaseTiming,
    fleet: ConfigState,
    /// By process: as it stands after asking often enough in a row.
    tenants: Vec<(TaskLeaseClient, u64)>,
}

/// The log's state; what matters of it for equality is what the lease rests on.
#[derive(Clone, Debug)]
struct Logged(ConfigState);

impl PartialEq for Logged {
    fn eq(&self, other: &Logged) -> bool {
        self.0.lease_table() == other.0.lease_table() && self.0.holders().eq(other.0.holders())
    }
}

impl Eq for Logged {}

impl Hash for Logged {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.lease_table().hash(state);
        for (holder, held) in self.0.holders() {
            (holder, held.serial, held.enforced).hash(state);
        }
    }
}

/// A keeper.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Keeper {
    /// What it has applied.
    log: Arc<Logged>,
    /// `None`: it does not run.
    terms: Option<ExpiryTracker>,
}

/// A process that wants the part.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Process {
    tenant: TaskLeaseClient,
    next: u64,
    asked: u32,
    /// An act that has begun, and whether it is on its way since some step.
    right: Option<(LeaseGuard, Option<u32>)>,
}

/// What is on its way.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Flying {
    /// One that is `doubled` may arrive once more.
    Question {
        process: usize,
        id: u64,
        offer: OfferKey,
        doubled: bool,
    },
    Answer {
        process: usize,
        id: u64,
        serial: u64,
        leases: Option<Vec<(u64, bool)>>,
    },
}

/// An offer, in a form with an order.
type OfferKey = (u64, bool, Vec<(Shard, u64)>, u64);

/// A state of it all.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    now: u32,
    log: Arc<Logged>,
    keepers: Vec<Keeper>,
    processes: Vec<Process>,
    flying: BTreeSet<Flying>,
    crashes: u32,
    doubles: u32,
    /// The newest number under which something was done, and by whom.
    newest: Option<(u64, usize)>,
    /// By number: to whom it was given.
    given: BTreeMap<u64, Holder>,
    /// What must never be was seen.
    two_acted: bool,
    number_again: bool,
    /// More than one process has acted.
    taken_over: bool,
}

/// What may happen next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Time passes, for all.
    Tick,
    /// A process asks.
    Ask(usize),
    /// A question reaches a keeper, and stays on its way where it is doubled.
    ToKeeper(usize, usize, bool),
    /// An answer reaches its process.
    ToProcess(usize),
    /// A keeper gets to apply what the log holds.
    CatchUp(usize),
    /// A keeper leads, and says which leases are over.
    Judge(usize),
    /// The same of permits.
    Lapse(usize),
    /// A keeper crashes.
    Crash(usize),
    /// It starts again.
    Start(usize),
    /// A process begins to act.
    Begin(usize),
    /// Its act is sent.
    Send(usize),
    /// Its act arrives.
    Arrive(usize),
}

fn holder(process: usize) -> Holder {
    // Two processes under one name, and others.
    let router = if process < 2 {
        "r1".to_owned()
    } else {
        format!("r{process}")
    };
    let life = if hoptiller_coordination::fault_injection::is_injected(
        hoptiller_coordination::fault_injection::Fault::IgnoreIncarnation,
    ) {
        String::new()
    } else {
        process.to_string()
    };
    Holder {
        router,
        incarnation: life,
    }
}

fn key(o: &LeaseOffer) -> OfferKey {
    (
        o.acknowledged_serial,
        o.accepts_leases,
        o.released.clone(),
        o.table_revision,
    )
}

impl Leasing {
    /// A fleet in which all processes have asked often enough to be given leases.
    pub fn new(limits: Limits) -> Leasing {
        let bounds = LeaseTiming {
            term: Micros::from(limits.term) * TICK,
            drift: DRIFT,
        };
        let mut fleet = ConfigState::default();
        let text = r#"{"form": 1, "kinds": {"a": 8}, "tasks": {"list": 1},
            "classes": {"lookup": {"aim": "1s", "patience": "7s", "repeat": "safe"}}, "engines": {},
            "rules": {"start_capacity": 0.3, "ramp": "14s", "overload": 3, "fall": "2s"}}"#;
        if let Ok(document) = Document::from_json(text.as_bytes()) {
            let (change, by, why) = ("first".to_owned(), "check".to_owned(), "check".to_owned());
            fleet.apply(Command::Propose(Box::new(Proposal {
                change_name: change,
                base: None,
                author: by,
                proposed_at_ms: 1,
                reason: why,
                document,
            })));
        }
        let mut tenants: Vec<(TaskLeaseClient, u64)> = (0..limits.processes)
            .map(|_| {
                (
                    TaskLeaseClient::new(&bounds, Micros::from(limits.way) * TICK),
                    0,
                )
            })
            .collect();
        for _ in 0..=MIN_CONSECUTIVE_RENEWALS + 1 {
            for (process, (tenant, next)) in tenants.iter_mut().enumerate() {
                if process == 1 && limits.late_twin {
                    continue;
                }
                let offer = Some(tenant.start_renewal(*next, 0));
                let asked = Command::RenewLease {
                    holder: holder(process),
                    enforced: 1,
                    in_force: 1,
                    offer,
                };
                if let CommandResponse::LeaseGranted(g) = fleet.apply(asked) {
                    tenant.accept_grant(
                        *next,
                        0,
                        g.serial,
                        g.leases.as_deref(),
                        g.lease_table.as_ref(),
                    );
                }
                *next += 1;
            }
        }
        Leasing {
            limits,
            bounds,
            fleet,
            tenants,
        }
    }

    /// A process's clock: slow by the bound, but the last one's, which is fast.
    fn clock(&self, process: usize, now: u32) -> Micros {
        let fast = process + 1 == self.limits.processes;
        let rate = if fast {
            1_000_000 + DRIFT
        } else {
            1_000_000 - DRIFT
        };
        Micros::from(now) * TICK * rate / 1_000_000
    }

    /// A keeper's clock: fast by the bound, but the first one's, which is slow.
    fn keeper_clock(&self, keeper: usize, now: u32) -> Micros {
        let rate = if keeper == 0 {
            1_000_000 - DRIFT
        } else {
            1_000_000 + DRIFT
        };
        Micros::from(now) * TICK * rate / 1_000_000
    }

    /// An act goes through the log, put in by a keeper that runs. More than half must run.
    fn through(&self, s: &mut State, keeper: usize, act: Command) -> Option<CommandResponse> {
        if s.keepers.iter().filter(|k| k.terms.is_some()).count() * 2 <= s.keepers.len() {
            return None;
        }
        let mut fleet = s.log.0.clone();
        let answer = fleet.apply(act);
        s.log = Arc::new(Logged(fleet));
        // One keeper learns when it gets to; the others at once, which is what a term is shortest by.
        for k in 0..s.keepers.len() {
            if k != LATE || k == keeper {
                self.catch_up(s, k);
            }
        }
        for posted in s.log.0.lease_table().updates_since(0).entries {
            if let Some((to, number)) = posted.holder {
                let known = s.given.entry(number).or_insert_with(|| to.clone());
                s.number_again |= *known != to;
            }
        }
        Some(answer)
    }

    fn catch_up(&self, s: &mut State, keeper: usize) {
        let now = self.keeper_clock(keeper, s.now);
        let k = &mut s.keepers[keeper];
        k.log = s.log.clone();
        // What comes while it does not run, it reads when it starts.
        if let Some(terms) = &mut k.terms {
            terms.observe(now, &k.log.0);
        }
    }

    /// Whether nothing but the time and messages can still change anything.
    fn in_flight(s: &State, process: usize) -> bool {
        s.processes[process]
            .right
            .is_some_and(|(_, sent)| sent.is_some())
    }
}

impl Model for Leasing {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let log = Arc::new(Logged(self.fleet.clone()));
        let keepers = (0..3).map(|_| Keeper {
            log: log.clone(),
            terms: Some(ExpiryTracker::start(0, &log.0)),
        });
        let processes = self.tenants.iter().map(|(tenant, next)| Process {
            tenant: tenant.clone(),
            next: *next,
            asked: 0,
            right: None,
        });
        let given = log
            .0
            .lease_table()
            .updates_since(0)
            .entries
            .into_iter()
            .filter_map(|p| p.holder);
        vec![State {
            now: 0,
            keepers: keepers.collect(),
            processes: processes.collect(),
            flying: BTreeSet::new(),
            crashes: 0,
            doubles: 0,
            newest: None,
            given: given.map(|(holder, number)| (number, holder)).collect(),
            two_acted: false,
            number_again: false,
            taken_over: false,
            log,
        }]
    }

    fn actions(&self, s: &State, steps: &mut Vec<Step>) {
        if s.two_acted || s.number_again {
            return;
        }
        // An act is on its way for a margin at most.
        let overdue = s.processes.iter().any(|p| {
            p.right
                .is_some_and(|(_, sent)| sent.is_some_and(|t| t + self.limits.way <= s.now))
        });
        if s.now < self.limits.ticks && !overdue {
            steps.push(Step::Tick);
        }
        for (n, flying) in s.flying.iter().enumerate() {
            match flying {
                Flying::Question { doubled, .. } => {
                    // Over which keeper it comes matters for the one alone that learns late.
                    let first = s.keepers.iter().position(|k| k.terms.is_some());
                    let late =
                        Some(LATE).filter(|k| s.keepers[*k].terms.is_some() && first != Some(*k));
                    for k in first.into_iter().chain(late) {
                        steps.push(Step::ToKeeper(n, k, false));
                        if !doubled && s.doubles < self.limits.doubles {
                            steps.push(Step::ToKeeper(n, k, true));
                        }
                    }
                }
                Flying::Answer { .. } => steps.push(Step::ToProcess(n)),
            }
        }
        for (k, keeper) in s.keepers.iter().enumerate() {
            match &keeper.terms {
                None => steps.push(Step::Start(k)),
                Some(terms) => {
                    if keeper.log != s.log {
                        steps.push(Step::CatchUp(k));
                    }
                    let now = self.keeper_clock(k, s.now);
                    if !terms.expired_task_leases(now, &self.bounds).is_empty() {
                        steps.push(Step::Judge(k));
                    }
                    if !terms.expired_config_leases(now, &self.bounds).is_empty() {
                        steps.push(Step::Lapse(k));
                    }
                    if s.crashes < self.limits.crashes {
                        steps.push(Step::Crash(k));
                    }
                }
            }
        }
        for (p, process) in s.processes.iter().enumerate() {
            let open = s
                .flying
                .iter()
                .filter(|f| matches!(f, Flying::Question { process, .. } if *process == p));
            // One that is lost stays open for good.
            if process.asked < self.limits.asks && open.count() < 2 {
                steps.push(Step::Ask(p));
            }
            match &process.right {
                None if process.tenant.is_holding(self.clock(p, s.now), PART) => {
                    steps.push(Step::Begin(p))
                }
                None => {}
                Some((_, None)) => steps.push(Step::Send(p)),
                Some((_, Some(_))) => steps.push(Step::Arrive(p)),
            }
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut s = last.clone();
        match step {
            Step::Tick => s.now += 1,
            Step::Ask(p) => {
                let now = self.clock(p, s.now);
                let process = &mut s.processes[p];
                let id = process.next;
                (process.next, process.asked) = (id + 1, process.asked + 1);
                let offer = key(&process.tenant.start_renewal(id, now));
                s.flying.insert(Flying::Question {
                    process: p,
                    id,
                    offer,
                    doubled: false,
                });
            }
            Step::ToKeeper(n, k, doubled) => {
                let flying = s.flying.iter().nth(n)?.clone();
                s.flying.remove(&flying);
                let Flying::Question {
                    process, id, offer, ..
                } = flying
                else {
                    return None;
                };
                if doubled {
                    s.doubles += 1;
                    s.flying.insert(Flying::Question {
                        process,
                        id,
                        offer: offer.clone(),
                        doubled,
                    });
                }
                let (heard, willing, released, board) = offer;
                let offer = Some(LeaseOffer {
                    acknowledged_serial: heard,
                    accepts_leases: willing,
                    released,
                    table_revision: board,
                });
                let ask = Command::RenewLease {
                    holder: holder(process),
                    enforced: 1,
                    in_force: 1,
                    offer,
                };
                let CommandResponse::LeaseGranted(g) = self.through(&mut s, k, ask)? else {
                    return None;
                };
                let leases = g.leases.map(|all| {
                    all.iter()
                        .map(|g| (g.fencing_token, g.release_requested))
                        .collect()
                });
                s.flying.insert(Flying::Answer {
                    process,
                    id,
                    serial: g.serial,
                    leases,
                });
            }
            Step::ToProcess(n) => {
                let flying = s.flying.iter().nth(n)?.clone();
                s.flying.remove(&flying);
                let Flying::Answer {
                    process,
                    id,
                    serial,
                    leases,
                } = flying
                else {
                    return None;
                };
                let grant = |(number, leaving): (u64, bool)| TaskLeaseGrant {
                    shard: PART,
                    fencing_token: number,
                    release_requested: leaving,
                };
                let leases: Option<Vec<TaskLeaseGrant>> =
                    leases.map(|all| all.into_iter().map(grant).collect());
                let now = self.clock(process, s.now);
                let board = LeaseTableUpdate {
                    revision: 0,
                    shards: vec![PART],
                    entries: Vec::new(),
                };
                s.processes[process].tenant.accept_grant(
                    id,
                    now,
                    serial,
                    leases.as_deref(),
                    Some(&board),
                );
            }
            Step::CatchUp(k) => self.catch_up(&mut s, k),
            Step::Judge(k) => {
                let now = self.keeper_clock(k, s.now);
                let terms = s.keepers[k].terms.clone()?;
                let free = terms.expired_task_leases(now, &self.bounds);
                self.through(&mut s, k, Command::ExpireTaskLeases(free))?;
            }
            Step::Lapse(k) => {
                let now = self.keeper_clock(k, s.now);
                let terms = s.keepers[k].terms.clone()?;
                let (upto, lapsed) = (
                    s.log.0.latest(),
                    terms.expired_config_leases(now, &self.bounds),
                );
                self.through(&mut s, k, Command::CompleteRollout { upto, lapsed })?;
            }
            Step::Crash(k) => {
                s.crashes += 1;
                s.keepers[k].terms = None;
            }
            Step::Start(k) => {
                let now = self.keeper_clock(k, s.now);
                s.keepers[k].terms = Some(ExpiryTracker::start(now, &s.keepers[k].log.0));
            }
            Step::Begin(p) => {
                let now = self.clock(p, s.now);
                let right = s.processes[p].tenant.begin_operation(now, PART, 0)?;
                s.processes[p].right = Some((right, None));
            }
            Step::Send(p) => {
                let now = self.clock(p, s.now);
                let process = &mut s.processes[p];
                let (right, _) = process.right?;
                if process.tenant.is_still_valid(now, &right) {
                    process.right = Some((right, Some(s.now)));
                } else {
                    process.tenant.end_operation(&right);
                    process.right = None;
                }
            }
            Step::Arrive(p) => {
                let (right, _) = s.processes[p].right.take()?;
                s.processes[p].tenant.end_operation(&right);
                let before = s.newest;
                s.two_acted |= before.is_some_and(|(number, who)| {
                    right.fencing_token < number || (right.fencing_token == number && who != p)
                });
                s.taken_over |= before.is_some_and(|(number, _)| right.fencing_token > number);
                s.newest = before.max(Some((right.fencing_token, p)));
            }
        }
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("never two acting", |_, s: &State| !s.two_acted),
            Property::always("no number is given twice", |_, s: &State| !s.number_again),
            Property::sometimes("a free part is taken", |_, s: &State| s.taken_over),
            Property::sometimes(
                "a holder acts to its last moment",
                |m: &Leasing, s: &State| {
                    (0..s.processes.len())
                        .any(|p| Leasing::in_flight(s, p) && s.now + 2 >= m.limits.term)
                },
            ),
        ]
    }
}
