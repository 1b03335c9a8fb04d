//! Owns what is known of statements that hold others up from outside: those of other routers, those of an earlier
//! life, those that their own router waits for no longer; and, where engines don't tell who waits for whom, what
//! can be inferred.

use std::collections::BTreeSet;

use hoptiller_policy::Micros;

use crate::blame::Waits;
use crate::expect::Expected;
use crate::interface::*;
use crate::judge::{CROWD, CROWD_PART, SURE, behind_of, evidence};
use crate::watch::{Out, RunawayDetector};

/// Where nothing tells who waits for whom: times usual from which a statement may stand behind a load.
const MAY_STAND: f64 = 4.0;
/// Tables are kept away from an engine where a runaway of another router holds them for so long, then tried again;
/// and at most, when it is still there.
pub(crate) const AWAY_FOR: Micros = 20_000_000;
const AWAY_MOST: Micros = 160_000_000;
/// A statement that is not known here, and was not told of for so long, is gone.
const UNTOLD: Micros = 5_000_000;

impl RunawayDetector {
    /// Statements of other routers, or of an earlier life of this one, by what stands behind them here.
    pub(crate) fn judge_foreign(&mut self, now: Micros, waits: &Waits) {
        let mut names: BTreeSet<String> = self.foreign.keys().cloned().collect();
        // Own ones for which nobody waits at this end: they are known by name, and judged alike.
        let ghosts = self
            .ghosts
            .iter()
            .filter_map(|id| self.outs.get(id))
            .map(|o| o.start.name.clone());
        names.extend(ghosts);
        for name in names {
            let behind = behind_of(waits, &name);
            self.renew_away(now, &name, &behind);
            let subject = Subject::Statement(name.clone());
            let ghost = self
                .named(&name)
                .and_then(|id| self.outs.get(&id).map(|o| (id, o)));
            let (engine, class, since, over) = match (&ghost, self.foreign.get(&name)) {
                (Some((_, o)), _) => (o.start.engine, Some(o.start.class), o.at + o.stood, o.over),
                (None, Some(f)) => {
                    // One that was found keeps its tables away, so that nothing is told of it for a while.
                    if now.saturating_sub(f.told.max(f.away_until)) > UNTOLD {
                        self.foreign.remove(&name);
                        self.findings.clear(
                            now,
                            &subject,
                            "nothing stands behind it any more",
                            &mut self.decisions,
                        );
                        continue;
                    }
                    (f.engine, f.class, f.since, f.over)
                }
                (None, None) => continue,
            };
            if behind.is_empty() {
                continue;
            }
            let part = if behind.len() >= CROWD {
                CROWD_PART
            } else {
                1.0
            };
            // Its kind is not known here: what its class takes, or the class that takes longest.
            let of = |c: usize| self.book.expect_of_class(c, &self.cfg.classes[c]);
            let all = (0..self.cfg.classes.len()).map(of);
            let widest = || all.max_by(|a, b| a.bar.total_cmp(&b.bar));
            let own = ghost
                .as_ref()
                .and_then(|(id, _)| self.expected(*id))
                .map(|e| e.run);
            let Some(e) = own.or_else(|| class.map(of)).or_else(widest) else {
                continue;
            };
            let ran = now.saturating_sub(since) as f64;
            if ran <= e.bar * part {
                continue;
            }
            let since_over = over.unwrap_or(now);
            let verdict = if now - since_over >= SURE {
                Verdict::Runaway
            } else {
                Verdict::Suspect
            };
            let (kind, label) = match &ghost {
                Some((_, o)) => (Some(o.start.kind), o.start.label.to_string()),
                None => (None, String::new()),
            };
            let found = Finding {
                id: 0,
                subject,
                verdict,
                cause: Cause::Blocks,
                class,
                kind,
                label,
                engine: Some(engine),
                started: since,
                since: since_over,
                at: now,
                evidence: evidence(
                    Measure::Run,
                    ran,
                    &Expected {
                        bar: e.bar * part,
                        ..e
                    },
                ),
                blocked: behind.len(),
                blocks: behind.into_iter().take(BLOCKED).collect(),
                note: match ghost {
                    Some(_) => "this router waits for it no longer; its engine goes on",
                    None => "not a statement of this router's present life",
                },
            };
            let id = ghost.map(|(id, _)| id);
            let news = self.findings.say(found, &mut self.decisions);
            if let Some(f) = self.foreign.get_mut(&name) {
                f.over = Some(since_over);
                if news && verdict == Verdict::Runaway {
                    f.away_until = now + f.away_for;
                }
            }
            self.renew_away(now, &name, &behind_of(waits, &name));
            if let Some(o) = id.and_then(|id| self.outs.get_mut(&id)) {
                o.over = Some(since_over);
            }
            if let (true, Verdict::Runaway, Some(id)) = (news, verdict, id) {
                self.act(now, id, Cause::Blocks, &[]);
            }
        }
    }

    /// A runaway of another router is still there, as what stands behind it tells: its tables stay away. Where
    /// they had come back for a trial, they stay away for twice as long.
    fn renew_away(&mut self, now: Micros, name: &str, behind: &[String]) {
        if behind.is_empty() {
            return;
        }
        let groups: Vec<u64> = behind
            .iter()
            .filter_map(|who| self.outs.get(&self.named(who)?)?.start.group)
            .collect();
        let Some(f) = self.foreign.get_mut(name).filter(|f| f.away_until > 0) else {
            return;
        };
        if now >= f.away_until {
            f.away_for = (f.away_for * 2).min(AWAY_MOST);
        }
        f.away_until = f.away_until.max(now + f.away_for);
        f.groups.extend(groups);
    }

    /// Where engines don't tell who waits for whom: what reads or writes the tables of a load that came before
    /// it at the same engine, and takes far longer than usual, may stand behind that.
    pub(crate) fn infer(&self, now: Micros, waits: &mut Waits) {
        if self.tells(now) {
            return;
        }
        let loads = |o: &&Out| self.cfg.classes[o.start.class].holds && o.start.group.is_some();
        for load in self.outs.values().filter(loads) {
            for o in self.outs.values().filter(|o| o.gone.is_none()) {
                let same = o.start.engine == load.start.engine && o.start.group == load.start.group;
                let usual = self
                    .expected(o.start.attempt)
                    .map_or(f64::INFINITY, |e| e.run.usual);
                if same && o.at > load.at && o.moved(now) > MAY_STAND * usual {
                    waits.add(&o.start.name, &load.start.name);
                }
            }
        }
    }

    /// Where engines don't tell who waits for whom, and tables can be held by loads of other routers: whether it
    /// may stand behind one of those. Not if something of its tables has passed there since it began; else if
    /// another of them is long there too, or it is not yet longer than a load may be.
    pub(crate) fn may_stand_unseen(&self, now: Micros, o: &Out, ran: f64) -> bool {
        let (engine, Some(group)) = (o.start.engine, o.start.group) else {
            return false;
        };
        let loads = || (0..self.cfg.classes.len()).filter(|c| self.cfg.classes[*c].holds);
        if self.tells(now) || self.cfg.classes[o.start.class].holds || loads().next().is_none() {
            return false;
        }
        if self.has_passed(engine, group, o.at) {
            return false;
        }
        let long = |other: &&Out| {
            let usual = self
                .expected(other.start.attempt)
                .map_or(f64::INFINITY, |e| e.run.usual);
            (other.start.engine, other.start.group) == (engine, Some(group))
                && other.start.attempt != o.start.attempt
                && other.gone.is_none()
                && other.moved(now) > MAY_STAND * usual
        };
        let load_may = loads()
            .map(|c| self.book.expect_of_class(c, &self.cfg.classes[c]).bar)
            .fold(0.0, f64::max);
        self.outs.values().any(|other| long(&other)) || ran <= load_may
    }
}
