//! State of the controller: classes, requests, key queues, endpoints with their attempts in flight.
//!
//! Plain data and its bookkeeping: nothing here is tuned, and nothing here chooses.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand_pcg::Pcg64Mcg;

use crate::interface::{
    Action, Class, Discovery, EndpointEntry, EngineId, Hold, HoldTarget, KeyId, Micros, Outcome, RequestId,
    Settings,
};

/// A place in a class queue. Order: late requests last, then by the latest start that meets the objective.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueEntry {
    pub(crate) late: bool,
    pub(crate) start_by: Micros,
    pub(crate) request: RequestId,
}

/// Sum and count of the waits of a control period.
#[derive(Default)]
pub(crate) struct WaitSum {
    pub(crate) sum: f64,
    pub(crate) count: f64,
}

impl WaitSum {
    pub(crate) fn add(&mut self, wait: Micros) {
        self.sum += wait as f64;
        self.count += 1.0;
    }
}

/// Queue and statistics of one class.
#[derive(Default)]
pub(crate) struct ClassState {
    pub(crate) queue: BTreeSet<QueueEntry>,
    /// Threads of its attempts in flight.
    pub(crate) threads_in_flight: f64,
    /// Pause after an attempt where the congestion window is narrower than one query.
    pub(crate) paused_until: Micros,
    pub(crate) waits: WaitSum,
    /// Mean work of all threads of a query, in µs.
    pub(crate) mean_work: f64,
    /// Mean run time, in µs.
    pub(crate) mean_run: f64,
    /// Answers that the means are made of.
    pub(crate) samples: f64,
    /// Run time without load, in µs: the least value that the mean run time has had.
    pub(crate) base_run: f64,
    /// Memory granted beyond the estimate, as a part of it.
    pub(crate) grant_margin: f64,
}

/// Where and when the first attempt that may have run was sent.
#[derive(Clone, Copy)]
pub(crate) struct PossibleRun {
    pub(crate) zone: Option<usize>,
    pub(crate) cell: u64,
    pub(crate) sent_at: Micros,
}

/// An open request.
#[derive(Default)]
pub(crate) struct Request {
    pub(crate) class: usize,
    pub(crate) key: Option<KeyId>,
    pub(crate) valid_until: Micros,
    pub(crate) group: Option<u64>,
    pub(crate) kind: Option<u64>,
    /// When the client began its first try, as far as can be told.
    pub(crate) started_at: Micros,
    pub(crate) arrived_at: Micros,
    /// Its place in the class queue while it waits there.
    pub(crate) queued: Option<QueueEntry>,
    /// Attempts so far; the number of the next one.
    pub(crate) attempts: u32,
    /// Attempts without an outcome: number and engine.
    pub(crate) in_flight: Vec<(u32, EngineId)>,
    pub(crate) tried: Vec<EngineId>,
    pub(crate) grant_mb: f64,
    /// An attempt was cancelled for want of memory.
    pub(crate) cancelled_for_memory: bool,
    /// An attempt was cancelled for its slow pace.
    pub(crate) cancelled_for_pace: bool,
    /// Engines whose failure rate counts an error response to it.
    pub(crate) blamed_engines: Vec<EngineId>,
    /// More than one engine answered with an error: the fault is the request's.
    pub(crate) fails_everywhere: bool,
    pub(crate) possible_run: Option<PossibleRun>,
    /// The final answer is given, or none is owed any more.
    pub(crate) done: bool,
}

impl Request {
    /// What a hold on it may name.
    pub(crate) fn hold_targets(&self) -> impl Iterator<Item = HoldTarget> + use<> {
        [self.kind.map(HoldTarget::Kind), self.group.map(HoldTarget::Group)].into_iter().flatten()
    }

    pub(crate) fn matches(&self, target: HoldTarget) -> bool {
        self.hold_targets().any(|own| own == target)
    }

    pub(crate) fn is_late(&self) -> bool {
        self.queued.is_some_and(|entry| entry.late)
    }

    pub(crate) fn add_attempt(&mut self, engine: EngineId) {
        self.in_flight.push((self.attempts, engine));
        self.tried.push(engine);
        self.attempts += 1;
    }
}

/// Requests of one ordering key in the order of arrival (FIFO); only the first may run.
#[derive(Default)]
pub(crate) struct KeyQueue {
    pub(crate) requests: VecDeque<RequestId>,
    pub(crate) paused_until: Micros,
}

/// An attempt without an outcome.
#[derive(Default)]
pub(crate) struct InFlightAttempt {
    pub(crate) request: RequestId,
    pub(crate) attempt: u32,
    pub(crate) class: usize,
    pub(crate) sent_at: Micros,
    /// Its last progress event, or its sending.
    pub(crate) last_progress_at: Micros,
    /// From when its pace is measured: the last event of nothing done, or its sending.
    pub(crate) pace_since: Micros,
    pub(crate) spilled: bool,
    pub(crate) cancelled: bool,
}

impl InFlightAttempt {
    /// Cancels it, once; it holds its slot until its outcome.
    pub(crate) fn cancel(&mut self, out: &mut Vec<Action>) {
        if !self.cancelled {
            self.cancelled = true;
            out.push(Action::Cancel { request: self.request, attempt: self.attempt });
        }
    }
}

/// A send within the sliding overload window.
pub(crate) struct RecentSend {
    pub(crate) at: Micros,
    /// Mean work of its class when it was sent.
    pub(crate) work: f64,
}

/// An endpoint: its entry in the list, its attempts, and what is known of its load and health.
#[derive(Default)]
pub(crate) struct Engine {
    pub(crate) entry: EndpointEntry,
    pub(crate) in_flight: Vec<InFlightAttempt>,
    /// Fair share of its capacity, in threads.
    pub(crate) fair_share: f64,
    /// Concurrency limit, in threads.
    pub(crate) concurrency_limit: f64,
    /// This period's sum of run time × threads. Divided by `work` it is the slowdown.
    pub(crate) run_time: f64,
    /// This period's sum of work.
    pub(crate) work: f64,
    /// Threads that other gateways use, by the load reports.
    pub(crate) other_threads: Option<f64>,
    /// Load that it last showed, 1 being full, and when.
    pub(crate) load: f64,
    pub(crate) load_at: Micros,
    pub(crate) last_response_at: Micros,
    /// Failure rate (EWMA).
    pub(crate) failure_rate: f64,
    /// Ejected as an outlier until then; after that one trial at a time.
    pub(crate) ejected_until: Option<Micros>,
    pub(crate) recent_sends: VecDeque<RecentSend>,
}

impl Engine {
    pub(crate) fn new(entry: &EndpointEntry, fair_share: f64, now: Micros) -> Self {
        Engine {
            entry: entry.clone(),
            fair_share,
            concurrency_limit: fair_share,
            last_response_at: now,
            ..Engine::default()
        }
    }

    /// Threads of the own attempts in flight there.
    pub(crate) fn own_threads(&self, classes: &[Class]) -> f64 {
        self.in_flight.iter().map(|attempt| classes[attempt.class].threads).sum()
    }

    /// Adds the next attempt of a request.
    pub(crate) fn add_attempt(&mut self, id: RequestId, request: &Request, work: f64, now: Micros) {
        if self.in_flight.is_empty() {
            self.last_response_at = now; // An idle engine owes no answer.
        }
        self.recent_sends.push_back(RecentSend { at: now, work });
        self.in_flight.push(InFlightAttempt {
            request: id,
            attempt: request.attempts,
            class: request.class,
            sent_at: now,
            last_progress_at: now,
            pace_since: now,
            ..InFlightAttempt::default()
        });
    }

    pub(crate) fn remove_attempt(&mut self, request: RequestId, number: u32) -> Option<InFlightAttempt> {
        let at = self.in_flight.iter().position(|a| a.request == request && a.attempt == number)?;
        Some(self.in_flight.swap_remove(at))
    }
}

/// A hold with the attempts in flight that it covers.
pub(crate) struct HoldState {
    pub(crate) hold: Hold,
    pub(crate) in_flight: u32,
}

/// The decision module of one gateway: no I/O and no clock of its own.
pub struct Controller {
    pub(crate) settings: Settings,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) now: Micros,
    pub(crate) classes: Vec<ClassState>,
    /// Odds ratio P_{j+1} / P_j of neighbouring classes, and the previous control error of each.
    pub(crate) odds_ratios: Vec<f64>,
    pub(crate) previous_errors: Vec<f64>,
    pub(crate) engines: BTreeMap<EngineId, Engine>,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    /// Open requests by the time their client gives up.
    pub(crate) deadlines: BTreeSet<(Micros, RequestId)>,
    pub(crate) key_queues: BTreeMap<KeyId, KeyQueue>,
    pub(crate) holds: BTreeMap<HoldTarget, HoldState>,
    /// Blocked by a hold: out of their class queues, so that others go on.
    pub(crate) blocked: BTreeSet<RequestId>,
    /// Times of admissions and retries in the window of the retry budget.
    pub(crate) admissions: VecDeque<Micros>,
    pub(crate) retries: VecDeque<Micros>,
    pub(crate) next_housekeeping: Micros,
    pub(crate) next_period: Micros,
    pub(crate) next_health_check: Micros,
    /// Part of the sends that bring a health check, and the fraction of one that is due.
    pub(crate) health_check_ratio: f64,
    pub(crate) health_check_credit: f64,
    /// Answers of this period within their objective, less the number that must be.
    pub(crate) objective_balance: f64,
    /// Threads of the widest class.
    pub(crate) widest_class: f64,
    /// Some class locks its table group.
    pub(crate) any_locks_group: bool,
    /// The concurrency limits of the engines can't bound the load: the congestion window does.
    pub(crate) window_enforced: bool,
    /// Neither load reports nor reported work: only run times tell of load.
    pub(crate) no_load_feedback: bool,
    /// Limit of all own threads in flight.
    pub(crate) congestion_window: f64,
    /// Moving average of the load that answers showed, 1 being full.
    pub(crate) load_level: f64,
    pub(crate) next_subscribe: Option<Micros>,
}

impl Controller {
    /// A controller without classes' state, endpoints or requests; what is tuned is set by its caller.
    pub(crate) fn empty(settings: Settings, rng: Pcg64Mcg) -> Self {
        let pairs = settings.classes.len() - 1;
        Controller {
            rng,
            now: 0,
            classes: Vec::new(),
            odds_ratios: vec![1.0; pairs],
            previous_errors: vec![0.0; pairs],
            engines: BTreeMap::new(),
            requests: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            key_queues: BTreeMap::new(),
            holds: BTreeMap::new(),
            blocked: BTreeSet::new(),
            admissions: VecDeque::new(),
            retries: VecDeque::new(),
            next_housekeeping: 0,
            next_period: 0,
            next_health_check: 1,
            health_check_ratio: 0.0,
            health_check_credit: 0.0,
            objective_balance: 0.0,
            widest_class: settings.classes.iter().map(|c| c.threads).fold(1.0, f64::max),
            any_locks_group: settings.classes.iter().any(|c| c.locks_group),
            window_enforced: false,
            no_load_feedback: !settings.reports_work && !settings.load_reports,
            congestion_window: f64::INFINITY,
            load_level: 0.0,
            next_subscribe: (settings.discovery == Discovery::Subscribe).then_some(0),
            settings,
        }
    }

    /// Attempts in flight at an engine, for hosts that check them against their sockets.
    pub fn in_flight_at(&self, engine: EngineId) -> usize {
        self.engines.get(&engine).map_or(0, |e| e.in_flight.len())
    }

    /// The first on-time or late request of a class queue.
    pub(crate) fn first_queued(&self, class: usize, late: bool) -> Option<RequestId> {
        let from = QueueEntry { late, start_by: 0, request: RequestId(0) };
        self.classes[class].queue.range(from..).next().filter(|e| e.late == late).map(|e| e.request)
    }

    pub(crate) fn any_queued(&self) -> bool {
        self.classes.iter().any(|class| !class.queue.is_empty())
    }

    /// Takes a request out of its class queue, or out of those blocked by a hold.
    pub(crate) fn dequeue(&mut self, id: RequestId) {
        self.blocked.remove(&id);
        if let Some(request) = self.requests.get_mut(&id)
            && let Some(entry) = request.queued.take()
        {
            self.classes[request.class].queue.remove(&entry);
        }
    }

    /// The holds that cover a request.
    pub(crate) fn holds_on(&self, request: &Request) -> impl Iterator<Item = &HoldState> {
        request.hold_targets().filter_map(|target| self.holds.get(&target))
    }

    /// Computes the threads in flight of each class anew from the attempts.
    pub(crate) fn recount_threads(&mut self) {
        self.classes.iter_mut().for_each(|class| class.threads_in_flight = 0.0);
        for attempt in self.engines.values().flat_map(|e| &e.in_flight) {
            self.classes[attempt.class].threads_in_flight += self.settings.classes[attempt.class].threads;
        }
    }

    /// Replaces the hold on the same target, and counts the attempts in flight that it covers.
    pub(crate) fn replace_hold(&mut self, hold: &Hold) {
        let requests = &self.requests;
        let covered = |id| requests.get(id).is_some_and(|r| r.matches(hold.target));
        let attempts = self.engines.values().flat_map(|e| &e.in_flight);
        let in_flight = attempts.filter(|a| covered(&a.request)).count() as u32;
        self.holds.insert(hold.target, HoldState { hold: hold.clone(), in_flight });
        self.holds.retain(|_, state| state.hold.is_effective());
    }

    /// Takes an ended attempt out of its request and its holds, and notes where it may have run.
    pub(crate) fn close_attempt(&mut self, outcome: &Outcome, sent_at: Micros) {
        let Some(request) = self.requests.get_mut(&outcome.request) else { return };
        request.in_flight.retain(|(number, _)| *number != outcome.attempt);
        for target in request.hold_targets() {
            let hold = self.holds.get_mut(&target);
            hold.into_iter().for_each(|h| h.in_flight = h.in_flight.saturating_sub(1));
        }
        if !outcome.status.never_ran() && request.possible_run.is_none() {
            let entry = self.engines.get(&outcome.engine).map(|e| &e.entry);
            let (zone, cell) = entry.map_or((None, 0), |e| (e.zone, e.cell));
            request.possible_run = Some(PossibleRun { zone, cell, sent_at });
        }
    }

    pub(crate) fn cores(&self, kind: Option<usize>) -> f64 {
        kind.and_then(|k| self.settings.cores.get(k)).copied().unwrap_or(1.0)
    }

    /// Mean threads of a query in flight.
    pub(crate) fn mean_threads_in_flight(&self) -> f64 {
        let (mut threads, mut queries) = (1.0, 1.0);
        for (state, config) in self.classes.iter().zip(&self.settings.classes) {
            threads += state.samples * state.mean_run * config.threads;
            queries += state.samples * state.mean_run;
        }
        threads / queries
    }

    /// Mean waits of the period, reset for the next one. Requests that still wait count too: otherwise a
    /// class whose clients give up would look fast.
    pub(crate) fn take_mean_waits(&mut self) -> Vec<Option<f64>> {
        let (now, requests) = (self.now, &self.requests);
        let mean = |class: &mut ClassState| {
            let mut waits = std::mem::take(&mut class.waits);
            for entry in &class.queue {
                waits.add(now - requests[&entry.request].arrived_at);
            }
            (waits.count > 0.0).then(|| waits.sum / waits.count)
        };
        self.classes.iter_mut().map(mean).collect()
    }

    /// The first late request of each class queue.
    pub(crate) fn late_heads(&self) -> impl Iterator<Item = RequestId> {
        (0..self.classes.len()).filter_map(|class| self.first_queued(class, true))
    }

    /// Removes what is older than the windows of the retry budget and of overload.
    pub(crate) fn prune_windows(&mut self) {
        let now = self.now;
        let budget_window = self.settings.rules.retry_budget.map_or(0, |budget| budget.window);
        for times in [&mut self.admissions, &mut self.retries] {
            while times.front().is_some_and(|at| at.saturating_add(budget_window) < now) {
                times.pop_front();
            }
        }
        let overload_window = self.settings.rules.overload_window;
        for engine in self.engines.values_mut() {
            while engine.recent_sends.front().is_some_and(|s| s.at.saturating_add(overload_window) < now) {
                engine.recent_sends.pop_front();
            }
        }
    }
}
