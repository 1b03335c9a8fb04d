//! Dispatch: draws a class for each free slot and sends the head of its queue to an eligible engine.

use rand_core::RngCore;

use super::Controller;
use crate::attempt::InFlightAttempt;
use crate::endpoint_selection::EndpointSelection;
use crate::idempotency::{risks_unknown_result, safe_until};
use crate::interface::{Action, EngineId, Micros, RequestId};
use crate::priority::{DEFAULT_PRIORITY, priority};
use crate::request::Request;

impl Controller {
    /// Draws a class for every free slot. Late requests are sent after all others.
    pub(super) fn dispatch(&mut self, out: &mut Vec<Action>) {
        for late in [false, true] {
            let mut candidates: Vec<usize> = (0..self.statistics.len()).collect();
            loop {
                candidates.retain(|class| self.queues.first(*class, late).is_some());
                if candidates.is_empty() {
                    break;
                }
                let class = self.scheduler.draw(&candidates, &mut self.rng);
                let Some(id) = self.queues.first(class, late) else {
                    break;
                };
                if !self.try_dispatch(id, out) {
                    // No engine is eligible: the other classes get the slots.
                    candidates.retain(|other| *other != class);
                }
            }
        }
    }

    /// Sends, abandons or holds back the head of a queue. Returns `false` if it stays because no engine is eligible.
    fn try_dispatch(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let Some(request) = self.requests.get(id) else {
            return false;
        };
        if !self.may_send(request) || self.risks_unknown_result(request) {
            self.abandon(id, out);
            return true;
        }
        let salt = self.rng.next_u64();
        let Some(request) = self.requests.get(id) else {
            return false;
        };
        if let Some(engine) = self.endpoint_selection().select(request, salt) {
            self.send(id, engine, out);
            return true;
        }
        let is_held = self.holds.covers(request.properties);
        if is_held {
            // At the head of its queue, the request could keep its class waiting, even if the hold is not what made all
            // engines ineligible. Housekeeping queues it again when the hold has a slot.
            self.dequeue(id);
            self.holds.add_held(id);
        }
        is_held
    }

    fn risks_unknown_result(&self, request: &Request) -> bool {
        let idempotency = self.settings.classes[request.class].idempotency;
        let time_left = request.valid_until.saturating_sub(self.now);
        risks_unknown_result(idempotency, &self.statistics[request.class], time_left)
    }

    fn endpoint_selection(&self) -> EndpointSelection<'_> {
        EndpointSelection {
            settings: &self.settings,
            classes: self.classes(),
            engines: &self.engines,
            congestion_window: &self.congestion_window,
            load_level: self.load_level.get(),
            holds: &self.holds,
            now: self.now,
        }
    }

    /// Sends a request. This is the only function that sends requests.
    fn send(&mut self, id: RequestId, engine_id: EngineId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let priority = self.priority(request);
        let class = request.class;
        let safe_until = safe_until(
            self.settings.classes[class].idempotency,
            request.attempts.possible_run(),
        );
        self.dequeue(id);
        let (Some(request), Some(engine)) =
            (self.requests.get_mut(id), self.engines.get_mut(&engine_id))
        else {
            return;
        };
        if request.attempts.count() == 0 {
            self.queues
                .record_wait(class, self.now - request.arrived_at);
        } else {
            self.retry_usage.record_retry(self.now);
        }
        let number = request.attempts.add(engine_id);
        engine.add_attempt(
            InFlightAttempt::new(id, number, class, self.now),
            self.statistics[class].mean_work(),
        );
        self.congestion_window
            .add_in_flight(class, self.settings.classes[class].threads());
        self.holds.record_send(request.properties);
        let memory_grant_mb = request.memory.megabytes();
        if (self.settings.limits.priorities && priority != DEFAULT_PRIORITY)
            || memory_grant_mb > 0.0
        {
            out.push(Action::SetOptions {
                request: id,
                priority,
                memory_grant_mb,
            });
        }
        let send_by = Some(safe_until).filter(|by| *by < Micros::MAX);
        out.push(Action::Send {
            request: id,
            engine: engine_id,
            send_by,
        });
        self.health_checks.record_send();
    }

    fn priority(&self, request: &Request) -> u8 {
        let is_low_priority = request.is_late() || self.holds.is_low_priority(request.properties);
        priority(
            is_low_priority,
            self.classes().has_highest_weight_per_work(request.class),
        )
    }
}
