//! Owns the verdicts that stand and the last of those that did. One for each subject: what changes is told, what
//! stays is kept up to date in silence.

use std::collections::{BTreeMap, VecDeque};

use hoptiller_policy::Micros;

use crate::interface::{Decision, Finding, Subject, Verdict};

/// Verdicts that no longer stand, kept for people.
const PAST: usize = 256;
/// Verdicts that stand at most; a suspect goes before a runaway, an old one before a new one.
const OPEN: usize = 1024;

/// All of them.
#[derive(Debug, Default)]
pub struct Findings {
    next: u64,
    open: BTreeMap<Subject, Finding>,
    past: VecDeque<Finding>,
}

impl Findings {
    /// The verdict that stands on a subject.
    pub fn of(&self, subject: &Subject) -> Option<&Finding> {
        self.open.get(subject)
    }

    /// Whether it is found to be at fault.
    pub fn is_runaway(&self, subject: &Subject) -> bool {
        self.of(subject)
            .is_some_and(|f| f.verdict == Verdict::Runaway)
    }

    /// Verdicts that stand.
    pub fn open(&self) -> impl Iterator<Item = &Finding> {
        self.open.values()
    }

    /// The last ones that did, oldest first.
    pub fn past(&self) -> impl Iterator<Item = &Finding> {
        self.past.iter()
    }

    /// A verdict. Told where it is new, surer or of another cause. True where it was told.
    pub fn say(&mut self, mut f: Finding, out: &mut Vec<Decision>) -> bool {
        let old = self.open.get(&f.subject);
        f.id = old.map_or_else(|| self.next + 1, |o| o.id);
        self.next = self.next.max(f.id);
        // What is found stays found until it is cleared.
        let known = old
            .is_some_and(|o| o.verdict > f.verdict || (o.verdict, o.cause) == (f.verdict, f.cause));
        if let Some(o) = old.filter(|_| known) {
            (f.verdict, f.cause, f.at, f.since) = (o.verdict, o.cause, o.at, o.since);
        } else {
            out.push(Decision::Found(Box::new(f.clone())));
        }
        self.open.insert(f.subject.clone(), f);
        self.trim(out);
        !known
    }

    /// The verdict stands no longer.
    pub fn clear(
        &mut self,
        now: Micros,
        subject: &Subject,
        note: &'static str,
        out: &mut Vec<Decision>,
    ) {
        let Some(mut f) = self.open.remove(subject) else {
            return;
        };
        (f.verdict, f.at, f.note) = (Verdict::Cleared, now, note);
        self.past.push_back(f.clone());
        if self.past.len() > PAST {
            self.past.pop_front();
        }
        out.push(Decision::Found(Box::new(f)));
    }

    fn trim(&mut self, out: &mut Vec<Decision>) {
        while self.open.len() > OPEN {
            let least = self
                .open
                .values()
                .min_by_key(|f| (f.verdict, f.at))
                .map(|f| (f.subject.clone(), f.at));
            let Some((subject, at)) = least else { return };
            self.clear(at, &subject, "there are too many verdicts to keep", out);
        }
    }
}

#[cfg(test)]
mod tests;
