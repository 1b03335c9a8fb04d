//! Owns a day on the stage: what happens when, written or drawn from a seed, and the clients that go on meanwhile. The
//! same seed draws the same faults; what processes make of them is theirs.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::time::{Duration, Instant};

use hoptiller_audit::{ClassRules, Rules};
use hoptiller_coordination::Idempotency;
use hoptiller_coordination::VersionMetadata;
use hoptiller_coordination::{Change, ConfigDuration, Document};
use hoptiller_coordination_client::wire::{ProposalResponse, VersionNumbers};
use serde::Deserialize;

use crate::crowd::{Clients, Crowd, Dice};
use crate::link::{Faults, Way};
use crate::stage::{Between, Stage};

/// Something that happens.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Happens {
    /// A change is put: the document of that name in the day's `documents`.
    Put(String),
    /// A router reaches no keeper.
    Alone(usize),
    /// A keeper reaches no other keeper; routers still reach it.
    Apart(usize),
    /// A keeper's messages to another are lost, one way.
    Deaf(usize, usize),
    /// Answers to a router's questions are lost, the questions are not.
    NoAnswers(usize),
    /// Everything between routers and keepers is so late, in ms.
    Slow(u64),
    /// Everything between one router and the keepers is so late, in ms.
    SlowRouter(usize, u64),
    /// All open connections break.
    Reset,
    /// All links are whole.
    Heal,
    /// A keeper is killed.
    KillKeeper(usize),
    /// It starts again.
    StartKeeper(usize),
    /// All keepers are killed.
    KillKeepers,
    /// All keepers but one are killed.
    KillOthers(usize),
    /// All that don't run start again.
    StartKeepers,
    /// A router is killed.
    KillRouter(usize),
    /// It starts again.
    StartRouter(usize),
    /// A router stands still.
    StopRouter(usize),
    /// It goes on.
    GoOn(usize),
}

/// What happens when.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Timed {
    /// From the beginning of the day.
    pub at: ConfigDuration,
    /// What.
    #[serde(rename = "do")]
    pub what: Happens,
}

/// A day.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Day {
    /// How long it lasts.
    pub lasts: ConfigDuration,
    /// Documents by name; `first` is in force when routers start.
    pub documents: BTreeMap<String, Document>,
    /// Who asks.
    pub clients: Clients,
    /// What happens when, in order.
    #[serde(default)]
    pub acts: Vec<Timed>,
    /// Beside `acts`, something is drawn from the seed after each such pause; none where it is absent.
    #[serde(default)]
    pub random_every: Option<ConfigDuration>,
}

/// What came of a day, beside the records.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Changes taken, and refused.
    pub taken: u64,
    /// See `taken`.
    pub refused: u64,
    /// Changes whose answer was lost.
    pub unknown: u64,
    /// Times from put to in force, in ms, of changes that were followed to their end.
    pub in_force_ms: Vec<u64>,
    /// Where the fleet stood in the end.
    pub numbers: VersionNumbers,
    /// Processes that ended by themselves.
    pub fallen: Vec<String>,
    /// Versions that were taken and are not there in the end, or are there under another text.
    pub lost: Vec<u64>,
    /// Versions that contradict nothing in the one before them.
    pub neutral: BTreeSet<u64>,
    /// What happened, in words, with its time in ms.
    pub course: Vec<(u64, String)>,
}

impl Day {
    /// The rules of all the day's documents together: the laxest figure of each, as changes come and go.
    pub fn rules(&self, mut rules: Rules) -> Rules {
        for document in self.documents.values() {
            for (name, class) in &document.classes {
                let kinds: BTreeSet<String> = class.kinds.clone().unwrap_or_default();
                let non_idempotent = class.repeat == Idempotency::NonIdempotent;
                let known = rules
                    .classes
                    .entry(name.clone())
                    .or_insert_with(|| ClassRules {
                        non_idempotent,
                        ordered: false,
                        machine_kinds: kinds.clone(),
                        latency_objective: class.aim.as_micros(),
                        stretch: class.stretch,
                        threads: class.threads,
                    });
                known.non_idempotent &= non_idempotent;
                // No kinds given permits all.
                known.machine_kinds = match known.machine_kinds.is_empty() || kinds.is_empty() {
                    true => BTreeSet::new(),
                    false => &known.machine_kinds | &kinds,
                };
            }
            let most = if rules.max_attempts == u32::MAX {
                0
            } else {
                rules.max_attempts
            };
            rules.max_attempts = most.max(document.engines.max_attempts);
        }
        rules
    }

    /// Plays the day on a stage whose processes don't run yet.
    pub fn play(
        &self,
        stage: &mut Stage,
        routers: usize,
        keepers: usize,
        seed: u64,
    ) -> io::Result<Outcome> {
        let mut out = Outcome::default();
        stage.start()?;
        let first = self
            .documents
            .get("first")
            .ok_or_else(|| io::Error::other("the day has no document `first`"))?;
        let began = Instant::now();
        let put = stage.until(Duration::from_secs(20), |s| s.put("first", first).is_ok());
        if !put {
            return Err(io::Error::other("keepers never took the first version"));
        }
        for router in 0..routers {
            stage.start_router(router)?;
        }
        if stage.agrees() && !stage.until_heeded(routers, 1, Duration::from_secs(20)) {
            return Err(io::Error::other(
                "not all routers came to heed the first version",
            ));
        }
        let mut texts: BTreeMap<u64, String> = BTreeMap::from([(1, first.digest())]);
        let crowd = Crowd::start(&self.clients, seed, &stage.recorder)?;
        crowd.reach(stage.running_routers());
        let day = Instant::now();
        let mut dice = Dice::new(seed);
        let mut acts: Vec<Timed> = self.acts.clone();
        acts.extend(self.drawn(&mut dice, routers, keepers));
        acts.sort_by_key(|a| a.at);
        let mut followed: Vec<(u64, Instant)> = Vec::new();
        for act in acts {
            let at = Duration::from_micros(act.at.as_micros());
            while day.elapsed() < at {
                follow(stage, &mut followed, &mut out);
                std::thread::sleep(Duration::from_millis(20).min(at.saturating_sub(day.elapsed())));
            }
            out.course
                .push((day.elapsed().as_millis() as u64, format!("{:?}", act.what)));
            self.happen(stage, &act.what, &mut out, &mut texts, &mut followed)?;
            crowd.reach(stage.running_routers());
        }
        while day.elapsed() < Duration::from_micros(self.lasts.as_micros()) {
            follow(stage, &mut followed, &mut out);
            std::thread::sleep(Duration::from_millis(20));
        }
        // All that was broken is mended, so that what was begun comes to its end.
        stage.heal();
        for k in 0..keepers {
            if stage.keeper(k).is_none() {
                stage.start_keeper(k)?;
            }
        }
        (0..routers).for_each(|r| stage.go_on_router(r));
        crowd.finish();
        let last = texts.keys().max().copied().unwrap_or(1);
        let came = stage.until_in_force(last, Duration::from_secs(60));
        follow(stage, &mut followed, &mut out);
        out.numbers = stage.numbers().unwrap_or_default();
        if !came {
            out.lost.push(last);
        }
        let heads = heads(stage);
        let there =
            |n: u64, digest: &String| heads.iter().any(|h| h.number == n && h.digest == *digest);
        out.lost.extend(
            texts
                .iter()
                .filter(|(n, digest)| !there(**n, digest))
                .map(|(n, _)| *n),
        );
        out.neutral = heads
            .iter()
            .filter(|h| h.kind == Change::Neutral)
            .map(|h| h.number)
            .collect();
        out.fallen = stage.fallen();
        out.course
            .push((began.elapsed().as_millis() as u64, "the end".into()));
        Ok(out)
    }

    /// Faults of the seed, and changes that are put meanwhile. Those that cut a router off last for longer than the pause
    /// between faults, as a permit may.
    fn drawn(&self, dice: &mut Dice, routers: usize, keepers: usize) -> Vec<Timed> {
        let Some(every) = self.random_every.map(ConfigDuration::as_micros) else {
            return Vec::new();
        };
        let names: Vec<&String> = self.documents.keys().collect();
        let draw = |dice: &mut Dice| names[dice.below(names.len() as u64) as usize].clone();
        let mut all = Vec::new();
        let mut at = every;
        while at + 3 * every < self.lasts.as_micros() {
            let (r, k) = (
                dice.below(routers as u64) as usize,
                dice.below(keepers as u64) as usize,
            );
            let kind = dice.below(11);
            // One router is apart from the others for so long.
            let long = matches!(kind, 0..=4);
            let end = if long { every * 2 } else { every * 4 / 5 };
            let mut add = |after: u64, what: Happens| {
                all.push(Timed {
                    at: ConfigDuration::from_micros(at + after),
                    what,
                })
            };
            match kind {
                0 | 1 => add(0, Happens::Alone(r)),
                2 => add(0, Happens::NoAnswers(r)),
                // Slow answers first, then none: what is counted from them is counted too long.
                3 => {
                    add(0, Happens::SlowRouter(r, 300));
                    add(every / 3, Happens::Alone(r));
                }
                4 => {
                    add(0, Happens::StopRouter(r));
                    add(end, Happens::GoOn(r));
                }
                5 => add(0, Happens::Apart(k)),
                6 => add(0, Happens::Deaf(k, (k + 1) % keepers)),
                7 => {
                    add(0, Happens::Slow(50 + dice.below(250)));
                    add(every / 2, Happens::Reset);
                }
                8 => {
                    add(0, Happens::KillKeeper(k));
                    add(end, Happens::StartKeeper(k));
                    add(every / 4, Happens::KillRouter(r));
                    add(end, Happens::StartRouter(r));
                }
                9 => {
                    add(0, Happens::KillKeepers);
                    add(end, Happens::StartKeepers);
                }
                // A change that two keepers have is to outlive one of them, with the one that has it not.
                _ => {
                    add(0, Happens::Apart(k));
                    add(every / 2, Happens::Put(draw(dice)));
                    add(every / 2, Happens::KillOthers(k));
                    add(every * 3 / 4, Happens::Heal);
                    add(every * 3 / 4, Happens::StartKeeper((k + 1) % keepers));
                    add(every * 5 / 2, Happens::Put(draw(dice)));
                    add(every * 11 / 4, Happens::StartKeepers);
                    at += every * 3;
                    continue;
                }
            }
            add(
                every * 2 / 5 + dice.below(every / 5),
                Happens::Put(draw(dice)),
            );
            if long {
                add(every * 3 / 2, Happens::Put(draw(dice)));
            }
            add(end, Happens::Heal);
            at += if long { every * 5 / 2 } else { every };
        }
        all
    }

    fn happen(
        &self,
        stage: &mut Stage,
        what: &Happens,
        out: &mut Outcome,
        texts: &mut BTreeMap<u64, String>,
        followed: &mut Vec<(u64, Instant)>,
    ) -> io::Result<()> {
        let lost = Way {
            cut: true,
            ..Way::default()
        };
        match what {
            Happens::Put(name) => {
                let document = self
                    .documents
                    .get(name)
                    .ok_or_else(|| io::Error::other(format!("the day has no document {name:?}")))?;
                let change = format!("{name}-{}", out.taken + out.refused + out.unknown);
                let began = Instant::now();
                match stage.put(&change, document) {
                    Ok(ProposalResponse::Accepted(number)) => {
                        out.taken += 1;
                        texts.insert(number, document.digest());
                        followed.push((number, began));
                    }
                    Ok(ProposalResponse::Rejected(_)) => out.refused += 1,
                    Err(_) => out.unknown += 1,
                }
            }
            Happens::Alone(r) => stage.fail_all(
                Faults::cut(),
                |b| matches!(b, Between::Router(x, _) if x == r),
            ),
            Happens::Apart(k) => {
                stage.fail_all(
                    Faults::cut(),
                    |b| matches!(b, Between::Keepers(a, c) if a == k || c == k),
                );
            }
            Happens::Deaf(from, to) => stage.fail(
                Between::Keepers(*from, *to),
                Faults {
                    there: lost,
                    ..Faults::default()
                },
            ),
            Happens::NoAnswers(r) => {
                let faults = Faults {
                    back: lost,
                    ..Faults::default()
                };
                stage.fail_all(faults, |b| matches!(b, Between::Router(x, _) if x == r));
            }
            Happens::Slow(ms) => {
                let way = Way {
                    delay: Duration::from_millis(*ms),
                    ..Way::default()
                };
                let faults = Faults {
                    there: way,
                    back: way,
                    ..Faults::default()
                };
                stage.fail_all(faults, |b| matches!(b, Between::Router(..)));
            }
            Happens::SlowRouter(r, ms) => {
                let way = Way {
                    delay: Duration::from_millis(*ms),
                    ..Way::default()
                };
                let faults = Faults {
                    there: way,
                    back: way,
                    ..Faults::default()
                };
                stage.fail_all(faults, |b| matches!(b, Between::Router(x, _) if x == r));
            }
            Happens::Reset => stage.reset(|_| true),
            Happens::Heal => stage.heal(),
            Happens::KillKeeper(k) => stage.kill_keeper(*k),
            Happens::StartKeeper(k) => {
                if stage.keeper(*k).is_none() {
                    stage.start_keeper(*k)?;
                }
            }
            Happens::KillKeepers => (0..stage.keeper_count()).for_each(|k| stage.kill_keeper(k)),
            Happens::KillOthers(k) => (0..stage.keeper_count())
                .filter(|n| n != k)
                .for_each(|n| stage.kill_keeper(n)),
            Happens::StartKeepers => {
                for k in 0..stage.keeper_count() {
                    if stage.keeper(k).is_none() {
                        stage.start_keeper(k)?;
                    }
                }
            }
            Happens::KillRouter(r) => stage.kill_router(*r),
            Happens::StartRouter(r) => {
                if stage.router(*r).is_none() {
                    stage.start_router(*r)?;
                }
            }
            Happens::StopRouter(r) => stage.stop_router(*r),
            Happens::GoOn(r) => stage.go_on_router(*r),
        }
        Ok(())
    }
}

/// Notes the time of changes that have come in force.
fn follow(stage: &Stage, followed: &mut Vec<(u64, Instant)>, out: &mut Outcome) {
    if followed.is_empty() {
        return;
    }
    let Some(numbers) = stage.numbers() else {
        return;
    };
    followed.retain(|(number, since)| {
        let there = numbers.in_force >= *number;
        if there {
            out.in_force_ms.push(since.elapsed().as_millis() as u64);
        }
        !there
    });
}

/// Heads of all versions that keepers keep.
fn heads(stage: &Stage) -> Vec<VersionMetadata> {
    let Ok(keepers) = stage.keepers() else {
        return Vec::new();
    };
    let asked = keepers.call(
        hoptiller_coordination_client::wire::HISTORY,
        None::<&()>,
        Duration::from_secs(5),
    );
    async_io::block_on(asked).unwrap_or_default()
}
