//! Owns what is done about a runaway, by the rules for its class: hold its kind, keep its tables away from where it
//! holds them, let it stand still, end it.

use std::collections::BTreeMap;

use hoptiller_policy::{EngineId, Micros};

use crate::interface::*;
use crate::watch::RunawayDetector;

/// Runaways of kinds hardly known, within this time, for which such kinds are held together.
const STRANGERS: usize = 3;
const STRANGERS_IN: Micros = 300_000_000;

impl RunawayDetector {
    /// What is done about a runaway, by the rules for its class.
    pub(crate) fn act(&mut self, now: Micros, id: AttemptId, cause: Cause, blocks: &[String]) {
        let youngest = blocks
            .iter()
            .filter_map(|name| self.named(name))
            .chain([id])
            .max();
        let Some(o) = self.outs.get_mut(&id) else {
            return;
        };
        let (class, kind, label) = (o.start.class, o.start.kind, o.start.label.clone());
        let spec = &self.cfg.classes[class];
        let enforcement = spec.enforcement;
        let alive = o.gone.is_none() && o.flowing.is_none();
        // Of a circle, the last to come is ended: it has the least to lose, and the others can go on.
        let later = cause == Cause::Deadlock && youngest.is_some_and(|y| y != id);
        if enforcement.end && alive && !later {
            o.end_at = Some(now + self.cfg.end_after);
        }
        // Danger: one that holds what others wait for would hold it all the longer.
        let holds_up =
            spec.holds || matches!(cause, Cause::Blocks | Cause::Deadlock | Cause::Memory);
        if enforcement.pause && alive && !holds_up && !o.paused {
            (o.paused, o.resume_at) = (true, Some(now + self.cfg.pause_for));
            self.decisions.push(Decision::Pause(id));
        }
        if !enforcement.hold {
            return;
        }
        let held_as = self.hold_kind(now, kind, class);
        self.holds
            .found(now, held_as, class, &label, enforcement.lower);
        if let Some(o) = self.outs.get_mut(&id) {
            (o.counts, o.start.held_as) = (true, held_as);
        }
    }

    /// The kind to hold: the statement's own, or all that are hardly known where several of them ran away, as
    /// when every text is another one.
    fn hold_kind(&mut self, now: Micros, kind: FingerprintId, class: usize) -> FingerprintId {
        if self.book.is_known(kind) {
            return kind;
        }
        let times = &mut self.strangers[class];
        times.push_back(now);
        while times.front().is_some_and(|at| now - *at > STRANGERS_IN) {
            times.pop_front();
        }
        // While the class itself is new, all of its kinds are.
        match times.len() >= STRANGERS && self.book.known_of(class) > 0 {
            true => FingerprintId::unknown(&self.cfg.classes[class].name),
            false => kind,
        }
    }

    /// Ends and resumes what is due.
    pub(crate) fn act_due(&mut self, now: Micros) {
        for (id, o) in &mut self.outs {
            let alive = o.gone.is_none() && o.flowing.is_none();
            if o.resume_at.is_some_and(|at| at <= now || !alive) {
                o.resume_at = None;
                self.decisions.push(Decision::Resume(*id));
            }
            if alive && !o.ended && o.end_at.is_some_and(|at| at <= now) {
                o.ended = true;
                self.decisions.push(Decision::End(*id));
            }
        }
    }

    /// Keeps groups of tables away from engines where a runaway load holds them.
    pub(crate) fn keep_groups_away(&mut self, now: Micros) {
        let mut away: BTreeMap<u64, Vec<EngineId>> = BTreeMap::new();
        for o in self.outs.values() {
            let spec = &self.cfg.classes[o.start.class];
            let (true, true, Some(group)) = (spec.holds, spec.enforcement.hold, o.start.group)
            else {
                continue;
            };
            if self
                .findings
                .is_runaway(&Subject::Statement(o.start.name.clone()))
            {
                let engines = away.entry(group).or_default();
                if !engines.contains(&o.start.engine) {
                    engines.push(o.start.engine);
                }
            }
        }
        for f in self.foreign.values().filter(|f| now < f.away_until) {
            // Where its class is not told, what any class permits.
            let mut classes = self.cfg.classes.iter().enumerate();
            if classes.any(|(n, c)| f.class.is_none_or(|of| of == n) && c.enforcement.hold) {
                for group in &f.groups {
                    let engines = away.entry(*group).or_default();
                    if !engines.contains(&f.engine) {
                        engines.push(f.engine);
                    }
                }
            }
        }
        self.holds.keep_away(away);
    }
}
