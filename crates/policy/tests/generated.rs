//! Checks the controller's actions on generated event sequences with an independent implementation of the service
//! rules. Seeds are fixed. Outcomes are arbitrary, since there is no model of engines.

mod common;
use std::collections::{BTreeMap, BTreeSet};

use common::*;
use hoptiller_policy::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

const STATEMENT_KINDS: u64 = 4;
const ENGINES: u64 = 6;
const CELLS: u32 = 3;
const TICK: Micros = 5 * MS;
const FIRST_TICK: Micros = S;
const LAST_ARRIVAL: Micros = 14 * S;
const END: Micros = 20 * S;
const KEY_PAUSE: Micros = 500 * MS;
/// Time after its deadline within which a request must have a final response.
const RESPONSE_TOLERANCE: Micros = 15 * MS;
const RETRY_BUDGET: RetryBudget = RetryBudget {
    min_retries: 2.0,
    ratio: 0.2,
    window: 2 * S,
};

const IDEMPOTENT: usize = 0;
const NOT_IDEMPOTENT: usize = 1;
const WITH_KEY: usize = 2;

const STATUSES: [AttemptStatus; 8] = [
    AttemptStatus::Succeeded,
    AttemptStatus::Succeeded,
    AttemptStatus::Succeeded,
    AttemptStatus::ErrorResponse,
    AttemptStatus::Rejected,
    AttemptStatus::ConnectionReset,
    AttemptStatus::ConnectFailed,
    AttemptStatus::Succeeded,
];
const PROGRESS_VALUES: [f64; 8] = [0.0, 0.001, 0.3, 0.9, -1.0, 7.0, f64::NAN, f64::INFINITY];

/// Returns settings with one class per variant of [`Idempotency`]. The runaway features are progress events,
/// cancellation, memory grants and holds.
fn generated_settings(runaway_features: bool) -> Settings {
    let mut classes = vec![
        class(Idempotency::Idempotent),
        class(Idempotency::NotIdempotent),
        class(Idempotency::WithKey {
            scope: DeduplicationScope::Cell,
            window: 800 * MS,
        }),
    ];
    classes[IDEMPOTENT].kinds = Some(vec![0]);
    classes[NOT_IDEMPOTENT].ordered_by_key = true;
    let mut settings = default_settings(classes);
    settings.rules.retry_budget = Some(RETRY_BUDGET);
    if runaway_features {
        settings.limits.cancel = true;
        settings.progress_interval = 300 * MS;
        settings.max_grant_mb = 500.0;
    }
    settings
}

fn cell_of(engine: u32) -> u64 {
    u64::from(engine % CELLS)
}

/// State of a request, as known from events and actions.
struct Request {
    class: usize,
    key: Option<u64>,
    valid_until: Micros,
    attempts: u32,
    /// Number and engine of the attempt in flight.
    in_flight: Option<(u32, u32)>,
    /// Cell of the first attempt that may have run.
    possible_run_cell: Option<u64>,
    is_finished: bool,
}

/// Generates arrivals, list changes, holds, and outcomes and progress of the attempts in flight.
struct EventGenerator {
    random: Pcg64Mcg,
    runaway_features: bool,
    next_request: u64,
}

impl EventGenerator {
    fn below(&mut self, bound: u64) -> u64 {
        self.random.next_u64() % bound
    }

    fn events(&mut self, now: Micros, checker: &RuleChecker) -> Vec<Event> {
        let mut events = Vec::new();
        if self.below(60) == 0 || checker.fleet.is_empty() {
            events.push(self.endpoint_change());
        }
        if now < LAST_ARRIVAL && self.below(2) == 0 {
            events.push(self.arrival(now));
        }
        if self.runaway_features && self.below(100) == 0 {
            events.push(self.hold());
        }
        let in_flight: Vec<_> = checker
            .requests
            .iter()
            .filter_map(|(id, request)| Some((*id, request, request.in_flight?)))
            .collect();
        let mut running = Vec::new();
        for (id, request, (attempt, engine)) in in_flight {
            match self.status(now, id, request, checker) {
                Some(status) => events.push(outcome(id, attempt, engine, status)),
                None => running.push((id, attempt, engine)),
            }
        }
        if self.runaway_features {
            let reports = running
                .into_iter()
                .filter_map(|attempt| self.progress(attempt));
            events.extend(reports);
        }
        events
    }

    fn endpoint_change(&mut self) -> Event {
        let engine = self.below(ENGINES) as u32;
        let mut entry = entry(engine, (engine % 2) as usize);
        entry.cell = cell_of(engine);
        entry.readiness =
            [Readiness::Up, Readiness::Up, Readiness::Draining][self.below(3) as usize];
        Event::EndpointList(ListScope::Changes, vec![entry])
    }

    fn arrival(&mut self, now: Micros) -> Event {
        let id = self.next_request;
        self.next_request += 1;
        let class = self.below(3) as usize;
        let key = (class == NOT_IDEMPOTENT).then(|| self.below(3));
        let valid_until = now + S + self.below(4 * S);
        let event = match key {
            Some(key) => keyed_arrival(id, class, valid_until, key),
            None => arrival(id, class, valid_until),
        };
        let kind = self.runaway_features.then_some(id % STATEMENT_KINDS);
        arrival_with(event, |arrival| arrival.kind = kind)
    }

    fn hold(&mut self) -> Event {
        let excluded_engines = (0..ENGINES as u32)
            .filter(|_| self.below(3) == 0)
            .map(EngineId)
            .collect();
        let max_in_flight = [0, 1, 2, u32::MAX][self.below(4) as usize];
        let target = HoldTarget::Kind(self.below(STATEMENT_KINDS));
        Event::Hold(Hold {
            target,
            max_in_flight,
            excluded_engines,
            low_priority: false,
        })
    }

    /// Returns the final status of an attempt in flight if it ends now.
    fn status(
        &mut self,
        now: Micros,
        id: u64,
        request: &Request,
        checker: &RuleChecker,
    ) -> Option<AttemptStatus> {
        if request.valid_until <= now {
            Some(AttemptStatus::TimedOut)
        } else if checker.cancelled.contains(&id) {
            Some(AttemptStatus::Cancelled)
        } else if self.below(12) == 0 {
            Some(STATUSES[self.below(8) as usize])
        } else {
            None
        }
    }

    /// Returns a progress event of an attempt in flight, sometimes with a wrong attempt number or an invalid value.
    fn progress(&mut self, (id, attempt, engine): (u64, u32, u32)) -> Option<Event> {
        if self.below(20) != 0 {
            return None;
        }
        let value = PROGRESS_VALUES[self.below(8) as usize];
        let progress = [
            Progress::Completed(value),
            Progress::Spilling(value * 90.0),
            Progress::Blocked,
        ][self.below(3) as usize];
        let attempt = attempt + u32::from(self.below(9) == 0);
        Some(Event::Progress {
            request: RequestId(id),
            attempt,
            engine: EngineId(engine),
            progress,
        })
    }
}

/// Checks actions against the service rules, based only on events and earlier actions.
struct RuleChecker {
    runaway_features: bool,
    now: Micros,
    fleet: BTreeMap<u32, EndpointEntry>,
    requests: BTreeMap<u64, Request>,
    /// Latest hold on each statement kind.
    holds: BTreeMap<u64, Hold>,
    /// End of the pause of each ordering key.
    key_paused_until: BTreeMap<u64, Micros>,
    arrivals: Vec<Micros>,
    retries: Vec<Micros>,
    /// Requests whose attempt in flight was cancelled by the controller.
    cancelled: BTreeSet<u64>,
    cancellations: u32,
}

impl RuleChecker {
    fn new(runaway_features: bool) -> RuleChecker {
        RuleChecker {
            runaway_features,
            now: FIRST_TICK,
            fleet: BTreeMap::new(),
            requests: BTreeMap::new(),
            holds: BTreeMap::new(),
            key_paused_until: BTreeMap::new(),
            arrivals: Vec::new(),
            retries: Vec::new(),
            cancelled: BTreeSet::new(),
            cancellations: 0,
        }
    }

    fn observe_event(&mut self, event: &Event) {
        match event {
            Event::EndpointList(_, entries) => {
                self.fleet
                    .extend(entries.iter().map(|entry| (entry.engine.0, entry.clone())));
            }
            Event::Arrival(arrival) => self.observe_arrival(arrival),
            Event::Hold(hold) => {
                let HoldTarget::Kind(kind) = hold.target else {
                    unreachable!("a hold of a kind")
                };
                self.holds.insert(kind, hold.clone());
            }
            Event::Outcome(outcome) => self.observe_outcome(outcome),
            _ => {}
        }
    }

    fn observe_arrival(&mut self, arrival: &Arrival) {
        self.arrivals.push(self.now);
        let request = Request {
            class: arrival.class,
            key: arrival.key.map(|key| key.0),
            valid_until: arrival.valid_until,
            attempts: 0,
            in_flight: None,
            possible_run_cell: None,
            is_finished: false,
        };
        self.requests.insert(arrival.request.0, request);
    }

    fn observe_outcome(&mut self, outcome: &Outcome) {
        let request = self
            .requests
            .get_mut(&outcome.request.0)
            .expect("a known request");
        request.in_flight = None;
        request.is_finished |= outcome.status == AttemptStatus::Succeeded;
        if !matches!(
            outcome.status,
            AttemptStatus::Rejected | AttemptStatus::ConnectFailed
        ) {
            request
                .possible_run_cell
                .get_or_insert(cell_of(outcome.engine.0));
        }
        let is_uncertain = matches!(
            outcome.status,
            AttemptStatus::TimedOut | AttemptStatus::ConnectionReset | AttemptStatus::Cancelled
        );
        if let Some(key) = request.key.filter(|_| is_uncertain) {
            self.key_paused_until.insert(key, self.now + KEY_PAUSE);
        }
        if outcome.status == AttemptStatus::Cancelled {
            self.cancelled.remove(&outcome.request.0);
        }
    }

    fn check_action(&mut self, action: &Action) {
        match action {
            Action::Cancel { request, attempt } => self.check_cancel(request.0, *attempt),
            Action::Send {
                request, engine, ..
            } => self.check_send(request.0, *engine),
            Action::Reject { request, .. } => {
                let request = self.finish(request.0);
                assert!(
                    request.class == IDEMPOTENT
                        || (request.possible_run_cell.is_none() && request.in_flight.is_none()),
                    "rule 2: rejection of a request that may have run"
                );
            }
            Action::Fail(request) => {
                self.finish(request.0);
            }
            _ => {}
        }
    }

    /// Marks a request as finished by a final response, and checks that it was not finished before.
    fn finish(&mut self, id: u64) -> &Request {
        let request = self.requests.get_mut(&id).expect("a known request");
        assert!(!request.is_finished, "rule 1: more than one response");
        request.is_finished = true;
        request
    }

    fn check_cancel(&mut self, id: u64, attempt: u32) {
        let in_flight = self.requests[&id].in_flight;
        assert!(
            self.runaway_features && in_flight.is_some_and(|(number, _)| number == attempt),
            "cancellation of an attempt that is not in flight"
        );
        assert!(self.cancelled.insert(id), "cancelled twice");
        self.cancellations += 1;
    }

    fn check_send(&mut self, id: u64, engine: EngineId) {
        let readiness = self.fleet[&engine.0].readiness;
        assert_eq!(readiness, Readiness::Up, "rule 3: engine not up");
        if self.runaway_features {
            self.check_hold(id, engine);
        }
        self.check_key_order(id);
        self.check_placement(id, engine);
        if self.requests[&id].attempts > 0 {
            self.check_retry_budget();
        }
        let request = self.requests.get_mut(&id).expect("a known request");
        request.in_flight = Some((request.attempts, engine.0));
        request.attempts += 1;
    }

    fn check_hold(&self, id: u64, engine: EngineId) {
        let kind = id % STATEMENT_KINDS;
        let Some(hold) = self.holds.get(&kind) else {
            return;
        };
        let is_excluded = hold.excluded_engines.contains(&engine);
        assert!(!is_excluded, "hold: excluded engine");
        let of_kind = self
            .requests
            .iter()
            .filter(|(other, _)| *other % STATEMENT_KINDS == kind);
        let in_flight = of_kind
            .filter(|(_, request)| request.in_flight.is_some())
            .count();
        assert!(
            (in_flight as u32) < hold.max_in_flight,
            "hold: too many attempts in flight"
        );
    }

    fn check_key_order(&self, id: u64) {
        let request = &self.requests[&id];
        let Some(key) = request.key else { return };
        let is_ahead = |other: &Request| {
            other.key == Some(key) && (!other.is_finished || other.in_flight.is_some())
        };
        assert!(
            !self.requests.range(..id).any(|(_, other)| is_ahead(other)),
            "rule 5: request overtook another one of its key"
        );
        let paused_until = self.key_paused_until.get(&key).copied().unwrap_or(0);
        assert!(
            request.attempts > 0 || paused_until <= self.now,
            "rule 5: send during the pause of the key"
        );
    }

    fn check_placement(&self, id: u64, engine: EngineId) {
        let (request, endpoint) = (&self.requests[&id], &self.fleet[&engine.0]);
        assert!(
            !request.is_finished && request.in_flight.is_none() && request.attempts < 3,
            "rules 1 and 2: send of a request that is finished, in flight or out of attempts"
        );
        assert!(
            request.class != IDEMPOTENT || endpoint.kind == Some(0),
            "rule 6: send to an excluded machine kind"
        );
        match (request.class, request.possible_run_cell) {
            (NOT_IDEMPOTENT, Some(_)) => panic!("rule 2: retry without idempotency"),
            (WITH_KEY, Some(cell)) => assert_eq!(endpoint.cell, cell, "rule 2: another cell"),
            _ => {}
        }
    }

    fn check_retry_budget(&mut self) {
        self.retries.push(self.now);
        let in_window = |times: &[Micros]| {
            times
                .iter()
                .filter(|at| **at + RETRY_BUDGET.window > self.now)
                .count() as f64
        };
        let allowed = RETRY_BUDGET.min_retries + RETRY_BUDGET.ratio * in_window(&self.arrivals);
        let retries = in_window(&self.retries);
        assert!(retries <= allowed, "rule 7: retry budget exceeded");
    }

    fn check_deadlines(&self) {
        let is_overdue = |request: &Request| {
            !request.is_finished && self.now > request.valid_until + RESPONSE_TOLERANCE
        };
        let overdue = self
            .requests
            .iter()
            .find(|(_, request)| is_overdue(request));
        let id = overdue.map(|(id, _)| *id);
        assert_eq!(id, None, "rule 1: no response in time");
    }

    /// Checks that the sequence could have exposed violations.
    fn check_coverage(&self) {
        assert!(
            self.requests.len() > 800 && self.requests.values().all(|request| request.is_finished)
        );
        assert!(!self.retries.is_empty(), "no retries in the sequence");
        let cancellations = self.cancellations;
        assert_eq!(
            cancellations > 10,
            self.runaway_features,
            "cancellations, expected more than 10 only with runaway features: {cancellations}"
        );
    }
}

fn check_sequence(seed: u64, runaway_features: bool) {
    println!("seed {seed}, runaway features: {runaway_features}");
    let mut controller =
        Controller::new(generated_settings(runaway_features), seed).expect("usable settings");
    let random = Pcg64Mcg::seed_from_u64(seed);
    let mut generator = EventGenerator {
        random,
        runaway_features,
        next_request: 0,
    };
    let mut checker = RuleChecker::new(runaway_features);
    while checker.now < END {
        let events = generator.events(checker.now, &checker);
        events.iter().for_each(|event| checker.observe_event(event));
        let actions = step(&mut controller, checker.now, &events);
        actions
            .iter()
            .for_each(|action| checker.check_action(action));
        checker.check_deadlines();
        checker.now += TICK;
    }
    checker.check_coverage();
}

#[test]
fn generated_sequences_keep_the_rules() {
    for seed in 0..5 {
        check_sequence(seed, false);
        check_sequence(seed, true);
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let classes = vec![class(Idempotency::Idempotent); 2];
        let mut controller =
            Controller::new(default_settings(classes), 5).expect("usable settings");
        let list = endpoint_list(ListScope::All, &[1, 2, 3]);
        let mut all = step(&mut controller, S, &[list]);
        for id in 0..200 {
            all.extend(step(
                &mut controller,
                S + id * 5 * MS,
                &[arrival(id, (id % 2) as usize, 9 * S)],
            ));
        }
        all
    };
    let all = run();
    assert!(!sends(&all).is_empty());
    assert_eq!(all, run());
}
