//! Housekeeping on a timer, deadlines of requests, and their final answers.

use crate::interface::{Action, DeduplicationScope, Idempotency, Micros, RequestId};
use crate::state::Controller;

/// Interval of housekeeping: deadlines, late requests, silent engines.
pub(crate) const HOUSEKEEPING_INTERVAL: Micros = 20_000;
/// Queued requests are answered this long before the client gives up.
pub(crate) const DEADLINE_MARGIN: Micros = 3 * HOUSEKEEPING_INTERVAL;

impl Controller {
    pub(crate) fn housekeep(&mut self, out: &mut Vec<Action>) {
        self.prune_windows();
        self.resume_keys(out);
        self.abandon_expired(out);
        self.requeue_late(out);
        // Each open request takes a connection of its clients: with none left, new requests are not sent.
        while self.open_requests_run_out() {
            let longest_open = self.late_heads().min_by_key(|id| (self.requests[id].started_at, *id));
            let Some(id) = longest_open else { break };
            self.abandon(id, out);
        }
        self.unblock(out);
        self.cancel_lost_attempts(out);
        self.eject_silent_engines();
        if self.next_subscribe.is_some_and(|at| at <= self.now) {
            self.next_subscribe = None;
            out.push(Action::Subscribe);
        }
    }

    /// Queues the first request of each ordering key whose pause is over.
    fn resume_keys(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        self.key_queues.retain(|_, queue| !queue.requests.is_empty() || queue.paused_until > now);
        let resumed = self.key_queues.values().filter(|queue| queue.paused_until <= now);
        let first: Vec<RequestId> = resumed.filter_map(|queue| queue.requests.front().copied()).collect();
        for id in first {
            self.enqueue(id, out);
        }
    }

    /// Answers requests whose clients are about to give up; those in flight end with their attempts.
    fn abandon_expired(&mut self, out: &mut Vec<Action>) {
        let until = self.now + DEADLINE_MARGIN;
        while let Some(&(at, id)) = self.deadlines.first().filter(|(at, _)| *at <= until) {
            self.deadlines.remove(&(at, id));
            if self.requests.get(&id).is_some_and(|request| request.in_flight.is_empty()) {
                self.abandon(id, out);
            }
        }
    }

    /// Queues requests that have become late behind the others, or sheds them.
    fn requeue_late(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        let queues = self.classes.iter().map(|class| &class.queue);
        let overdue = queues.flat_map(|queue| queue.iter().take_while(|e| !e.late && e.start_by < now));
        let overdue: Vec<RequestId> = overdue.map(|entry| entry.request).collect();
        for id in overdue {
            self.dequeue(id);
            self.enqueue(id, out);
        }
    }

    /// Ends a request at once: rejected where trying again is harmless, failed where that can't be told.
    pub(crate) fn abandon(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let never_ran = request.possible_run.is_none() && request.in_flight.is_empty();
        let harmless = match self.settings.classes[request.class].idempotency {
            Idempotency::Idempotent | Idempotency::WithKey { scope: DeduplicationScope::All, .. } => true,
            Idempotency::WithKey { .. } | Idempotency::NotIdempotent => never_ran,
        };
        let limits = &self.settings.limits;
        let retry_after = limits.retry_after.then_some(limits.max_retry_after);
        let answer = if harmless { Action::Reject { request: id, retry_after } } else { Action::Fail(id) };
        self.finish(id, Some(answer), out);
    }

    /// Ends a request, as nothing else does: answers if still owed, and lets the next one of its key run.
    pub(crate) fn finish(&mut self, id: RequestId, answer: Option<Action>, out: &mut Vec<Action>) {
        self.dequeue(id);
        let Some(request) = self.requests.get_mut(&id) else { return };
        if !request.done {
            request.done = true;
            out.extend(answer);
            self.deadlines.remove(&(request.valid_until, id));
            if request.attempts == 0 {
                self.classes[request.class].waits.add(self.now - request.arrived_at);
            }
        }
        if !request.in_flight.is_empty() {
            // Its attempts still hold slots, and its ordering key, until the engines have stopped them.
            let attempts = self.engines.values_mut().flat_map(|e| &mut e.in_flight);
            let own = attempts.filter(|a| self.settings.limits.cancel && a.request == id);
            own.for_each(|attempt| attempt.cancel(out));
            return;
        }
        let key = self.requests.remove(&id).and_then(|request| request.key);
        if let Some(queue) = key.and_then(|key| self.key_queues.get_mut(&key)) {
            queue.requests.retain(|other| *other != id); // Housekeeping resumes the key, after its pause.
        }
    }
}
