//! Owns the verdicts: which figure of an attempt is too much, who is at fault where several wait, and what is
//! done about it.
//!
//! Told apart, in this order: who stands still is not at fault, but for circles; who holds others up is judged
//! more strictly; work that engines tell is the attempt's own and no excuse is needed; where only time is known,
//! it is divided by how slow the engine is for others; what all of a kind do is the kind's.

use hoptiller_policy::{EngineId, Micros};

use crate::blame::Waits;
use crate::change::Says;
use crate::engines::stands_out;
use crate::expect::{Expectation, Expected};
use crate::interface::*;
use crate::watch::{Out, RunawayDetector};

/// Nothing is judged that has run for less.
const YOUNG: f64 = 1_000_000.0;
/// A figure must be over its bound for so long; one that is work already done needs no more proof.
pub(crate) const SURE: Micros = 3_000_000;
/// A share done is rough: so much is added to it, and what it leads to has so much more room.
const ROUGH: f64 = 0.02;
const ROOM: f64 = 1.25;
/// Times usual that it must have run before its share done counts, and where that is still nothing.
const SHOWN: f64 = 2.0;
const SHOWN_NOTHING: f64 = 6.0;
/// Notes from which a share done counts.
const NOTES: u32 = 3;
/// What lacks memory does its work several times over, which is not its own fault.
pub(crate) const SPILLS: f64 = 3.0;
/// Statements held up from which the holder is judged by this part of its bound.
pub(crate) const CROWD: usize = 8;
pub(crate) const CROWD_PART: f64 = 0.25;
/// Times usual from which a statement counts as long, for its kind to have changed.
pub(crate) const LONG: f64 = 4.0;
/// Times the usual work for a row that is a bad plan.
const BAD_PLAN: f64 = 4.0;
/// A client that has taken rows for so long reads slowly.
const READS_FOR: Micros = 30_000_000;
/// Runs beyond its bound after which a kind that has changed has new figures.
const ADOPT: u64 = 8;

/// A figure that is too much.
struct Excess {
    evidence: Evidence,
    /// It is work that was done: certain.
    certain: bool,
}

impl RunawayDetector {
    pub(crate) fn judge(&mut self, now: Micros) {
        let ids: Vec<AttemptId> = self.outs.keys().copied().collect();
        for id in &ids {
            self.expectation(now, *id);
        }
        let waits = self.waits(now);
        for o in self.outs.values_mut() {
            o.held_up = waits.stands(&o.start.name) || o.stands(now).is_some();
        }
        self.gather_samples(now);
        self.judge_engines(now);
        self.count_long(now, &ids);
        for id in ids {
            self.judge_one(now, id, &waits);
        }
        self.judge_foreign(now, &waits);
        self.act_due(now);
        self.keep_groups_away(now);
    }

    // ---- one attempt ----------------------------------------------------------------------------

    fn judge_one(&mut self, now: Micros, id: AttemptId, waits: &Waits) {
        let Some(o) = self.outs.get(&id) else { return };
        let subject = Subject::Statement(o.start.name.clone());
        if o.flowing.is_some() {
            return self.judge_reader(now, id, subject);
        }
        if o.gone.is_some() {
            return; // It is judged no further: nothing new is told of it but by those behind it.
        }
        if let Some(circle) = waits.circle(&o.start.name) {
            let blocks: Vec<String> = circle.iter().skip(1).map(|s| (*s).to_owned()).collect();
            let stood = Evidence {
                measure: Measure::Time,
                figure: o.stood as f64,
                usual: 0.0,
                bar: 0.0,
                basis: Basis::Settings,
            };
            let excess = Excess {
                evidence: stood,
                certain: false,
            };
            return self.over(now, id, Cause::Deadlock, &excess, blocks);
        }
        let Some(expected) = self.expected(id).copied() else {
            return;
        };
        let behind = behind_of(waits, &o.start.name);
        let crowd = behind.len() >= CROWD;
        let hog = self.hogs_memory(now, o, &expected);
        let slow = self.slowness(now, o.start.engine, Some(id)).0;
        let excess = excess(
            o,
            &expected,
            now,
            slow,
            if crowd { CROWD_PART } else { 1.0 },
        );
        // Who stands still is not at fault, whatever it took before.
        let stands = o.held_up;
        let by_time_only = excess
            .as_ref()
            .is_some_and(|e| matches!(e.evidence.measure, Measure::Run | Measure::RunToCome));
        // Where engines tell of others, one of which nothing comes is silent, not heavy: the routing's business.
        let silent = o.notes == 0 && self.outs.values().any(|other| other.notes > 0);
        let hidden = by_time_only
            && excess
                .as_ref()
                .is_some_and(|e| self.may_stand_unseen(now, o, e.evidence.figure));
        let excused = stands || hidden || (by_time_only && !crowd && silent);
        match (excess.filter(|_| !excused), hog) {
            (_, Some(evidence)) => {
                self.over(
                    now,
                    id,
                    Cause::Memory,
                    &Excess {
                        evidence,
                        certain: false,
                    },
                    Vec::new(),
                );
            }
            (Some(excess), None) => {
                let cause = match (crowd, bad_plan(o, &expected)) {
                    (true, _) => Cause::Blocks,
                    (false, true) => Cause::BadPlan,
                    (false, false) => Cause::Heavy,
                };
                self.over(now, id, cause, &excess, behind);
            }
            (None, None) => self.within(now, id, &subject),
        }
    }

    /// It is over its bound.
    fn over(
        &mut self,
        now: Micros,
        id: AttemptId,
        cause: Cause,
        excess: &Excess,
        blocks: Vec<String>,
    ) {
        let engines = self.engines.iter().filter(|e| e.up).count();
        let Some(o) = self.outs.get_mut(&id) else {
            return;
        };
        let since = *o.over.get_or_insert(now);
        let (kind, subject) = (o.start.kind, Subject::Statement(o.start.name.clone()));
        let of_kind = Subject::Kind(kind);
        if self
            .findings
            .of(&of_kind)
            .is_some_and(|f| f.cause == Cause::KindChanged)
        {
            return; // Known: one notice for all of them.
        }
        let circle = if cause == Cause::Deadlock {
            blocks.clone()
        } else {
            Vec::new()
        };
        let sure = excess.certain || now - since >= SURE;
        let own_fault = matches!(cause, Cause::Heavy | Cause::BadPlan);
        let says = match own_fault && !self.findings.is_runaway(&subject) {
            true => self.changes.say(kind, now - since, engines),
            false => Says::Alone,
        };
        if sure && says == Says::Changed {
            return self.kind_changed(now, kind, id, excess.evidence);
        }
        let verdict = if sure && says == Says::Alone {
            Verdict::Runaway
        } else {
            Verdict::Suspect
        };
        let Some(o) = self.outs.get(&id) else { return };
        let found = Finding {
            id: 0,
            subject,
            verdict,
            cause,
            class: Some(o.start.class),
            kind: Some(kind),
            label: o.start.label.to_string(),
            engine: Some(o.start.engine),
            started: o.at,
            since,
            at: now,
            evidence: excess.evidence,
            blocked: blocks.len(),
            blocks: blocks.into_iter().take(BLOCKED).collect(),
            note: "",
        };
        let news = self.findings.say(found, &mut self.decisions);
        if news && verdict == Verdict::Runaway {
            self.act(now, id, cause, &circle);
        }
    }

    fn within(&mut self, now: Micros, id: AttemptId, subject: &Subject) {
        let Some(o) = self.outs.get_mut(&id) else {
            return;
        };
        // A runaway stays one until it ends: a figure that is told lower takes nothing back, save that those
        // who waited for it or for each other do so no longer.
        let waited = self.findings.of(subject).is_some_and(|f| {
            f.verdict == Verdict::Suspect || matches!(f.cause, Cause::Deadlock | Cause::Memory)
        });
        if waited || self.findings.of(subject).is_none() {
            o.over = None;
            (o.end_at, o.resume_at) = (None, o.resume_at);
        }
        if waited {
            self.findings
                .clear(now, subject, "it is within its bound", &mut self.decisions);
            self.uncount(now, id);
        }
    }

    fn uncount(&mut self, now: Micros, id: AttemptId) {
        if let Some(o) = self.outs.get_mut(&id).filter(|o| o.counts) {
            o.counts = false;
            self.holds.over(now, o.start.held_as);
        }
    }

    fn judge_reader(&mut self, now: Micros, id: AttemptId, subject: Subject) {
        let Some(o) = self.outs.get(&id) else { return };
        let Some(since) = o.flowing.filter(|at| now - *at >= READS_FOR) else {
            return;
        };
        let evidence = Evidence {
            measure: Measure::Time,
            figure: (now - since) as f64,
            usual: 0.0,
            bar: READS_FOR as f64,
            basis: Basis::Settings,
        };
        let found = Finding {
            id: 0,
            subject,
            verdict: Verdict::Notice,
            cause: Cause::SlowReader,
            class: Some(o.start.class),
            kind: Some(o.start.kind),
            label: o.start.label.to_string(),
            engine: Some(o.start.engine),
            started: o.at,
            since,
            at: now,
            evidence,
            blocks: Vec::new(),
            blocked: 0,
            note: "its engine is done with it; the rows wait for its client",
        };
        self.findings.say(found, &mut self.decisions);
    }

    /// It takes far more memory than its kind while others there wait for some.
    fn hogs_memory(&self, now: Micros, o: &Out, expected: &Expectation) -> Option<Evidence> {
        let (memory, e) = (o.news.memory_mb?, expected.memory?);
        let waits = |other: &&Out| {
            other.start.engine == o.start.engine && other.stands(now) == Some(&BlockedState::Memory)
        };
        let far = memory > e.bar && o.stands(now).is_none();
        (far && self.outs.values().filter(waits).count() >= CROWD)
            .then(|| evidence(Measure::Memory, memory, &e))
    }

    // ---- kinds ----------------------------------------------------------------------------------

    /// Counts what runs long, for its kind to have changed.
    fn count_long(&mut self, now: Micros, ids: &[AttemptId]) {
        for id in ids {
            let (Some(o), Some(e)) = (self.outs.get(id), self.expected(*id).copied()) else {
                continue;
            };
            if o.flowing.is_some() || o.gone.is_some() || !e.known || o.held_up {
                continue;
            }
            let slow = self.slowness(now, o.start.engine, Some(*id)).0;
            let long = measures(o, &e, now, slow)
                .into_iter()
                .any(|(_, figure, of, room)| figure > LONG * room * of.usual);
            if long && o.moved(now) >= YOUNG {
                self.changes
                    .long(now, o.start.kind, *id, o.at, o.start.engine);
            }
        }
    }

    /// All of a kind run long: one notice, and what was said of some of them is taken back.
    fn kind_changed(
        &mut self,
        now: Micros,
        kind: FingerprintId,
        id: AttemptId,
        evidence: Evidence,
    ) {
        let Some(o) = self.outs.get(&id) else { return };
        let found = Finding {
            id: 0,
            subject: Subject::Kind(kind),
            verdict: Verdict::Notice,
            cause: Cause::KindChanged,
            class: Some(o.start.class),
            kind: Some(kind),
            label: o.start.label.to_string(),
            engine: None,
            started: o.at,
            since: o.over.unwrap_or(now),
            at: now,
            evidence,
            blocks: Vec::new(),
            blocked: 0,
            note: "all statements of this kind run long since then",
        };
        self.findings.say(found, &mut self.decisions);
        let of_kind: Vec<(AttemptId, Subject)> = self
            .outs
            .iter()
            .filter(|(_, o)| o.start.kind == kind)
            .map(|(id, o)| (*id, Subject::Statement(o.start.name.clone())))
            .collect();
        for (id, subject) in of_kind {
            self.findings.clear(
                now,
                &subject,
                "all of its kind run long",
                &mut self.decisions,
            );
            self.uncount(now, id);
            if let Some(o) = self.outs.get_mut(&id) {
                o.end_at = None;
            }
        }
        self.holds.release(kind);
        self.tell_holds();
    }

    /// A kind that has changed has new figures once enough of it has run.
    pub(crate) fn maybe_adopt(&mut self, now: Micros, kind: FingerprintId, runs: u64) {
        let subject = Subject::Kind(kind);
        let told = self
            .findings
            .of(&subject)
            .is_some_and(|f| f.cause == Cause::KindChanged);
        let engines = self.engines.iter().filter(|e| e.up).count();
        let changed = told || self.changes.say(kind, 0, engines) == Says::Changed;
        if changed && runs >= ADOPT {
            self.book.adopt(kind);
            self.changes.forget(kind);
            self.expect_anew(kind);
            self.findings.clear(
                now,
                &subject,
                "its new figures are taken as usual",
                &mut self.decisions,
            );
        }
    }

    // ---- engines --------------------------------------------------------------------------------

    /// Engines on which everything runs long, without one that is at fault for it.
    fn judge_engines(&mut self, now: Micros) {
        let paces: Vec<(EngineId, (f64, usize))> = self
            .engines
            .iter()
            .map(|e| (e.engine, self.slowness(now, e.engine, None)))
            .collect();
        for (engine, own) in &paces {
            let subject = Subject::Engine(*engine);
            let others: Vec<(f64, usize)> = paces
                .iter()
                .filter(|p| p.0 != *engine)
                .map(|p| p.1)
                .collect();
            let at_fault = |f: &Finding| f.engine == Some(*engine) && f.verdict == Verdict::Runaway;
            let said = self.findings.of(&subject).is_some();
            if !stands_out(*own, &others, said) || self.findings.open().any(at_fault) {
                self.findings.clear(
                    now,
                    &subject,
                    "it is no slower than the others, or others are at fault",
                    &mut self.decisions,
                );
                continue;
            }
            let evidence = Evidence {
                measure: Measure::Times,
                figure: own.0,
                usual: 1.0,
                bar: crate::engines::SLOW,
                basis: Basis::Class(own.1 as u64),
            };
            let found = Finding {
                id: 0,
                subject,
                verdict: Verdict::Notice,
                cause: Cause::SlowEngine,
                class: None,
                kind: None,
                label: String::new(),
                engine: Some(*engine),
                started: now,
                since: now,
                at: now,
                evidence,
                blocks: Vec::new(),
                blocked: 0,
                note: "what runs there is not at fault for it",
            };
            self.findings.say(found, &mut self.decisions);
        }
        // Engines that are listed no more.
        let gone: Vec<Subject> = self
            .findings
            .open()
            .map(|f| f.subject.clone())
            .filter(|s| matches!(s, Subject::Engine(e) if !paces.iter().any(|p| p.0 == *e)))
            .collect();
        gone.iter().for_each(|s| {
            self.findings.clear(
                now,
                s,
                "the engine is not listed any more",
                &mut self.decisions,
            )
        });
    }
}

pub(crate) fn evidence(measure: Measure, figure: f64, e: &Expected) -> Evidence {
    Evidence {
        measure,
        figure,
        usual: e.usual,
        bar: e.bar,
        basis: e.basis,
    }
}

/// All figures of an attempt that can be judged: what it is, its value, what is expected, and the room that it
/// is given beyond the bound.
fn measures<'e>(
    o: &Out,
    e: &'e Expectation,
    now: Micros,
    slow: f64,
) -> Vec<(Measure, f64, &'e Expected, f64)> {
    let moved = o.moved(now);
    let mut all = Vec::new();
    let share = o.news.done.filter(|done| {
        let shown = if *done > 0.0 { SHOWN } else { SHOWN_NOTHING };
        o.notes >= NOTES && moved >= shown * e.run.usual
    });
    match o.news.work {
        Some(work) => {
            all.push((Measure::Work, work as f64, &e.work, 1.0));
            if let Some(done) = share {
                all.push((
                    Measure::WorkToCome,
                    work as f64 / (done + ROUGH),
                    &e.work,
                    ROOM,
                ));
            }
        }
        None => {
            all.push((Measure::Run, moved / slow, &e.run, 1.0));
            if let Some(done) = share {
                all.push((
                    Measure::RunToCome,
                    moved / slow / (done + ROUGH),
                    &e.run,
                    ROOM,
                ));
            }
        }
    }
    all
}

/// The figure that is furthest over its bound, if any is.
fn excess(o: &Out, e: &Expectation, now: Micros, slow: f64, part: f64) -> Option<Excess> {
    if o.moved(now) < YOUNG {
        return None;
    }
    let spills = if o.news.spills { SPILLS } else { 1.0 };
    let over = |(measure, figure, of, room): (Measure, f64, &Expected, f64)| {
        let bar = of.bar * room * spills * part;
        (figure > bar).then(|| {
            (
                figure / bar,
                evidence(measure, figure, &Expected { bar, ..*of }),
            )
        })
    };
    let worst = measures(o, e, now, slow)
        .into_iter()
        .filter_map(over)
        .max_by(|a, b| a.0.total_cmp(&b.0));
    worst.map(|(_, evidence)| Excess {
        certain: evidence.measure == Measure::Work && part == 1.0,
        evidence,
    })
}

/// Whether it does far more work for what it reads than its kind.
fn bad_plan(o: &Out, e: &Expectation) -> bool {
    let (Some(work), Some(rows), Some(usual)) = (o.news.work, o.news.rows, e.per_rows) else {
        return false;
    };
    work as f64 * 1000.0 / (rows as f64).max(1.0) > BAD_PLAN * usual
}

/// Who stands behind one, by name.
pub(crate) fn behind_of(waits: &Waits, name: &str) -> Vec<String> {
    waits.behind(name).iter().map(|s| (*s).to_owned()).collect()
}
