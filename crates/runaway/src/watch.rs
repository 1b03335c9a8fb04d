//! Owns the attempts that are out, what engines told of each, and what follows from it. Verdicts are in
//! [`judge`](crate::judge).
//!
//! An attempt stays here after its router stopped waiting for it, where its engine may go on with it: that one is
//! often what others stand behind.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::rc::Rc;

use hoptiller_policy::{EngineId, Micros};

use crate::blame::Waits;
use crate::change::Changes;
use crate::engines::{Paces, Sample};
use crate::expect::{Book, Expectation, Run};
use crate::findings::Findings;
use crate::hold::{Holds, KindHold};
use crate::interface::*;
use crate::others::AWAY_FOR;

/// Time between two looks at everything.
pub const LOOK_EVERY: Micros = 500_000;
/// What was told of standing still counts for so long.
const TOLD: Micros = 3_000_000;
/// An attempt that may go on at its engine is remembered for so long, and so many of them at most.
const GHOST_FOR: Micros = 900_000_000;
const GHOSTS: usize = 1024;
/// Engines that have told nothing for so long tell nothing.
const TELLS_FOR: Micros = 60_000_000;
/// Places where something has passed lately that are remembered.
const PASSED: usize = 8192;
/// Statements of other routers that are remembered.
const FOREIGN: usize = 256;
/// An expectation is looked up again after this time.
const EXPECT_FOR: Micros = 4_000_000;

/// An attempt that is out.
#[derive(Debug)]
pub(crate) struct Out {
    pub start: AttemptStart,
    pub at: Micros,
    told: Micros,
    /// How long it stood still, as told; and why it does, and since when that is known.
    pub stood: Micros,
    pub stands: Option<(Micros, BlockedState)>,
    pub news: ProgressReport,
    /// How often its progress was told.
    pub notes: u32,
    /// Since when its client takes rows.
    pub flowing: Option<Micros>,
    /// Since when its router waits no longer.
    pub gone: Option<Micros>,
    /// Since when it is over its bound.
    pub over: Option<Micros>,
    /// When it is to be ended, and to go on.
    pub end_at: Option<Micros>,
    pub resume_at: Option<Micros>,
    /// It was paused, or told to end: neither is done twice.
    pub paused: bool,
    pub ended: bool,
    /// It counts in its kind's hold.
    pub counts: bool,
    /// It stands behind another, as far as can be seen.
    pub held_up: bool,
    expectation: Option<(Micros, Expectation)>,
}

impl Out {
    /// Run time without standing still.
    pub fn moved(&self, now: Micros) -> f64 {
        let until = self.flowing.or(self.gone).unwrap_or(now);
        (until - self.at).saturating_sub(self.stood) as f64
    }

    /// Why it stands still, as lately told.
    pub fn stands(&self, now: Micros) -> Option<&BlockedState> {
        self.stands
            .as_ref()
            .filter(|(at, _)| now.saturating_sub(*at) <= TOLD)
            .map(|(_, why)| why)
    }
}

/// A statement of another router, or of an earlier life of this one, behind which others stand.
#[derive(Debug)]
pub(crate) struct Foreign {
    pub engine: EngineId,
    pub class: Option<usize>,
    pub since: Micros,
    pub told: Micros,
    pub over: Option<Micros>,
    /// The tables of what stood behind it: kept away from there until then, for longer each time that it was
    /// still there after. 0: never found to be a runaway.
    pub groups: BTreeSet<u64>,
    pub away_until: Micros,
    pub away_for: Micros,
}

/// Finds runaways. See the [crate].
#[derive(Debug)]
pub struct RunawayDetector {
    pub(crate) cfg: Settings,
    pub(crate) book: Book,
    pub(crate) outs: BTreeMap<AttemptId, Out>,
    names: HashMap<String, AttemptId>,
    pub(crate) ghosts: VecDeque<AttemptId>,
    pub(crate) foreign: BTreeMap<String, Foreign>,
    pub(crate) paces: Paces,
    pub(crate) changes: Changes,
    pub(crate) findings: Findings,
    pub(crate) holds: Holds,
    pub(crate) engines: Vec<EngineStatus>,
    /// By class: when runaways of kinds hardly known were found.
    pub(crate) strangers: Vec<VecDeque<Micros>>,
    next_look: Micros,
    /// When any engine last told anything of an attempt.
    last_told: Option<Micros>,
    /// By engine and group of tables: the latest start of what ran there as usual. Nothing held it up since.
    passed: BTreeMap<(EngineId, u64), Micros>,
    /// By engine, what runs there and takes longer than usual; of the last look.
    samples: BTreeMap<EngineId, Vec<(AttemptId, Sample)>>,
    pub(crate) decisions: Vec<Decision>,
}

impl RunawayDetector {
    /// A watch that knows no kind yet.
    pub fn new(cfg: Settings) -> RunawayDetector {
        RunawayDetector {
            book: Book::new(cfg.classes.len(), cfg.kinds),
            strangers: vec![VecDeque::new(); cfg.classes.len()],
            outs: BTreeMap::new(),
            names: HashMap::new(),
            ghosts: VecDeque::new(),
            foreign: BTreeMap::new(),
            paces: Paces::default(),
            changes: Changes::default(),
            findings: Findings::default(),
            holds: Holds::default(),
            engines: Vec::new(),
            next_look: 0,
            last_told: None,
            passed: BTreeMap::new(),
            samples: BTreeMap::new(),
            decisions: Vec::new(),
            cfg,
        }
    }

    /// Other settings hold from now on. Classes keep their numbers; further ones come behind.
    pub fn update_settings(&mut self, cfg: Settings) {
        if cfg.classes.len() >= self.cfg.classes.len() {
            self.book.grow(cfg.classes.len());
            self.strangers.resize(cfg.classes.len(), VecDeque::new());
            self.cfg = cfg;
        }
    }

    /// The kind of a fingerprint in a class.
    pub fn fingerprint_id(&self, class: usize, fingerprint: u64) -> FingerprintId {
        FingerprintId::new(&self.cfg.classes[class].name, fingerprint)
    }

    // ---- what happens ---------------------------------------------------------------------------

    /// A statement has come. The kind under which it can be held: its own, or that of all kinds hardly known,
    /// while those are held together.
    pub fn observe_arrival(
        &mut self,
        now: Micros,
        kind: FingerprintId,
        class: usize,
        label: &Rc<str>,
    ) -> FingerprintId {
        self.book.touch(kind, class, label, now);
        let together = FingerprintId::unknown(&self.cfg.classes[class].name);
        match self.holds.kinds.contains_key(&together) && !self.book.is_known(kind) {
            true => together,
            false => kind,
        }
    }

    /// An attempt was sent.
    pub fn start_attempt(&mut self, now: Micros, start: AttemptStart) {
        let (name, id) = (start.name.clone(), start.attempt);
        let out = Out {
            start,
            at: now,
            told: now,
            stood: 0,
            stands: None,
            news: ProgressReport::default(),
            notes: 0,
            flowing: None,
            gone: None,
            over: None,
            end_at: None,
            resume_at: None,
            paused: false,
            ended: false,
            counts: false,
            held_up: false,
            expectation: None,
        };
        self.outs.insert(id, out);
        self.names.insert(name, id);
    }

    /// An engine tells of an attempt.
    pub fn report_progress(&mut self, now: Micros, attempt: AttemptId, news: ProgressReport) {
        self.last_told = Some(now);
        let Some(o) = self.outs.get_mut(&attempt) else {
            return;
        };
        if news.blocked_state.is_some() {
            o.stood += now.saturating_sub(o.told);
        }
        o.told = now;
        o.notes += u32::from(news.done.is_some() || news.work.is_some());
        o.stands = news.blocked_state.clone().map(|why| (now, why));
        // What is not told again stays as told.
        let old = std::mem::take(&mut o.news);
        let sane = |v: Option<f64>| v.filter(|v| v.is_finite() && *v >= 0.0);
        o.news = ProgressReport {
            work: news.work.or(old.work),
            done: sane(news.done).filter(|d| *d <= 1.0).or(old.done),
            rows: news.rows.or(old.rows),
            memory_mb: sane(news.memory_mb).or(old.memory_mb),
            spills: news.spills || old.spills,
            blocked_state: None,
        };
        let engine = o.start.engine;
        if let Some(BlockedState::Behind(Some(holder))) = &news.blocked_state
            && !self.names.contains_key(&holder.name)
        {
            self.told_of(now, engine, holder);
        }
    }

    /// A statement that is not known here holds others up.
    fn told_of(&mut self, now: Micros, engine: EngineId, holder: &Holder) {
        if self.foreign.len() >= FOREIGN && !self.foreign.contains_key(&holder.name) {
            return; // Bounded; those that are known are gone soon.
        }
        // Where its age is not told, it is as old as what is known of it.
        let since = holder.age.map(|age| now.saturating_sub(age));
        let class = holder.class.filter(|c| *c < self.cfg.classes.len());
        let (groups, over) = Default::default();
        let fresh = || Foreign {
            engine,
            class,
            since: since.unwrap_or(now),
            told: now,
            over,
            groups,
            away_until: 0,
            away_for: AWAY_FOR,
        };
        let f = self
            .foreign
            .entry(holder.name.clone())
            .or_insert_with(fresh);
        (f.told, f.engine, f.since) = (
            now,
            engine,
            since.map_or(f.since, |since| since.max(f.since)),
        );
        f.class = f.class.or(class);
    }

    /// Its client has begun to take rows.
    pub fn start_streaming(&mut self, now: Micros, attempt: AttemptId) {
        if let Some(o) = self.outs.get_mut(&attempt) {
            o.flowing.get_or_insert(now);
        }
    }

    /// An attempt has ended. `work` is what it took in all, where told.
    pub fn end_attempt(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        how: ExecutionOutcome,
        work: Option<Micros>,
    ) {
        if how == ExecutionOutcome::Abandoned {
            return self.goes_on(now, attempt);
        }
        let Some(expected) = self.expectation(now, attempt) else {
            return;
        };
        let Some(mut o) = self.outs.remove(&attempt) else {
            return;
        };
        self.forget_name(&o.start.name, attempt);
        self.ghosts.retain(|id| *id != attempt);
        o.news.work = work.or(o.news.work);
        let subject = Subject::Statement(o.start.name.clone());
        let was_runaway = self.findings.is_runaway(&subject);
        if o.counts {
            self.holds.over(now, o.start.held_as);
        }
        if how == ExecutionOutcome::Succeeded {
            self.take_in(now, &o, &expected, was_runaway);
        }
        let note = match how {
            ExecutionOutcome::Succeeded => "it has ended, with its result",
            ExecutionOutcome::NeverRan => "it never ran",
            _ => "it has ended, without a result",
        };
        self.findings
            .clear(now, &subject, note, &mut self.decisions);
    }

    /// What a good run teaches.
    fn take_in(&mut self, now: Micros, o: &Out, expected: &Expectation, was_runaway: bool) {
        let (id, s) = (o.start.attempt, &o.start);
        let moved = o.moved(now).max(1.0);
        let slow = self.slowness(now, s.engine, Some(id)).0;
        let known_by_work = o.news.work.is_some();
        let (figure, of) = match o.news.work {
            Some(work) => (work as f64, &expected.work),
            None => (moved / slow, &expected.run),
        };
        let spills = if o.news.spills {
            crate::judge::SPILLS
        } else {
            1.0
        };
        let beyond = was_runaway || figure > of.bar * spills;
        let run = Run {
            ran: moved / slow,
            work: o.news.work.map(|w| w as f64),
            rows: o.news.rows.map(|r| r as f64),
            memory: o.news.memory_mb,
        };
        if expected.known && !beyond && !(o.held_up && o.stood == 0) {
            let sample = Sample {
                kind: s.kind,
                times: moved / expected.run.usual.max(1.0),
            };
            self.paces.ended(now, s.engine, sample);
        }
        self.holds.ended(now, s.held_as, figure <= of.bar * 0.5);
        if beyond {
            let runs = self.book.note_beyond(s.kind, &run);
            self.changes.long(now, s.kind, id, o.at, s.engine);
            self.maybe_adopt(now, s.kind, runs);
            return;
        }
        if figure < of.usual * crate::judge::LONG || known_by_work && moved < expected.run.usual {
            self.changes.usual(s.kind, id, o.at);
        }
        if let (Some(group), true) = (s.group, figure < of.usual * crate::judge::LONG) {
            self.note_passed(now, (s.engine, group), o.at);
        }
        if !self.changes.knows(s.kind) {
            self.book.disown(s.kind);
        }
        self.book.learn(s.kind, s.class, s.announced, &run);
    }

    fn note_passed(&mut self, now: Micros, at: (EngineId, u64), started: Micros) {
        let last = self.passed.entry(at).or_default();
        *last = (*last).max(started);
        if self.passed.len() > PASSED {
            self.passed
                .retain(|_, started| now.saturating_sub(*started) < TELLS_FOR);
        }
        if self.passed.len() > PASSED {
            self.passed.clear();
        }
    }

    /// Whether something of those tables that began there after this time has run as usual.
    pub(crate) fn has_passed(&self, engine: EngineId, group: u64, since: Micros) -> bool {
        self.passed
            .get(&(engine, group))
            .is_some_and(|started| *started > since)
    }

    /// Whether engines tell anything of attempts, or have lately.
    pub(crate) fn tells(&self, now: Micros) -> bool {
        self.last_told
            .is_some_and(|at| now.saturating_sub(at) < TELLS_FOR)
    }

    /// The router stopped waiting; the engine may go on.
    fn goes_on(&mut self, now: Micros, attempt: AttemptId) {
        let Some(o) = self.outs.get_mut(&attempt) else {
            return;
        };
        o.gone.get_or_insert(now);
        let holds = self.cfg.classes[o.start.class].holds;
        if !holds && o.over.is_none() {
            // Nothing stands behind it, and it was not too long: it is not looked for any more.
            return self.let_go(now, attempt, "its router has stopped waiting");
        }
        self.ghosts.push_back(attempt);
        if self.ghosts.len() > GHOSTS
            && let Some(oldest) = self.ghosts.front().copied()
        {
            self.let_go(now, oldest, "it went on at its engine, and is forgotten");
        }
    }

    /// Forgets an attempt of which nothing more can be known.
    pub(crate) fn let_go(&mut self, now: Micros, attempt: AttemptId, note: &'static str) {
        let Some(o) = self.outs.remove(&attempt) else {
            return;
        };
        self.ghosts.retain(|id| *id != attempt);
        self.forget_name(&o.start.name, attempt);
        if o.counts {
            self.holds.over(now, o.start.held_as);
        }
        let subject = Subject::Statement(o.start.name);
        self.findings
            .clear(now, &subject, note, &mut self.decisions);
    }

    fn forget_name(&mut self, name: &str, attempt: AttemptId) {
        if self.names.get(name) == Some(&attempt) {
            self.names.remove(name);
        }
    }

    /// Update of the engine list.
    pub fn update_engines(&mut self, engines: Vec<EngineStatus>) {
        self.holds.listed(&engines);
        self.paces
            .retain(|id| engines.iter().any(|e| e.engine == id));
        self.engines = engines;
        self.tell_holds();
    }

    /// An engine's process is another one: what it held is gone.
    pub fn reset_engine(&mut self, now: Micros, engine: EngineId) {
        let gone: Vec<AttemptId> = self
            .ghosts
            .iter()
            .filter(|id| self.outs.get(id).is_some_and(|o| o.start.engine == engine))
            .copied()
            .collect();
        for id in gone {
            self.let_go(now, id, "its engine was started anew");
        }
    }

    /// An operator frees a kind. False where it is not held.
    pub fn release_hold(&mut self, kind: FingerprintId) -> bool {
        let held = self.holds.release(kind);
        self.tell_holds();
        held
    }

    // ---- looking --------------------------------------------------------------------------------

    /// When the next look is due.
    pub fn next_detection_at(&self) -> Micros {
        self.next_look
    }

    /// Looks at everything, if it is time.
    pub fn run_detection(&mut self, now: Micros) {
        if now < self.next_look {
            return;
        }
        self.next_look = now + LOOK_EVERY;
        let old = |o: &Out| o.gone.is_some_and(|at| now.saturating_sub(at) > GHOST_FOR);
        let forgotten: Vec<AttemptId> = self
            .ghosts
            .iter()
            .filter(|id| self.outs.get(id).is_none_or(old))
            .copied()
            .collect();
        for id in forgotten {
            self.ghosts.retain(|g| *g != id);
            self.let_go(now, id, "it went on at its engine, and is forgotten");
        }
        self.judge(now);
        self.holds.tick(now);
        self.tell_holds();
    }

    /// Decisions since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    pub(crate) fn tell_holds(&mut self) {
        let news = self.holds.news();
        self.decisions.extend(news.into_iter().map(Decision::Hold));
    }

    // ---- what is known --------------------------------------------------------------------------

    /// Verdicts that stand.
    pub fn open_findings(&self) -> impl Iterator<Item = &Finding> {
        self.findings.open()
    }

    /// The last verdicts that no longer stand, oldest first.
    pub fn past_findings(&self) -> impl Iterator<Item = &Finding> {
        self.findings.past()
    }

    /// Kinds that are held.
    pub fn holds(&self) -> impl Iterator<Item = (&FingerprintId, &KindHold)> {
        self.holds.kinds.iter()
    }

    /// Groups of tables that are kept away from engines.
    pub fn excluded_engines(&self) -> impl Iterator<Item = (&u64, &Vec<EngineId>)> {
        self.holds.groups.iter()
    }

    /// Kinds remembered, attempts watched, statements of others known.
    pub fn tracked_counts(&self) -> (usize, usize, usize) {
        (self.book.len(), self.outs.len(), self.foreign.len())
    }

    /// What was expected of a kind's attempts is looked up anew.
    pub(crate) fn expect_anew(&mut self, kind: FingerprintId) {
        self.outs
            .values_mut()
            .filter(|o| o.start.kind == kind)
            .for_each(|o| o.expectation = None);
    }

    /// What is expected of an attempt; looked up again now and then.
    pub(crate) fn expectation(&mut self, now: Micros, attempt: AttemptId) -> Option<Expectation> {
        let o = self.outs.get_mut(&attempt)?;
        if let Some((at, expected)) = o.expectation
            && now.saturating_sub(at) < EXPECT_FOR
        {
            return Some(expected);
        }
        let s = &o.start;
        let expected = self
            .book
            .expect(s.kind, s.class, &self.cfg.classes[s.class], s.announced);
        o.expectation = Some((now, expected));
        Some(expected)
    }

    pub(crate) fn expected(&self, attempt: AttemptId) -> Option<&Expectation> {
        self.outs
            .get(&attempt)?
            .expectation
            .as_ref()
            .map(|(_, e)| e)
    }

    /// How slow an engine is, by what ended and runs there, one statement left out.
    pub(crate) fn slowness(
        &self,
        now: Micros,
        engine: EngineId,
        without: Option<AttemptId>,
    ) -> (f64, usize) {
        let running: Vec<Sample> = match self.samples.get(&engine) {
            Some(all) => all
                .iter()
                .filter(|s| Some(s.0) != without)
                .map(|s| s.1)
                .collect(),
            None => Vec::new(),
        };
        self.paces.slowness(now, engine, &running)
    }

    /// What runs tells of its engines; gathered once for each look.
    pub(crate) fn gather_samples(&mut self, now: Micros) {
        let mut samples: BTreeMap<EngineId, Vec<(AttemptId, Sample)>> = BTreeMap::new();
        let all = self
            .outs
            .iter()
            .filter(|(_, o)| o.gone.is_none())
            .filter(|(_, o)| !o.held_up && o.flowing.is_none())
            .filter(|(_, o)| {
                !self
                    .findings
                    .is_runaway(&Subject::Statement(o.start.name.clone()))
            })
            .filter_map(|(id, o)| {
                let e = self.expected(*id).filter(|e| e.known)?;
                // Of one that runs, what it has taken is the least that it will. Work that its engine tells is its own:
                // what is larger than usual takes longer at any engine, and says nothing of this one.
                let larger = o
                    .news
                    .work
                    .map_or(1.0, |work| work as f64 / e.work.usual.max(1.0))
                    .max(1.0);
                let times = o.moved(now) / (e.run.usual.max(1.0) * larger);
                (times >= 2.0).then_some((
                    o.start.engine,
                    *id,
                    Sample {
                        kind: o.start.kind,
                        times,
                    },
                ))
            });
        for (engine, id, sample) in all {
            samples.entry(engine).or_default().push((id, sample));
        }
        self.samples = samples;
    }

    /// Who stands behind whom now.
    pub(crate) fn waits(&self, now: Micros) -> Waits {
        let mut waits = Waits::default();
        for o in self.outs.values().filter(|o| o.gone.is_none()) {
            if let Some(BlockedState::Behind(Some(holder))) = o.stands(now) {
                waits.add(&o.start.name, &holder.name);
            }
        }
        self.infer(now, &mut waits);
        waits
    }

    /// The attempt of that name.
    pub(crate) fn named(&self, name: &str) -> Option<AttemptId> {
        self.names.get(name).copied()
    }
}
