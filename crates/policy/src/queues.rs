//! Arrival and admission: ordering keys, class queues, requests blocked by a hold.

use std::collections::BTreeMap;

use crate::concurrency::MAX_REPORTED;
use crate::deadlines::DEADLINE_MARGIN;
use crate::interface::{Action, Arrival, HoldTarget, Micros, RequestId};
use crate::state::{Controller, QueueEntry, Request};

const MIN_LATE_WEIGHT_RATIO: f64 = 0.2; // Late requests that keep less of their weight are shed, not queued.
const OPEN_REQUESTS_RATIO: f64 = 0.7; // Of the requests that may be open; over it late ones are shed.
const MIN_SLACK_RATIO: f64 = 0.4; // Part of the objective that a request may wait before it is late.
const MAX_UNBLOCKED: u32 = 64; // Requests per hold that go back to their queues at each housekeeping.

impl Controller {
    pub(crate) fn on_arrival(&mut self, arrival: &Arrival, out: &mut Vec<Action>) {
        if arrival.class >= self.classes.len() || self.requests.contains_key(&arrival.request) {
            return;
        }
        self.admissions.push_back(self.now);
        let request = self.new_request(arrival);
        let key = request.key;
        self.requests.insert(arrival.request, request);
        self.deadlines.insert((arrival.valid_until, arrival.request));
        if let Some(key) = key {
            let queue = self.key_queues.entry(key).or_default();
            queue.requests.push_back(arrival.request);
            if queue.requests.len() > 1 || queue.paused_until > self.now {
                return;
            }
        }
        self.enqueue(arrival.request, out);
    }

    fn new_request(&self, arrival: &Arrival) -> Request {
        let class = &self.settings.classes[arrival.class];
        // The deadline spans all tries of the client: a retry began earlier.
        let first_try = arrival.valid_until.saturating_sub(class.deadline).min(self.now);
        // Where memory is overcommitted, a grant beyond the need takes nothing.
        let estimate = arrival.estimated_memory_mb.clamp(0.0, MAX_REPORTED);
        let usual_grant = estimate * (1.0 + self.classes[arrival.class].grant_margin);
        let grant = if self.settings.memory_overcommit { MAX_REPORTED } else { usual_grant };
        Request {
            class: arrival.class,
            key: arrival.key.filter(|_| class.ordered_by_key),
            valid_until: arrival.valid_until,
            group: arrival.group,
            kind: arrival.kind,
            started_at: if arrival.is_retry { first_try } else { self.now },
            arrived_at: self.now,
            grant_mb: grant.min(self.settings.max_grant_mb),
            ..Request::default()
        }
    }

    /// Puts a request into its class queue, or answers it where waiting is of no use.
    pub(crate) fn enqueue(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.done || request.queued.is_some() || !request.in_flight.is_empty() {
            return;
        }
        let start_by = self.latest_start(request);
        let late = start_by < self.now;
        let out_of_time = self.now + DEADLINE_MARGIN >= request.valid_until;
        let late_weight_ratio = self.settings.classes[request.class].late_weight_ratio;
        let shed = late && (late_weight_ratio < MIN_LATE_WEIGHT_RATIO || self.open_requests_run_out());
        if out_of_time || shed || (request.attempts > 0 && !self.may_retry(request)) {
            return self.abandon(id, out);
        }
        let entry = QueueEntry { late, start_by, request: id };
        self.classes[request.class].queue.insert(entry);
        if let Some(request) = self.requests.get_mut(&id) {
            request.queued = Some(entry);
        }
    }

    /// The latest start that meets the objective when the query runs as those of its class run now.
    fn latest_start(&self, request: &Request) -> Micros {
        let (config, state) = (&self.settings.classes[request.class], &self.classes[request.class]);
        let objective = config.latency_objective as f64;
        let slowdown = (state.mean_run * config.threads / state.mean_work).max(1.0);
        // A mean run is kept in reserve: half the queries run longer.
        let slack = objective + (config.objective_stretch - slowdown) * state.mean_work / config.threads
            - state.mean_run;
        request.started_at.saturating_add(slack.max(objective * MIN_SLACK_RATIO) as Micros)
    }

    /// Whether the requests that clients can have open run out.
    pub(crate) fn open_requests_run_out(&self) -> bool {
        let max = self.settings.limits.max_open_requests;
        max > 0 && self.deadlines.len() as f64 > OPEN_REQUESTS_RATIO * max as f64
    }

    /// Queues blocked requests again: as many as their hold has slots, and no more than can be tried at once.
    pub(crate) fn unblock(&mut self, out: &mut Vec<Action>) {
        let free = |max: u32, in_flight: u32| max.saturating_sub(in_flight).min(MAX_UNBLOCKED);
        let holds = self.holds.iter();
        let mut slots: BTreeMap<HoldTarget, u32> =
            holds.map(|(target, h)| (*target, free(h.hold.max_in_flight, h.in_flight))).collect();
        let mut unblocked = Vec::new();
        for id in &self.blocked {
            let Some(request) = self.requests.get(id) else { continue };
            if request.hold_targets().all(|target| slots.get(&target).is_none_or(|n| *n > 0)) {
                request.hold_targets().for_each(|target| _ = slots.get_mut(&target).map(|n| *n -= 1));
                unblocked.push(*id);
            }
        }
        for id in unblocked {
            self.blocked.remove(&id);
            self.enqueue(id, out);
        }
    }
}
