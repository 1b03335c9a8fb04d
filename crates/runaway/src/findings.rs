//! Owns the verdicts that stand and the last of those that did. One for each subject: what changes is told, what
//! stays is kept up to date in silence.

use std::collections::{BTreeMap, VecDeque};

use hoptiller::Micros;

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
mod tests {
    use super::*;
    use crate::interface::{Basis, Cause, Evidence, Measure};

    fn finding(name: &str, verdict: Verdict, at: Micros) -> Finding {
        let evidence = Evidence {
            measure: Measure::Work,
            figure: 9e6,
            usual: 1e5,
            bar: 1e6,
            basis: Basis::Kind(40),
        };
        Finding {
            id: 0,
            subject: Subject::Statement(name.into()),
            verdict,
            cause: Cause::Heavy,
            class: Some(0),
            kind: None,
            label: String::new(),
            engine: None,
            started: 0,
            since: at,
            at,
            evidence,
            blocks: Vec::new(),
            blocked: 0,
            note: "",
        }
    }

    #[test]
    fn only_what_changes_is_told_and_a_verdict_is_not_taken_back_in_silence() {
        let (mut all, mut out) = (Findings::default(), Vec::new());
        assert!(all.say(finding("a", Verdict::Suspect, 1), &mut out));
        assert!(!all.say(finding("a", Verdict::Suspect, 2), &mut out));
        assert!(all.say(finding("a", Verdict::Runaway, 3), &mut out));
        assert!(!all.say(finding("a", Verdict::Suspect, 4), &mut out));
        let a = Subject::Statement("a".into());
        let f = all.of(&a).expect("stands");
        assert_eq!((f.id, f.verdict, f.at), (1, Verdict::Runaway, 3));
        all.clear(5, &a, "over", &mut out);
        all.clear(5, &a, "over", &mut out);
        assert_eq!(
            (out.len(), all.open().count(), all.past().count()),
            (3, 0, 1)
        );
        assert!(all.say(finding("b", Verdict::Suspect, 6), &mut out));
        assert_eq!(all.open().next().map(|f| f.id), Some(2));
    }

    #[test]
    fn they_are_bounded_and_suspects_go_first() {
        let (mut all, mut out) = (Findings::default(), Vec::new());
        all.say(finding("r", Verdict::Runaway, 0), &mut out);
        (0..5000).for_each(|n| {
            all.say(finding(&format!("s{n}"), Verdict::Suspect, n), &mut out);
        });
        assert_eq!((all.open().count(), all.past().count()), (OPEN, PAST));
        assert!(all.is_runaway(&Subject::Statement("r".into())));
    }

    #[test]
    fn evidence_reads_as_a_sentence() {
        let told = finding("a", Verdict::Runaway, 0).evidence.to_string();
        assert_eq!(
            told,
            "work so far 9.0 s, usual 0.1 s, bound 1.0 s by 40 runs of its kind"
        );
    }
}
