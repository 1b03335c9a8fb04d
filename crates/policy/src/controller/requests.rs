//! Life cycle of a request: arrival, queueing, and its single final response.

use super::Controller;
use crate::admission::{Admission, admit, is_near_connection_limit};
use crate::class_queue::QueueEntry;
use crate::completion::abandonment_response;
use crate::engine::cancel_attempts;
use crate::hold::StatementProperties;
use crate::interface::{Action, Arrival, RequestId};
use crate::memory_grant::MemoryGrant;
use crate::request::Request;

impl Controller {
    /// Accepts a new request. Requests with an unknown class or a known id are ignored.
    pub(super) fn on_arrival(&mut self, arrival: &Arrival, out: &mut Vec<Action>) {
        let id = arrival.request;
        if arrival.class >= self.statistics.len() || self.requests.contains(id) {
            return;
        }
        self.retry_usage.record_arrival(self.now);
        let request = self.new_request(arrival);
        let key = request.key;
        self.requests.insert(id, request);
        if key.is_none_or(|key| self.ordering_keys.push(key, id, self.now)) {
            self.enqueue(id, out);
        }
    }

    fn new_request(&self, arrival: &Arrival) -> Request {
        let class = &self.settings.classes[arrival.class];
        // The deadline covers the client's first request and its retries, so the first request was sent this long
        // before the deadline.
        let first_sent_at = arrival
            .valid_until
            .saturating_sub(class.deadline)
            .min(self.now);
        let margin = &self.grant_margins[arrival.class];
        Request {
            class: arrival.class,
            key: arrival.key.filter(|_| class.ordered_by_key),
            valid_until: arrival.valid_until,
            first_sent_at: if arrival.is_retry {
                first_sent_at
            } else {
                self.now
            },
            arrived_at: self.now,
            properties: StatementProperties {
                kind: arrival.kind,
                group: arrival.group,
            },
            memory: MemoryGrant::new(arrival.estimated_memory_mb, margin, &self.settings),
            ..Request::default()
        }
    }

    /// Puts a request into its class queue, or abandons it if waiting is useless. Does nothing if the request is done,
    /// queued or in flight.
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

    /// Returns whether a request may be sent, for the first time or again.
    pub(super) fn may_send(&self, request: &Request) -> bool {
        let idempotency = self.settings.classes[request.class].idempotency;
        let (limits, budget) = (&self.settings.limits, self.settings.rules.retry_budget);
        let attempts = &request.attempts;
        attempts.count() == 0
            || attempts.may_retry(idempotency, limits, budget, &self.retry_usage, self.now)
    }

    pub(super) fn is_near_connection_limit(&self) -> bool {
        is_near_connection_limit(self.requests.pending_count(), &self.settings.limits)
    }

    /// Removes a request from its class queue, or from the requests held back by holds.
    pub(super) fn dequeue(&mut self, id: RequestId) {
        self.holds.remove_held(id);
        if let Some(request) = self.requests.get_mut(id)
            && let Some(entry) = request.queue_entry.take()
        {
            self.queues.remove(request.class, &entry);
        }
    }

    /// Ends a request immediately, with a response that tells whether a retry is safe.
    pub(super) fn abandon(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if let Some(request) = self.requests.get(id) {
            let class = &self.settings.classes[request.class];
            let response = abandonment_response(id, request, class, &self.settings.limits);
            self.finish(id, Some(response), out);
        }
    }

    /// Ends a request: sends the final response if it is still due, and lets the next request of its ordering key run.
    /// All requests end here.
    pub(super) fn finish(
        &mut self,
        id: RequestId,
        response: Option<Action>,
        out: &mut Vec<Action>,
    ) {
        self.dequeue(id);
        let was_open = self.requests.mark_done(id);
        let Some(request) = self.requests.get(id) else {
            return;
        };
        if was_open {
            out.extend(response);
            if request.attempts.count() == 0 {
                self.queues
                    .record_wait(request.class, self.now - request.arrived_at);
            }
        }
        if request.attempts.is_any_in_flight() {
            // The attempts occupy their slots and the ordering key until the engines have stopped them.
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
