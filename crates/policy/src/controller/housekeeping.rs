//! Periodic housekeeping: windows, ordering keys, deadlines, late and held requests, lost attempts, silent engines,
//! and the subscription to the endpoint list.

use super::Controller;
use crate::admission::first_to_shed;
use crate::attempt_progress::lost_after;
use crate::engine::cancel_attempts;
use crate::interface::Action;
use crate::intervals::DEADLINE_MARGIN;
use crate::outlier_detection::eject_silent_engines;

impl Controller {
    pub(super) fn run_housekeeping(&mut self, out: &mut Vec<Action>) {
        self.prune_windows();
        self.resume_keys(out);
        self.abandon_expired(out);
        self.requeue_overdue(out);
        self.shed_late(out);
        self.requeue_released(out);
        self.cancel_lost_attempts(out);
        eject_silent_engines(&mut self.engines, &self.statistics, self.now);
        if self.subscription.take_due(self.now) {
            out.push(Action::Subscribe);
        }
    }

    /// Removes entries that are older than the retry budget window or the overload window.
    fn prune_windows(&mut self) {
        let rules = &self.settings.rules;
        self.retry_usage.prune(rules.retry_budget, self.now);
        for engine in self.engines.values_mut() {
            engine.recent_sends.prune(self.now, rules.overload_window);
        }
    }

    /// Queues the first request of each ordering key that is not paused.
    fn resume_keys(&mut self, out: &mut Vec<Action>) {
        for id in self.ordering_keys.runnable_requests(self.now) {
            self.enqueue(id, out);
        }
    }

    /// Abandons requests whose clients are about to give up. Requests in flight end with their attempts.
    fn abandon_expired(&mut self, out: &mut Vec<Action>) {
        while let Some(id) = self.requests.take_expired(self.now + DEADLINE_MARGIN) {
            if self
                .requests
                .get(id)
                .is_some_and(|request| !request.attempts.is_any_in_flight())
            {
                self.abandon(id, out);
            }
        }
    }

    /// Sheds requests that have become late, or queues them behind the others.
    fn requeue_overdue(&mut self, out: &mut Vec<Action>) {
        for id in self.queues.overdue(self.now) {
            self.dequeue(id);
            self.enqueue(id, out);
        }
    }

    /// Sheds late requests while the clients are near their connection limit.
    fn shed_late(&mut self, out: &mut Vec<Action>) {
        while self.is_near_connection_limit() {
            let Some(id) = first_to_shed(self.queues.late_heads(), &self.requests) else {
                break;
            };
            self.abandon(id, out);
        }
    }

    /// Queues held requests whose holds have free slots.
    fn requeue_released(&mut self, out: &mut Vec<Action>) {
        let requests = &self.requests;
        let properties_of = |id| requests.get(id).map(|request| request.properties);
        for id in self.holds.take_releasable(properties_of) {
            self.enqueue(id, out);
        }
    }

    /// Cancels attempts whose progress events are overdue so that their requests can be retried. Does nothing if
    /// engines send no progress events or attempts can't be cancelled.
    fn cancel_lost_attempts(&mut self, out: &mut Vec<Action>) {
        if let Some(lost_after) = lost_after(&self.settings) {
            let now = self.now;
            cancel_attempts(&mut self.engines, out, |attempt| {
                attempt.progress.is_lost(lost_after, now)
            });
        }
    }
}
