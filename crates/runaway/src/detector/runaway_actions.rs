//! Actions against a runaway, as the options of its class allow: killing it, pausing it and holding its fingerprint.

use hoptiller_policy::Micros;

use super::RunawayDetector;
use crate::interface::{AttemptId, Cause, Decision, FingerprintId};

impl RunawayDetector {
    /// Applies the enforcement options of its class to a runaway. `deadlock_members` names the other members of the
    /// cycle and is read only for a deadlock. The fingerprint of an attempt that no longer executes can only be held.
    pub(super) fn enforce(
        &mut self,
        now: Micros,
        id: AttemptId,
        cause: Cause,
        deadlock_members: &[String],
    ) {
        // In a deadlock, only the youngest attempt is killed: it has done the least work, and the others can continue.
        let has_younger = cause == Cause::Deadlock
            && deadlock_members
                .iter()
                .filter_map(|name| self.attempts.id_by_name(name))
                .any(|other| other > id);
        let Some(attempt) = self.attempts.get_mut(id) else {
            return;
        };
        let class = &self.settings.classes[attempt.start().class];
        let options = class.enforcement;
        if attempt.is_executing() {
            if options.kill && !has_younger {
                let kill_at = now + self.settings.kill_after;
                attempt.enforcement.schedule_kill(kill_at);
            }
            // Pausing a statement that others wait for would prolong their wait.
            let blocks_others = class.locks_group
                || matches!(cause, Cause::Blocks | Cause::Deadlock | Cause::Memory);
            let resume_at = now + self.settings.pause_for;
            if options.pause && !blocks_others && attempt.enforcement.pause_until(resume_at) {
                self.decisions.push(Decision::Pause(id));
            }
        }
        if options.hold {
            self.hold_fingerprint(now, id, options.low_priority);
        }
    }

    /// Kills and resumes the attempts that are due.
    pub(super) fn enforce_due(&mut self, now: Micros) {
        for attempt in self.attempts.values_mut() {
            let id = attempt.start().attempt;
            let is_executing = attempt.is_executing();
            let due = attempt.enforcement.take_due(now, is_executing);
            if due.resume {
                self.decisions.push(Decision::Resume(id));
            }
            if due.kill {
                self.decisions.push(Decision::Kill(id));
            }
        }
    }

    /// Holds the fingerprint of a runaway.
    fn hold_fingerprint(&mut self, now: Micros, id: AttemptId, low_priority: bool) {
        let Some(attempt) = self.attempts.get(id) else {
            return;
        };
        let start = attempt.start();
        let (class, label) = (start.class, start.label.clone());
        let held_as = self.fingerprint_to_hold(now, start.fingerprint, class);
        self.holds
            .add_runaway(now, held_as, class, &label, low_priority);
        if let Some(attempt) = self.attempts.get_mut(id) {
            attempt.count_in_hold(held_as);
        }
    }

    /// Returns the fingerprint to hold: the runaway's own, or the one that stands for all unknown fingerprints of its
    /// class.
    fn fingerprint_to_hold(
        &mut self,
        now: Micros,
        fingerprint: FingerprintId,
        class: usize,
    ) -> FingerprintId {
        if self.statistics.is_known(fingerprint) {
            return fingerprint;
        }
        let are_held_together = self.unknown_runaways.record(now, class);
        // While the class itself is new, all of its fingerprints are unknown, so holding them together would hold the
        // whole class.
        if are_held_together && self.statistics.known_count(class) > 0 {
            FingerprintId::unknown(&self.settings.classes[class].name)
        } else {
            fingerprint
        }
    }
}
