//! What is done about a runaway, as the options of its class allow: hold its fingerprint, exclude its table group from
//! the engine that it blocks, pause it, end it.

use std::collections::BTreeMap;

use hoptiller_policy::{EngineId, Micros};

use crate::detector::RunawayDetector;
use crate::interface::{AttemptId, Cause, Decision, FingerprintId};

/// Runaways of unknown fingerprints of a class, within the window, from which all of them are held together.
const MIN_UNKNOWN_RUNAWAYS: usize = 3;
/// That window.
const UNKNOWN_RUNAWAYS_WINDOW: Micros = 300_000_000;

impl RunawayDetector {
    /// Enforces the options of its class on a runaway. `blocks` are the others of a deadlock.
    pub(crate) fn enforce(&mut self, now: Micros, id: AttemptId, cause: Cause, blocks: &[String]) {
        let youngest = blocks
            .iter()
            .filter_map(|name| self.attempt_by_name(name))
            .chain([id])
            .max();
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let (class, fingerprint, label) = (
            attempt.start.class,
            attempt.start.fingerprint,
            attempt.start.label.clone(),
        );
        let class_settings = &self.settings.classes[class];
        let enforcement = class_settings.enforcement;
        let is_executing = attempt.is_executing();
        // Of a deadlock, the youngest is ended: it has done the least work, and the others can continue.
        let is_older = cause == Cause::Deadlock && youngest.is_some_and(|y| y != id);
        if enforcement.end && is_executing && !is_older {
            attempt.end_at = Some(now + self.settings.end_after);
        }
        // A paused statement would keep what others wait for even longer.
        let blocks_others = class_settings.holds_tables
            || matches!(cause, Cause::Blocks | Cause::Deadlock | Cause::Memory);
        if enforcement.pause && is_executing && !blocks_others && !attempt.is_paused {
            (attempt.is_paused, attempt.resume_at) = (true, Some(now + self.settings.pause_for));
            self.decisions.push(Decision::Pause(id));
        }
        if !enforcement.hold {
            return;
        }
        let held_as = self.fingerprint_to_hold(now, fingerprint, class);
        self.holds
            .add_runaway(now, held_as, class, &label, enforcement.lower);
        if let Some(attempt) = self.attempts.get_mut(&id) {
            (attempt.counted_in_hold, attempt.start.held_as) = (true, held_as);
        }
    }

    /// The fingerprint to hold: its own, or that of all unknown fingerprints if several of them ran away, as happens
    /// when every text is different.
    fn fingerprint_to_hold(
        &mut self,
        now: Micros,
        fingerprint: FingerprintId,
        class: usize,
    ) -> FingerprintId {
        if self.statistics.is_known(fingerprint) {
            return fingerprint;
        }
        let times = &mut self.unknown_runaways[class];
        times.push_back(now);
        while times
            .front()
            .is_some_and(|at| now - *at > UNKNOWN_RUNAWAYS_WINDOW)
        {
            times.pop_front();
        }
        // While the class itself is new, all of its fingerprints are unknown.
        match times.len() >= MIN_UNKNOWN_RUNAWAYS && self.statistics.known_in_class(class) > 0 {
            true => FingerprintId::unknown(&self.settings.classes[class].name),
            false => fingerprint,
        }
    }

    /// Ends and resumes attempts that are due.
    pub(crate) fn enforce_due(&mut self, now: Micros) {
        for (id, attempt) in &mut self.attempts {
            let is_executing = attempt.is_executing();
            if attempt
                .resume_at
                .is_some_and(|at| at <= now || !is_executing)
            {
                attempt.resume_at = None;
                self.decisions.push(Decision::Resume(*id));
            }
            if is_executing && !attempt.end_requested && attempt.end_at.is_some_and(|at| at <= now)
            {
                attempt.end_requested = true;
                self.decisions.push(Decision::End(*id));
            }
        }
    }

    /// Excludes table groups from engines where a runaway load holds them.
    pub(crate) fn exclude_blocked_groups(&mut self, now: Micros) {
        let mut excluded: BTreeMap<u64, Vec<EngineId>> = BTreeMap::new();
        for attempt in self.attempts.values() {
            let class_settings = &self.settings.classes[attempt.start.class];
            let (true, true, Some(group)) = (
                class_settings.holds_tables,
                class_settings.enforcement.hold,
                attempt.start.group,
            ) else {
                continue;
            };
            if self.findings.is_runaway(&attempt.subject()) {
                let engines = excluded.entry(group).or_default();
                if !engines.contains(&attempt.start.engine) {
                    engines.push(attempt.start.engine);
                }
            }
        }
        for remote in self
            .remote_statements
            .values()
            .filter(|remote| now < remote.excluded_until)
        {
            // Without a reported class, it is enough that any class allows it.
            let mut classes = self.settings.classes.iter().enumerate();
            if classes.any(|(n, c)| remote.class.is_none_or(|of| of == n) && c.enforcement.hold) {
                for group in &remote.groups {
                    let engines = excluded.entry(*group).or_default();
                    if !engines.contains(&remote.engine) {
                        engines.push(remote.engine);
                    }
                }
            }
        }
        self.holds.exclude_groups(excluded);
    }
}
