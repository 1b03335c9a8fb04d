//! The life of a request: arrival, waiting, and its one final answer.

use super::Controller;
use crate::admission::{Admission, admit, is_near_connection_limit};
use crate::class_queue::QueueEntry;
use crate::completion::abandonment_response;
use crate::engine::cancel_attempts;
use crate::hold::HoldTargets;
use crate::interface::{Action, Arrival, RequestId};
use crate::memory_grant::MemoryGrant;
use crate::request::Request;

impl Controller {
    /// Accepts a new request; one whose class or number can't be is ignored.
    pub(super) fn on_arrival(&mut self, arrival: &Arrival, out: &mut Vec<Action>) {
        let id = arrival.request;
        if arrival.class >= self.statistics.len() || self.requests.contains(id) {
            return;
        }
        self.retry_usage.record_admission(self.now);
        let request = self.new_request(arrival);
        let key = request.key;
        self.requests.insert(id, request);
        if key.is_none_or(|key| self.ordering_keys.push(key, id, self.now)) {
            self.enqueue(id, out);
        }
    }

    fn new_request(&self, arrival: &Arrival) -> Request {
        let class = &self.settings.classes[arrival.class];
        // The deadline spans all tries of the client: a retry began earlier.
        let first_try = arrival
            .valid_until
            .saturating_sub(class.deadline)
            .min(self.now);
        let margin = &self.grant_margins[arrival.class];
        Request {
            class: arrival.class,
            key: arrival.key.filter(|_| class.ordered_by_key),
            valid_until: arrival.valid_until,
            started_at: if arrival.is_retry {
                first_try
            } else {
                self.now
            },
            arrived_at: self.now,
            hold_targets: HoldTargets {
                kind: arrival.kind,
                group: arrival.group,
            },
            memory: MemoryGrant::new(arrival.estimated_memory_mb, margin, &self.settings),
            ..Request::default()
        }
    }

    /// Puts a request into its class queue, or answers it where waiting is of no use. A request that is answered, queued
    /// or in flight stays as it is.
    pub(super) fn enqueue(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        if request.done || request.queue_entry.is_some() || request.attempts.is_any_in_flight() {
            return;
        }
        let class = request.class;
        let (config, statistics) = (&self.settings.classes[class], &self.statistics[class]);
        let admission = admit(
            request,
            config,
            statistics,
            self.is_near_connection_limit(),
            self.now,
        );
        match admission {
            Admission::Queue { late, start_by } if self.may_send(request) => {
                let entry = QueueEntry {
                    late,
                    start_by,
                    request: id,
                };
                self.queues.insert(class, entry);
                if let Some(request) = self.requests.get_mut(id) {
                    request.queue_entry = Some(entry);
                }
            }
            Admission::Queue { .. } | Admission::Abandon => self.abandon(id, out),
        }
    }

    /// Whether a request may be sent for the first time, or again.
    pub(super) fn may_send(&self, request: &Request) -> bool {
        let idempotency = self.settings.classes[request.class].idempotency;
        let (limits, budget) = (&self.settings.limits, self.settings.rules.retry_budget);
        let attempts = &request.attempts;
        attempts.count() == 0
            || attempts.may_retry(idempotency, limits, budget, &self.retry_usage, self.now)
    }

    pub(super) fn is_near_connection_limit(&self) -> bool {
        is_near_connection_limit(self.requests.waiting_count(), &self.settings.limits)
    }

    /// Takes a request out of its class queue, or out of those blocked by a hold.
    pub(super) fn dequeue(&mut self, id: RequestId) {
        self.holds.unblock(id);
        if let Some(request) = self.requests.get_mut(id)
            && let Some(entry) = request.queue_entry.take()
        {
            self.queues.remove(request.class, &entry);
        }
    }

    /// Ends a request at once, with an answer that tells whether trying again is harmless.
    pub(super) fn abandon(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if let Some(request) = self.requests.get(id) {
            let class = &self.settings.classes[request.class];
            let answer = abandonment_response(id, request, class, &self.settings.limits);
            self.finish(id, Some(answer), out);
        }
    }

    /// Ends a request, as nothing else does: answers if still owed, and lets the next one of its key run.
    pub(super) fn finish(&mut self, id: RequestId, answer: Option<Action>, out: &mut Vec<Action>) {
        self.dequeue(id);
        let was_owed = self.requests.mark_done(id);
        let Some(request) = self.requests.get(id) else {
            return;
        };
        if was_owed {
            out.extend(answer);
            if request.attempts.count() == 0 {
                self.queues
                    .record_wait(request.class, self.now - request.arrived_at);
            }
        }
        if request.attempts.is_any_in_flight() {
            // Its attempts still hold slots, and its ordering key, until the engines have stopped them.
            if self.settings.limits.cancel {
                cancel_attempts(&mut self.engines, out, |attempt| attempt.request == id);
            }
            return;
        }
        let key = self.requests.remove(id).and_then(|request| request.key);
        if let Some(key) = key {
            self.ordering_keys.remove(key, id);
        }
    }
}
