//! Every decision of the gateway. Types: `interface.rs`. Read top to bottom:
//! constants · state · events · the loop · dispatch · guards · endings.
//!
//! Ordinary path: a request waits in its class queue; each free engine place goes to a class by random
//! draw, whose odds a PI loop tunes; it goes to the engine with the fewest own queries. The rest are guards.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::interface::*;

// ---- constants ----------------------------------------------------------------------------------

/// Sampling period of loop and bounds: long enough for some answers of each class, a few per burst.
const PERIOD: Micros = 2_000_000;
/// Gains of the PI update, Δx = GAIN_NOW·e(k) − GAIN_BEFORE·e(k−1); from the paper, Eq. 11.
const GAIN_NOW: f64 = 0.42;
const GAIN_BEFORE: f64 = 0.1;
const ERROR_MAX: f64 = 2.0; // Bound of the error, so that one odd ratio cannot throw x (anti-windup).
const X_MIN: f64 = 1.0 / 64.0; // Bounds of x: about one draw in 65 is kept (anti-windup).
const THREADS_PER_CORE: f64 = 2.0; // That all gateways together run under pressure (DESIGN, ours).
const GROWTH: f64 = 0.3; // Part of its slice by which a bound grows in a period, a place at least (ours).
const GROWTH_MAX: f64 = 3.0; // Bounds grow to this multiple of the slice (DESIGN, ours).
const MIN_QUERIES: f64 = 2.0; // A bound never falls under this many queries' worth of threads (DESIGN, ours).
const RETURN_STRETCH: f64 = 2.5; // Times the work, or undisturbed run, at which an engine is full.
const CALM_STRETCH: f64 = 1.2; // The same where only run times tell: they tell late.
/// Load, 1 being two threads a core: the most that one answer shows, the weight of a new answer, and the
/// part of the window that is given back at twice the load.
const LOAD_MAX: f64 = 1.6;
const LOAD_WEIGHT: f64 = 0.2;
const SHRINK: f64 = 0.2;
const LEAST_WINDOW: f64 = 0.125; // There, the window's least part of the widest query; elsewhere one.
const ABSURD: f64 = 1e6; // No report value is taken from here on.
/// Time in which what an engine showed fades. Danger: an engine past its memory crawls, and a query from
/// each of many gateways that forgot keeps it there.
const FADE: Micros = 10_000_000;
const JAM_ROOM: f64 = 0.25; // No send to an engine that shows so much more than two threads a core.
const PROBE_EVERY: Micros = 10 * WAKE; // How often a gateway whose requests wait probes an engine.
const PROBE_WORTH: f64 = 0.01; // The price at which each send is still worth a probe; dearer ones are rarer.
const HOME_PART: u64 = 4; // One engine in so many is a home of a group,
const HOME_GAIN: f64 = 0.25; // and being there makes up for so much load.
const AIMS_MET: f64 = 0.8; // Part of answers within aim above which bounds may grow.
const WAKE: Micros = 20_000; // Housekeeping interval: deadlines, late marks, silence.
const END_MARGIN: Micros = 3 * WAKE; // Queued requests end this long before the client gives up.
const LATE_KEEP: f64 = 0.2; // Late work that earns less of its worth is refused, not kept.
const ROOM_PART: f64 = 0.7; // Of the requests that may be open at once; over it late work is let go.
const LEAST_WAIT: f64 = 0.4; // Part of the aim that a query may wait before it is late.
const PRIOR_WORK: f64 = 0.1; // Work as part of the patience, per thread, until answers come.
const COLD_SAFE: f64 = 0.5; // Used part of what a cold engine is sure to bear: chance, slow cores.
const MEAN_WEIGHT: f64 = 0.03; // Weight of a new sample in a class's learned means, once there are enough.
const BASE_WEIGHT: f64 = 0.125; // The undisturbed run is held once a sample weighs no more.
const FAIL_WEIGHT: f64 = 0.2; // Failure average of an engine: weight of an answer,
const FAIL_EJECT: f64 = 0.35; // and the ejecting level.
const SILENT_TIMES: f64 = 4.0; // Silent: out for this multiple of the class's usual run ...
const SILENT_FOR: Micros = 1_000_000; // ... and nothing at all has come back for this long.
const OWN_PAUSE: Micros = 10 * WAKE; // A timer this late tells that this gateway itself stood still.
const EJECT_FOR: Micros = 4_000_000; // Time of ejection, and from one trial to the next.
const EJECT_PART: f64 = 0.5; // At most this part is ejected: what hits more is shared by all.
const GONE_TIMES: f64 = 1.6; // Without a note for so many intervals an attempt is gone.
const REDO_TIMES: f64 = 3.0; // An attempt is slow whose pace leaves it so many usual runs to go.
const LEAST_DONE: f64 = 0.002; // The least share done that is believed.
const SPARE_MORE: f64 = 0.2; // A spill adds so much of the estimate to later grants of the class,
const SPARE_LESS: f64 = 0.02; // and an answer without one takes this off.
const EARLY: Micros = 5 * WAKE; // A query that spills so soon after its start has done little.
const PARKED_TRIES: u32 = 64; // Held requests that look for a place at each housekeeping.
const ASK_PAUSE: Micros = 500_000; // Pause after a refused call to discovery.

// ---- state --------------------------------------------------------------------------------------

/// Order in a class queue: late work last, then by the latest start that meets the aim.
type Rank = (bool, Micros, RequestId);

#[derive(Default)]
struct ClassState {
    queue: BTreeSet<Rank>,
    /// Threads of its attempts that are out, and the rest after one where the window is less than it.
    busy: f64,
    rest_until: Micros,
    waits: (f64, f64), // Sum and count of waits in this period.
    /// Mean work of all threads, and mean run time, in µs; answers seen; the undisturbed run, which is the
    /// least that the mean has been.
    work: f64,
    run: f64,
    seen: f64,
    base: f64,
    spare: f64, // Memory to grant against the estimate, beyond one.
}

#[derive(Default)]
struct Request {
    class: usize,
    key: Option<KeyId>,
    valid_until: Micros,
    group: Option<u64>,
    kind: Option<u64>,
    born: Micros, // When its first try began, as far as can be told.
    came: Micros,
    rank: Option<Rank>,
    attempts: u32,
    out: Vec<(u32, EngineId)>, // Attempts without outcome: hop and engine.
    tried: Vec<EngineId>,
    /// Memory to grant, in MB; whether an attempt was withdrawn for want of it, and for its pace.
    grant: f64,
    fed: bool,
    slow: bool,
    /// Engines whose errors to it were counted; taken back once another one errs too: it is rejected.
    blamed: Vec<EngineId>,
    rejected: bool,
    may_have_run: Option<(Option<usize>, u64, Micros)>, // Zone, cell, time of sending; the first.
    done: bool,
}

impl Request {
    /// What it could be held as.
    fn held(&self) -> impl Iterator<Item = HoldTarget> + use<> {
        [self.kind.map(HoldTarget::Kind), self.group.map(HoldTarget::Group)].into_iter().flatten()
    }

    fn is_of(&self, of: HoldTarget) -> bool {
        self.held().any(|held| held == of)
    }
}

/// Requests of one key in the order taken; the first has the turn.
#[derive(Default)]
struct Turn {
    line: VecDeque<RequestId>,
    rest_until: Micros,
}

#[derive(Default)]
struct Sent {
    request: RequestId,
    hop: u32,
    class: usize,
    at: Micros,
    noted: Micros, // The last note of it, or its sending.
    paced: Micros, // The last note of nothing done, or its sending.
    spills: bool,
    withdrawn: bool,
}

#[derive(Default)]
struct Engine {
    entry: EndpointEntry,
    out: Vec<Sent>,
    /// Even part of its threads, and the bound grown from it.
    slice: f64,
    bound: f64,
    /// This period's sums of run time × threads and of work: their ratio is the stretch.
    ran: f64,
    worked: f64,
    others: Option<f64>, // Threads of other gateways as last told.
    load: (f64, Micros), // Load as last shown, and when.
    heard: Micros,
    failing: f64,
    ejected: Option<Micros>, // Outlier ejection until then; after that one trial at a time.
    recent: VecDeque<(Micros, f64)>, // Sends within the sliding `fall` window: time and usual work.
}

/// The decision module of one gateway.
pub struct Controller {
    cfg: Settings,
    rng: Pcg64Mcg,
    now: Micros,
    classes: Vec<ClassState>,
    /// x_j = P_{j+1} / P_j of neighbouring classes, and the last error of each.
    x: Vec<f64>,
    last_error: Vec<f64>,
    engines: BTreeMap<EngineId, Engine>,
    requests: BTreeMap<RequestId, Request>,
    ends: BTreeSet<(Micros, RequestId)>, // Open requests by the time their client gives up.
    turns: BTreeMap<KeyId, Turn>,
    holds: BTreeMap<HoldTarget, (Hold, u32)>, // With the attempts that are out of each.
    parked: BTreeSet<RequestId>, // Held, and without a place: out of their queues, so that others go on.
    taken: VecDeque<Micros>,
    extras: VecDeque<Micros>,
    next_wake: Micros,
    next_period: Micros,
    next_probe: Micros,
    probe_part: f64, // Of the sends, that bring a probe; and what of one is due.
    probe_due: f64,
    met: f64, // Answers of this period within their aim, less those that had to be.
    /// Threads of the widest class; some class holds its group; engines can't be bounded one by one.
    most: f64,
    loads: bool,
    crowded: bool,
    blind: bool, // Neither reports nor bills come: only run times tell of load.
    /// The bound of all own threads there, and the decayed load that answers showed, which moves it.
    window: f64,
    pressure: f64,
    next_ask: Option<Micros>,
}

impl Controller {
    /// A controller that knows nothing yet. Same seed and events: same actions.
    pub fn new(cfg: Settings, seed: u64) -> Result<Self, SettingsError> {
        check(&cfg)?;
        let classes = cfg.classes.iter().map(|c| {
            let run = (c.deadline as f64 * PRIOR_WORK).max(1.0);
            ClassState { work: run * c.threads, run, base: run, spare: SPARE_MORE, ..ClassState::default() }
        });
        let cores = cfg.cores.iter().copied().fold(1.0, f64::max);
        let most = cfg.classes.iter().map(|c| c.threads).fold(1.0, f64::max);
        let pairs = cfg.classes.len() - 1;
        Ok(Controller {
            classes: classes.collect(),
            x: vec![1.0; pairs],
            last_error: vec![0.0; pairs],
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: 0,
            engines: BTreeMap::new(),
            requests: BTreeMap::new(),
            ends: BTreeSet::new(),
            turns: BTreeMap::new(),
            holds: BTreeMap::new(),
            parked: BTreeSet::new(),
            taken: VecDeque::new(),
            extras: VecDeque::new(),
            next_wake: 0,
            next_period: 0,
            next_probe: 1,
            probe_part: (PROBE_WORTH / cfg.health_check_cost.max(PROBE_WORTH)).min(1.0),
            probe_due: 0.0,
            met: 0.0,
            loads: cfg.classes.iter().any(|c| c.locks_group),
            most,
            crowded: THREADS_PER_CORE * cores < most * f64::from(cfg.gateways),
            blind: !cfg.reports_work && !cfg.load_reports,
            window: f64::INFINITY,
            pressure: 0.5,
            next_ask: (cfg.discovery == Discovery::Subscribe).then_some(0),
            cfg,
        })
    }

    /// Attempts that are out at an engine, for those who hold this against what passed on the sockets.
    pub fn in_flight_at(&self, engine: EngineId) -> usize {
        self.engines.get(&engine).map_or(0, |e| e.out.len())
    }

    // ---- events ---------------------------------------------------------------------------------

    /// Takes one batch: events first, then one dispatch pass.
    pub fn handle(&mut self, now: Micros, events: &[Event], out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.forgive_own_pause();
        for event in events {
            match event {
                Event::EndpointList(scope, entries) => self.on_list(*scope, entries),
                Event::Arrival(a) => self.on_arrival(a, out),
                Event::Outcome(o) => self.on_outcome(o, out),
                Event::Progress { request, attempt: hop, engine, progress } => {
                    self.on_note(*request, *hop, *engine, *progress, out);
                }
                Event::HealthChecked(id, report) => self.on_probe(*id, *report),
                Event::ClientDisconnected(id) => self.end(*id, None, out),
                Event::Abandoned(id) => self.give_up(*id, out),
                Event::Hold(hold) => {
                    let out = self.engines.values().flat_map(|e| &e.out);
                    let same =
                        |s: &&Sent| self.requests.get(&s.request).is_some_and(|r| r.is_of(hold.target));
                    self.holds.insert(hold.target, (hold.clone(), out.filter(same).count() as u32));
                    self.holds.retain(|_, (h, _)| {
                        h.max_in_flight < u32::MAX || !h.excluded_engines.is_empty() || h.low_priority
                    });
                }
                Event::SettingsChanged(cfg) => self.on_rules(cfg),
                Event::Wakeup => {}
            }
        }
        if self.now >= self.next_period {
            self.next_period = self.now + PERIOD;
            self.update_odds();
            self.update_bounds();
        }
        if self.now >= self.next_wake {
            self.next_wake = self.now + WAKE;
            self.housekeep(out);
            out.push(Action::Timer(WAKE));
        }
        self.dispatch(out);
        self.probe(out);
    }

    /// Danger: a gateway that stood still finds every engine silent on waking. The time by which its own
    /// timer is late is its own pause and counts against no engine.
    fn forgive_own_pause(&mut self) {
        let late = self.now.saturating_sub(self.next_wake);
        if self.next_wake > 0 && late > OWN_PAUSE {
            for e in self.engines.values_mut() {
                e.heard = self.now.min(e.heard + late);
            }
        }
    }

    fn on_list(&mut self, scope: ListScope, entries: &[EndpointEntry]) {
        if scope == ListScope::Failed {
            self.next_ask = Some(self.now + ASK_PAUSE.min(self.cfg.rules.max_poll_interval / 2));
            return;
        }
        if scope != ListScope::Changes {
            // Danger: an engine missing from a full list is gone; sending on breaks the drain rule.
            for e in self.engines.values_mut() {
                e.entry.readiness = Readiness::Removed;
            }
        }
        for entry in entries {
            let slice = self.slice(entry.kind);
            let e = self.engines.entry(entry.engine).or_insert_with(|| Engine::new(entry, slice, self.now));
            if entry.ready_at > e.entry.ready_at {
                // A new process: cold again, and its predecessor's health says nothing of it.
                let (out, recent) = (std::mem::take(&mut e.out), std::mem::take(&mut e.recent));
                *e = Engine { out, recent, ..Engine::new(entry, slice, self.now) };
            }
            e.entry = entry.clone();
        }
        self.engines.retain(|_, e| e.entry.readiness != Readiness::Removed || !e.out.is_empty());
        // Danger: before the first answers of a full fleet, all gateways together would bury it.
        if self.window.is_infinite() && !self.engines.is_empty() {
            let all: f64 = self.engines.values().map(|e| self.full(e)).sum();
            self.window = GROWTH_MAX * (all / f64::from(self.cfg.gateways)).max(self.most);
        }
    }

    /// Rules change under way: what waits and what is out stays, and the next decision is by the new ones.
    fn on_rules(&mut self, cfg: &Settings) {
        let Ok(mut fresh) = Controller::new(cfg.clone(), 0) else { return };
        if cfg.classes.len() < self.classes.len() {
            return; // Classes keep their numbers.
        }
        self.classes.extend(fresh.classes.drain(self.classes.len()..));
        self.x.resize(self.classes.len() - 1, 1.0);
        self.last_error.resize(self.classes.len() - 1, 0.0);
        (self.most, self.loads, self.crowded, self.blind) =
            (fresh.most, fresh.loads, fresh.crowded, fresh.blind);
        self.cfg = fresh.cfg;
        self.classes.iter_mut().for_each(|c| c.busy = 0.0);
        for sent in self.engines.values().flat_map(|e| &e.out) {
            self.classes[sent.class].busy += self.cfg.classes[sent.class].threads;
        }
        let slices: Vec<f64> = self.engines.values().map(|e| self.slice(e.entry.kind)).collect();
        self.engines.values_mut().zip(slices).for_each(|(e, slice)| e.slice = slice);
    }

    fn on_arrival(&mut self, a: &Arrival, out: &mut Vec<Action>) {
        if a.class >= self.classes.len() || self.requests.contains_key(&a.request) {
            return;
        }
        self.taken.push_back(self.now);
        let spec = &self.cfg.classes[a.class];
        // A client's patience spans all its tries: a repeat began earlier.
        let born =
            if a.is_retry { a.valid_until.saturating_sub(spec.deadline).min(self.now) } else { self.now };
        let key = a.key.filter(|_| spec.ordered_by_key);
        let (class, valid_until, group, kind, came) = (a.class, a.valid_until, a.group, a.kind, self.now);
        // What is granted beyond the need takes nothing where memory is overcommitted.
        let usual = a.estimated_memory_mb.clamp(0.0, ABSURD) * (1.0 + self.classes[class].spare);
        let grant = if self.cfg.memory_overcommit { ABSURD } else { usual }.min(self.cfg.max_grant_mb);
        let r = Request { class, key, valid_until, group, kind, born, came, ..Request::default() };
        self.requests.insert(a.request, Request { grant, ..r });
        self.ends.insert((a.valid_until, a.request));
        if let Some(key) = key {
            let turn = self.turns.entry(key).or_default();
            turn.line.push_back(a.request);
            if turn.line.len() > 1 || turn.rest_until > self.now {
                return;
            }
        }
        self.enqueue(a.request, out);
    }

    fn on_outcome(&mut self, o: &Outcome, out: &mut Vec<Action>) {
        let sent = self.engines.get_mut(&o.engine).and_then(|e| {
            let at = e.out.iter().position(|s| s.request == o.request && s.hop == o.attempt)?;
            Some(e.out.swap_remove(at))
        });
        let Some(sent) = sent else { return };
        self.classes[sent.class].busy -= self.cfg.classes[sent.class].threads;
        if o.status == AttemptStatus::Succeeded {
            self.learn(&sent, o);
        }
        self.judge(o);
        self.feel(&sent, o);
        let Some(r) = self.requests.get_mut(&o.request) else { return };
        r.out.retain(|(hop, _)| *hop != o.attempt);
        for of in r.held() {
            self.holds.get_mut(&of).into_iter().for_each(|(_, out)| *out = out.saturating_sub(1));
        }
        let proof = matches!(
            o.status,
            AttemptStatus::Rejected | AttemptStatus::ConnectFailed | AttemptStatus::NotSent
        );
        if !proof && r.may_have_run.is_none() {
            let place = self.engines.get(&o.engine).map_or((None, 0), |e| (e.entry.zone, e.entry.cell));
            r.may_have_run = Some((place.0, place.1, sent.at));
        }
        if let (
            Some(key),
            AttemptStatus::TimedOut | AttemptStatus::ConnectionReset | AttemptStatus::Cancelled,
        ) = (r.key, o.status)
            && let Some(turn) = self.turns.get_mut(&key)
        {
            turn.rest_until = turn.rest_until.max(self.now.saturating_add(self.cfg.rules.key_pause));
        }
        if o.terminal || r.done {
            if o.status == AttemptStatus::Succeeded && !r.done {
                let (c, took) = (&self.cfg.classes[r.class], (self.now - r.born) as f64);
                let work = o.work.map_or(self.classes[r.class].work, |w| w as f64);
                self.met +=
                    f64::from(took <= c.latency_objective as f64 + c.objective_stretch * work / c.threads)
                        - AIMS_MET;
            }
            self.end(o.request, None, out);
        } else if r.out.is_empty() && r.rank.is_none() {
            self.enqueue(o.request, out);
        }
    }

    /// Means of a class and the stretch of an engine, from a served query.
    fn learn(&mut self, sent: &Sent, o: &Outcome) {
        let (c, threads) = (&mut self.classes[sent.class], self.cfg.classes[sent.class].threads);
        let ran = o.elapsed as f64 * threads;
        // Danger: without bills the mean run rises with the load; measured against it, nothing looks slow.
        let usual = c.base * threads;
        // The run time stands in for the work there: too high rather than too low.
        let work = o.work.map_or(ran, |w| w as f64).max(1.0);
        c.seen += 1.0;
        c.spare = (c.spare - if sent.spills { 0.0 } else { SPARE_LESS }).max(0.0);
        let weight = (1.0 / c.seen).max(MEAN_WEIGHT);
        c.work += (work - c.work) * weight;
        c.run += (o.elapsed as f64 - c.run) * weight;
        c.base = if weight > BASE_WEIGHT { c.run } else { c.base.min(c.run) };
        if let Some(e) = self.engines.get_mut(&o.engine) {
            e.ran += ran;
            e.worked += if self.cfg.reports_work { work } else { usual };
        }
    }

    // ---- the loop -------------------------------------------------------------------------------

    /// PI update of x from the period's mean waits, a loop for each pair of neighbours.
    fn update_odds(&mut self) {
        let now = self.now;
        let mut mean = Vec::with_capacity(self.classes.len());
        for c in &mut self.classes {
            let (mut sum, mut n) = std::mem::take(&mut c.waits);
            // Danger: clients who wait or left must count, or an abandoned class reads as fast.
            for id in c.queue.iter().map(|r| &r.2) {
                sum += (now - self.requests[id].came) as f64;
                n += 1.0;
            }
            mean.push((n > 0.0).then(|| sum / n));
        }
        for j in 0..self.x.len() {
            let (Some(a), Some(b)) = (mean[j], mean[j + 1]) else { continue };
            let least = self.cfg.tick.max(1) as f64;
            if a.max(b) <= 2.0 * least {
                continue; // Nobody waits: the ratio is noise.
            }
            let target = (self.reference(j) / self.reference(j + 1)).clamp(X_MIN, 1.0 / X_MIN);
            let error = (target - a.max(least) / b.max(least)).clamp(-ERROR_MAX, ERROR_MAX);
            let step = GAIN_NOW * error - GAIN_BEFORE * self.last_error[j];
            self.x[j] = (self.x[j] + step).clamp(X_MIN, 1.0 / X_MIN);
            self.last_error[j] = error;
        }
    }

    /// δ of a class: the wait that its aim leaves to a usual query that runs undisturbed, by the work that
    /// a unit of its worth takes: who gives most for a place waits least.
    fn reference(&self, class: usize) -> f64 {
        let (c, s) = (&self.cfg.classes[class], &self.classes[class]);
        let alone = s.work / c.threads;
        let bearable = (c.latency_objective as f64 + (c.objective_stretch - 1.0) * alone)
            .max(c.latency_objective as f64 * 0.25);
        bearable * s.work.max(1.0) / c.priority_weight.max(f64::MIN_POSITIVE)
    }

    /// Threads that count as a full engine.
    fn full(&self, e: &Engine) -> f64 {
        THREADS_PER_CORE * self.cores(e.entry.kind)
    }

    /// Own threads there.
    fn own(&self, e: &Engine) -> f64 {
        e.out.iter().map(|s| self.cfg.classes[s.class].threads).sum()
    }

    fn cores(&self, kind: Option<usize>) -> f64 {
        kind.and_then(|k| self.cfg.cores.get(k)).copied().unwrap_or(1.0)
    }

    /// This gateway's threads on an engine of this kind, all gateways being equal.
    fn slice(&self, kind: Option<usize>) -> f64 {
        (THREADS_PER_CORE * self.cores(kind) / f64::from(self.cfg.gateways)).max(MIN_QUERIES * self.most)
    }

    /// Grows a bound while requests wait and aims are met; returns places as latency grows.
    fn update_bounds(&mut self) {
        let waiting = self.classes.iter().any(|c| !c.queue.is_empty());
        for e in self.engines.values_mut() {
            if e.ran > RETURN_STRETCH * e.worked {
                e.bound *= 0.8;
            } else if e.worked > 0.0 && waiting && self.met >= 0.0 {
                e.bound += (GROWTH * e.slice).max(1.0);
            }
            e.bound = e.bound.clamp(e.slice, GROWTH_MAX * e.slice);
            (e.ran, e.worked) = (0.0, 0.0);
        }
        self.met = 0.0;
    }

    fn on_probe(&mut self, id: EngineId, report: Option<LoadReport>) {
        let load = self.told_load(id, report.as_ref());
        if let (Some(load), Some(e)) = (load, self.engines.get_mut(&id)) {
            e.load = (load.min(LOAD_MAX), self.now);
            if self.cfg.reports_in_flight {
                self.pressure += (e.load.0 - self.pressure) * LOAD_WEIGHT;
            }
        }
    }

    /// Load of an engine by its report: threads or memory, or else busy cores while they are not all busy.
    fn told_load(&self, id: EngineId, report: Option<&LoadReport>) -> Option<f64> {
        // Danger: one absurd figure would stay in the averages for good.
        let sane = |v: Option<f64>| v.filter(|v| (0.0..ABSURD).contains(v));
        let (e, report) = (self.engines.get(&id)?, report?);
        // Danger: past its memory an engine crawls with cores free; full memory counts as full cores.
        let memory = sane(report.memory).unwrap_or(0.0);
        let threads = sane(report.in_flight).map(|n| (n * self.mix() / self.full(e)).max(memory));
        threads.or(sane(report.cpu).filter(|cpu| *cpu < 0.9).map(|cpu| cpu / THREADS_PER_CORE))
    }

    /// Danger: with many gateways the floors of their bounds add up to many times an engine's cores, so
    /// nothing binds and full engines never recover. There the bound holds over all engines together: a
    /// place more for each answer that shows room, a part less for each that shows too much.
    fn feel(&mut self, sent: &Sent, o: &Outcome) {
        let threads = self.cfg.classes[sent.class].threads;
        let told = self.told_load(o.engine, o.report.as_ref());
        let stretch = match o.work {
            Some(work) => o.elapsed as f64 * threads / (work as f64).max(1.0),
            None => o.elapsed as f64 / self.classes[sent.class].base,
        };
        let soon = o.elapsed < self.cfg.classes[sent.class].deadline / 2;
        let shown = match (o.status, told) {
            (AttemptStatus::Succeeded, Some(told)) => told,
            (AttemptStatus::Succeeded, None) if self.blind => stretch / CALM_STRETCH,
            (AttemptStatus::Succeeded, None) => stretch / RETURN_STRETCH,
            // A client that came with little time left tells nothing of the engine, nor what never got there.
            (AttemptStatus::TimedOut, _) if self.cfg.progress_interval > 0 && soon => return,
            (AttemptStatus::NotSent, _) => return,
            // Danger: an engine that fails looks idle; what it tells must not draw more to it.
            _ => LOAD_MAX,
        };
        let (load, now) = (shown.min(LOAD_MAX), self.now);
        let (own, full) = self.engines.get(&o.engine).map_or((0.0, 1.0), |e| (self.own(e), self.full(e)));
        if let Some(e) = self.engines.get_mut(&o.engine) {
            e.load = (load, now);
            let told = told.filter(|_| self.cfg.reports_in_flight);
            let others = told.map(|t| (t * full - own - threads).max(0.0));
            e.others = others.map(|o| (e.others.unwrap_or(o) + o) * 0.5).or(e.others);
        }
        // Danger: when all engines crawl nothing is answered. Where notes tell lost answers apart a time-out
        // is load; elsewhere, and for other failures, it tells of that engine alone.
        let late = o.status == AttemptStatus::TimedOut && self.cfg.progress_interval > 0;
        if !late && o.status != AttemptStatus::Succeeded && o.status != AttemptStatus::Rejected {
            return;
        }
        self.pressure += (load - self.pressure) * LOAD_WEIGHT;
        if self.pressure > 1.0 {
            let busy = self.classes.iter().map(|c| c.busy).sum::<f64>();
            self.window = self.window.min(busy + threads);
            let least = self.most * if self.blind { LEAST_WINDOW } else { 1.0 };
            self.window = (self.window * (1.0 - SHRINK * (self.pressure - 1.0))).max(least);
        } else if self.ahead(sent.class) + 2.0 * threads > self.window {
            self.window += threads;
        }
        // Danger: a query from each of many gateways is too much. Where the window is less than one query,
        // its class rests after each until the mean is kept.
        let class = &mut self.classes[sent.class];
        let rest = class.run * (threads / self.window - 1.0).max(0.0);
        class.rest_until = class.rest_until.max(now + rest as Micros);
    }

    /// Worth of a usual query for its work.
    fn gain(&self, class: usize) -> f64 {
        self.cfg.classes[class].priority_weight / self.classes[class].work.max(1.0)
    }

    /// Own threads out of classes that give at least as much for a place.
    fn ahead(&self, class: usize) -> f64 {
        let least = self.gain(class);
        (0..self.classes.len()).filter(|c| self.gain(*c) >= least).map(|c| self.classes[c].busy).sum()
    }

    /// Threads that this gateway may run there now.
    fn places(&self, e: &Engine) -> f64 {
        if let Some(others) = e.others {
            // Danger: even parts leave a busy gateway short and, with many gateways, add up to too much.
            // Where engines tell what they hold, its part is what others leave, at least one query: that one
            // refreshes what was told, which in silence must not expire towards calm.
            return (self.full(e) - others).clamp(e.slice / MIN_QUERIES, GROWTH_MAX * e.slice);
        }
        e.bound
    }

    /// Threads of a usual query in flight.
    fn mix(&self) -> f64 {
        let (mut threads, mut n) = (1.0, 1.0);
        for (c, spec) in self.classes.iter().zip(&self.cfg.classes) {
            threads += c.seen * c.run * spec.threads;
            n += c.seen * c.run;
        }
        threads / n
    }

    // ---- dispatch -------------------------------------------------------------------------------

    /// Gives every free place to a class by draw. Work already late comes only after all other.
    fn dispatch(&mut self, out: &mut Vec<Action>) {
        for late in [false, true] {
            let mut open: Vec<usize> = (0..self.classes.len()).collect();
            loop {
                open.retain(|c| self.head(*c, late).is_some());
                if open.is_empty() {
                    break;
                }
                let class = self.draw(&open);
                let Some(id) = self.head(class, late) else { break };
                let r = &self.requests[&id];
                if (r.attempts > 0 && !self.may_try_again(r)) || self.ends_unknown(r) {
                    self.give_up(id, out);
                } else if let Some(engine) = self.choose(id) {
                    self.send(id, engine, out);
                } else if self.requests.get(&id).is_some_and(|r| self.holds_of(r).next().is_some()) {
                    // Danger: what is held and has no place now would keep its whole class behind it.
                    self.dequeue(id);
                    self.parked.insert(id);
                } else {
                    open.retain(|c| *c != class); // No engine open to its head: yields to the others.
                }
            }
        }
    }

    /// Danger: what must not run twice, sent with less than a usual run to go, ends as one that may have run
    /// and has to be looked up; refused while it is sure not to have run, it can be tried again.
    fn ends_unknown(&self, r: &Request) -> bool {
        let (left, s) = (r.valid_until.saturating_sub(self.now) as f64, &self.classes[r.class]);
        self.cfg.classes[r.class].idempotency == Idempotency::NotIdempotent && s.seen > 0.0 && left < s.run
    }

    fn head(&self, class: usize, late: bool) -> Option<RequestId> {
        self.classes[class].queue.range((late, 0, RequestId(0))..).next().filter(|r| r.0 == late).map(|r| r.2)
    }

    /// Draws among the open classes; odds from x: P_{j+1} = x_j · P_j.
    fn draw(&mut self, open: &[usize]) -> usize {
        let mut odds = vec![1.0; self.classes.len()];
        for j in 0..self.x.len() {
            odds[j + 1] = odds[j] * self.x[j];
        }
        let total: f64 = open.iter().map(|c| odds[*c]).sum();
        let mut r = (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64 * total;
        for c in open {
            r -= odds[*c];
            if r <= 0.0 {
                return *c;
            }
        }
        open[open.len() - 1]
    }

    /// The engine with a free place and the fewest own queries; untried ones first; ties by what engines
    /// showed, then by the seed.
    fn choose(&mut self, id: RequestId) -> Option<EngineId> {
        let (salt, r) = (self.rng.next_u64(), &self.requests[&id]);
        let open = self.engines.iter().filter(|(eid, e)| self.eligible(r, **eid, e));
        let best = open.min_by_key(|(eid, e)| {
            let own = if self.cold(e) { 0 } else { e.out.len() }; // It was opened, and its turn ends.
            (r.tried.contains(eid), own, self.seems(r, **eid, e), hash(salt, **eid))
        });
        best.map(|(eid, _)| *eid)
    }

    /// What an engine showed of its load, for ties of own counts: with many gateways most counts are none.
    /// In steps of an eighth, so that noise does not herd gateways. Each group has homes, alike at all
    /// gateways (rendezvous): its queries gather there, so that it stays warm, and loads, which hold it,
    /// keep away.
    fn seems(&self, r: &Request, eid: EngineId, e: &Engine) -> u64 {
        let holds = self.cfg.classes[r.class].locks_group;
        let away = |group| self.loads && hash(group, eid).is_multiple_of(HOME_PART) == holds;
        if self.cold(e) {
            return 0;
        }
        ((self.shown(e) + if r.group.is_some_and(away) { HOME_GAIN } else { 0.0 }) * 8.0) as u64
    }

    /// The load over which an engine is closed: two threads a core where a probe can tell that it has room
    /// again, otherwise no less than all engines show, or none would be open.
    fn bar(&self) -> f64 {
        if self.cfg.limits.health_checks && self.cfg.reports_in_flight { 1.0 } else { self.pressure.max(1.0) }
    }

    /// The load an engine showed, fading towards that of all.
    fn shown(&self, e: &Engine) -> f64 {
        let age = self.now.saturating_sub(e.load.1) as f64 / FADE as f64;
        let usual = self.pressure.min(self.bar());
        usual + (e.load.0 - usual) * (-age).exp()
    }

    /// The one sender.
    fn send(&mut self, id: RequestId, engine: EngineId, out: &mut Vec<Action>) {
        let (priority, send_by) = (self.priority(&self.requests[&id]), self.safe_until(&self.requests[&id]));
        self.dequeue(id);
        let (Some(r), Some(e)) = (self.requests.get_mut(&id), self.engines.get_mut(&engine)) else { return };
        let class = &mut self.classes[r.class];
        if r.attempts == 0 {
            class.waits.0 += (self.now - r.came) as f64;
            class.waits.1 += 1.0;
        } else {
            self.extras.push_back(self.now);
        }
        if e.out.is_empty() {
            e.heard = self.now; // An idle engine owes no answer.
        }
        self.probe_due += self.probe_part;
        if self.probe_due >= 1.0 {
            (self.next_probe, self.probe_due) = (0, self.probe_due - 1.0);
        }
        e.ejected = e.ejected.map(|_| self.now + EJECT_FOR);
        class.busy += self.cfg.classes[r.class].threads;
        e.recent.push_back((self.now, class.work));
        let (at, hop, class) = (self.now, r.attempts, r.class);
        e.out.push(Sent { request: id, hop, class, at, noted: at, paced: at, ..Sent::default() });
        for of in r.held() {
            self.holds.get_mut(&of).into_iter().for_each(|(_, out)| *out += 1);
        }
        r.out.push((r.attempts, engine));
        r.tried.push(engine);
        r.attempts += 1;
        if (self.cfg.limits.priorities && priority != 1) || r.grant > 0.0 {
            out.push(Action::SetOptions { request: id, priority, memory_grant_mb: r.grant });
        }
        out.push(Action::Send { request: id, engine, send_by: Some(send_by).filter(|by| *by < Micros::MAX) });
    }

    /// The class with the most worth for its work runs ahead inside engines too; late work runs behind.
    fn priority(&self, r: &Request) -> u8 {
        let best = (0..self.classes.len()).all(|c| self.gain(c) <= self.gain(r.class));
        let last = r.rank.is_some_and(|rank| rank.0) || self.holds_of(r).any(|(h, _)| h.low_priority);
        if last { 0 } else { 1 + 2 * u8::from(best) }
    }

    // ---- guards ---------------------------------------------------------------------------------

    /// The holds that a request is under, each with the attempts that are out of it.
    fn holds_of(&self, r: &Request) -> impl Iterator<Item = &(Hold, u32)> {
        r.held().filter_map(|of| self.holds.get(&of))
    }

    /// Puts back what was held, as many as there is room for, and of others no more than can be tried.
    fn unpark(&mut self, out: &mut Vec<Action>) {
        let mut room: BTreeMap<HoldTarget, u32> = self
            .holds
            .iter()
            .map(|(of, (h, n))| (*of, h.max_in_flight.saturating_sub(*n).min(PARKED_TRIES)))
            .collect();
        let mut free = Vec::new();
        for id in &self.parked {
            let Some(r) = self.requests.get(id) else { continue };
            if r.held().all(|of| room.get(&of).is_none_or(|n| *n > 0)) {
                r.held().for_each(|of| _ = room.get_mut(&of).map(|n| *n -= 1));
                free.push(*id);
            }
        }
        for id in free {
            self.parked.remove(&id);
            self.enqueue(id, out);
        }
    }

    /// Every send passes here: listed, not draining, placement, group, health, place, cold budget, holds.
    fn eligible(&self, r: &Request, eid: EngineId, e: &Engine) -> bool {
        let c = &self.cfg.classes[r.class];
        let within = |only: &Option<Vec<usize>>, is: Option<usize>| {
            only.as_ref().is_none_or(|set| is.is_some_and(|i| set.contains(&i)))
        };
        // Danger: a keyed request that may have run is safe only where its repeat is still recognised.
        let group = match (c.idempotency, r.may_have_run) {
            (Idempotency::WithKey { scope: DeduplicationScope::Zone, .. }, Some((zone, ..))) => {
                e.entry.zone == zone
            }
            (Idempotency::WithKey { scope: DeduplicationScope::Cell, .. }, Some((_, cell, _))) => {
                e.entry.cell == cell
            }
            _ => true,
        };
        let healthy =
            e.ejected.is_none_or(|until| until <= self.now && c.idempotency == Idempotency::Idempotent);
        e.entry.readiness == Readiness::Up
            && within(&c.zones, e.entry.zone)
            && within(&c.kinds, e.entry.kind)
            && group
            && healthy
            && self.own(e) + c.threads <= self.places(e)
            && (!self.crowded || self.in_window(r))
            && (!self.crowded || self.shown(e) <= self.bar() + JAM_ROOM)
            && !r.out.iter().any(|(_, busy)| *busy == eid)
            && self.cold_room(r.class, eid, e)
            && self.holds_of(r).all(|(h, out)| *out < h.max_in_flight && !h.excluded_engines.contains(&eid))
    }

    /// One query at least, but after its rest; late work fills only half of the window.
    fn in_window(&self, r: &Request) -> bool {
        let (ahead, late) = (self.ahead(r.class), r.rank.is_some_and(|rank| rank.0));
        let room = if late { 0.5 } else { 1.0 } * self.window;
        let fits = (ahead == 0.0 && !late) || ahead + self.cfg.classes[r.class].threads <= room;
        fits && self.now >= self.classes[r.class].rest_until
    }

    fn cold(&self, e: &Engine) -> bool {
        e.entry.ready_at > 0 && self.now < e.entry.ready_at.saturating_add(self.cfg.rules.slow_start_window)
    }

    /// Danger: all gateways together can kill a cold engine. Each keeps to its even part of what the engine
    /// is sure to bear from its start on, in every window, until it is surely warm. Where that is less than
    /// the heaviest usual query, gateways take turns by their index, a window each and other ones at each
    /// engine, and have the part of all that do not: or that class would wait for warm engines.
    fn cold_room(&self, class: usize, eid: EngineId, e: &Engine) -> bool {
        if !self.cold(e) {
            return true;
        }
        let (rules, gateways) = (&self.cfg.rules, f64::from(self.cfg.gateways));
        let present = rules.start_capacity * self.cores(e.entry.kind);
        let bears = rules.overload_factor * present * rules.overload_window as f64;
        let since = self.now.saturating_sub(rules.overload_window);
        let sent: f64 = e.recent.iter().filter(|s| s.0 >= since).map(|s| s.1).sum();
        let part = COLD_SAFE * bears / gateways;
        let heaviest = self.classes.iter().map(|c| c.work).fold(0.0, f64::max);
        let turns = (heaviest / part).ceil().clamp(1.0, gateways);
        let window = (self.now.saturating_sub(e.entry.ready_at) / rules.overload_window.max(1))
            .wrapping_add(self.cfg.index.into())
            .wrapping_add(hash(0, eid));
        window.is_multiple_of(turns as u64) && sent + self.classes[class].work <= turns * part
    }

    /// Until when sending it again can do nothing twice.
    fn safe_until(&self, r: &Request) -> Micros {
        match (self.cfg.classes[r.class].idempotency, r.may_have_run) {
            (Idempotency::Idempotent, _) | (_, None) => Micros::MAX,
            (Idempotency::WithKey { window, .. }, Some((.., at))) => at.saturating_add(window),
            (Idempotency::NotIdempotent, Some(_)) => 0,
        }
    }

    /// Whether a request that was sent before may be sent again: effect, attempts, budget.
    fn may_try_again(&self, r: &Request) -> bool {
        let harmless = self.now < self.safe_until(r);
        let budget = self.cfg.rules.retry_budget.is_none_or(|b| {
            // Both counts over the same window; strictly inside it for ours, or a tick could break the rule.
            let since = self.now.saturating_sub(b.window);
            let taken = self.taken.iter().rev().take_while(|t| **t > since).count() as f64;
            let extra = self.extras.iter().rev().take_while(|t| **t >= since).count() as f64;
            extra + 1.0 <= b.min_retries + b.ratio * taken
        });
        let room = r.out.is_empty() || self.cfg.limits.hedged_requests;
        harmless && budget && room && r.attempts < self.cfg.limits.max_attempts
    }

    /// Health of an engine from the end of an attempt. A passed deadline alone is no fault of the engine.
    fn judge(&mut self, o: &Outcome) {
        // Danger: a request that every engine answers with an error would have them all ejected, one by one.
        let r = self.requests.get_mut(&o.request).filter(|_| o.status == AttemptStatus::ErrorResponse);
        if let Some(r) = r {
            r.rejected |= r.blamed.iter().any(|other| *other != o.engine);
            if r.rejected {
                for other in std::mem::take(&mut r.blamed) {
                    let Some(e) = self.engines.get_mut(&other) else { continue };
                    e.failing = ((e.failing - FAIL_WEIGHT) / (1.0 - FAIL_WEIGHT)).max(0.0);
                    e.ejected = e.ejected.filter(|_| e.failing >= FAIL_EJECT);
                }
                return;
            }
            r.blamed.push(o.engine);
        }
        let Some(e) = self.engines.get_mut(&o.engine) else { return };
        match o.status {
            AttemptStatus::Succeeded => {
                e.heard = self.now;
                e.failing *= 1.0 - FAIL_WEIGHT;
                e.ejected = e.ejected.filter(|_| e.failing >= FAIL_EJECT);
            }
            AttemptStatus::Rejected => {
                // Danger: a full engine ends attempts at once, has fewest own queries and draws all others.
                e.heard = self.now;
                // One query may ask again: nothing else may be open.
                let own: f64 = e.out.iter().map(|s| self.cfg.classes[s.class].threads).sum();
                e.bound = own.max(self.most);
            }
            AttemptStatus::ErrorResponse | AttemptStatus::ConnectionReset | AttemptStatus::ConnectFailed => {
                e.failing += (1.0 - e.failing) * FAIL_WEIGHT;
                if e.failing >= FAIL_EJECT {
                    self.eject(o.engine);
                }
            }
            AttemptStatus::TimedOut | AttemptStatus::Cancelled | AttemptStatus::NotSent => {}
        }
    }

    /// Outlier ejection with a limit: a fault of most engines is shared, and ejecting would not help.
    fn eject(&mut self, id: EngineId) {
        let listed = self.engines.values().filter(|e| e.entry.readiness == Readiness::Up).count() as f64;
        let others = self.engines.iter().filter(|(i, e)| **i != id && e.ejected.is_some()).count();
        if let Some(e) = self.engines.get_mut(&id)
            && others as f64 + 1.0 <= (EJECT_PART * listed).max(1.0)
        {
            e.ejected = Some(self.now + EJECT_FOR);
        }
    }

    /// Probes one random engine for each send and, while requests wait, now and then: only so can a gateway
    /// that holds all engines for full learn better.
    fn probe(&mut self, out: &mut Vec<Action>) {
        let waiting = self.next_probe == 0 || self.classes.iter().any(|c| !c.queue.is_empty());
        if self.cfg.limits.health_checks && self.cfg.load_reports && waiting && self.now >= self.next_probe {
            let pause = (PROBE_EVERY as f64 / self.probe_part) as Micros;
            self.next_probe = self.now.saturating_add(pause);
            let salt = self.rng.next_u64();
            let up = self.engines.iter().filter(|(_, e)| e.entry.readiness == Readiness::Up);
            out.extend(up.map(|(id, _)| *id).min_by_key(|id| hash(salt, *id)).map(Action::HealthCheck));
        }
    }

    /// Danger: a bad plan, drawn for each attempt, holds threads and memory for many runs: it is withdrawn
    /// and tried again, once. Slow again, it is slow by itself: it is given up past the client's patience, or
    /// under pressure, where its place serves several others.
    fn on_note(&mut self, id: RequestId, hop: u32, eid: EngineId, told: Progress, out: &mut Vec<Action>) {
        let (now, limits) = (self.now, &self.cfg.limits);
        let Some(e) = self.engines.get_mut(&eid) else { return };
        let Some(sent) = e.out.iter_mut().find(|s| s.request == id && s.hop == hop) else { return };
        (sent.noted, e.heard) = (now, now);
        let Some(r) = self.requests.get_mut(&id) else { return };
        let (class, pure) =
            (&mut self.classes[r.class], self.cfg.classes[r.class].idempotency == Idempotency::Idempotent);
        let settled = !limits.cancel || sent.withdrawn || r.done;
        let again = pure && !settled && r.attempts < limits.max_attempts;
        if let Progress::Spilling(lacks) = told {
            // Danger: estimates are off, and what lacks memory does its work several times over. At its start
            // little is lost: it is withdrawn, once, and granted what it lacked.
            class.spare += if sent.spills || r.fed { 0.0 } else { SPARE_MORE };
            sent.spills = true;
            let could = r.grant > 0.0 && r.grant < self.cfg.max_grant_mb && (0.0..ABSURD).contains(&lacks);
            if again && could && !r.fed && now - sent.at < EARLY {
                (r.fed, r.grant) = (true, (r.grant + lacks).min(self.cfg.max_grant_mb));
                withdraw(sent, out);
            }
        }
        let (Progress::Completed(done @ 0.0..=1.0), false) = (told, settled) else { return };
        let (ran, run) = ((now - sent.paced) as f64, class.run);
        let (left, patience) = (ran / done.max(LEAST_DONE) - ran, r.valid_until.saturating_sub(now) as f64);
        if again && !r.slow && run < patience && left > REDO_TIMES * run {
            r.slow = true;
            withdraw(sent, out);
        } else if done == 0.0 {
            sent.paced = now; // It stands still, for memory or behind a load: not slow by itself.
        } else if left > patience || (r.slow && self.pressure > 1.0 && left > REDO_TIMES * run) {
            self.give_up(id, out);
        }
    }

    /// Clears old counts, wakes rested keys, ends what is out of time, marks late work, finds silence.
    fn housekeep(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        let span = self.cfg.rules.retry_budget.map_or(0, |b| b.window);
        for times in [&mut self.taken, &mut self.extras] {
            while times.front().is_some_and(|t| t.saturating_add(span) < now) {
                times.pop_front();
            }
        }
        self.turns.retain(|_, t| !t.line.is_empty() || t.rest_until > now);
        let rested = self.turns.values().filter(|t| t.rest_until <= now);
        let rested: Vec<RequestId> = rested.filter_map(|t| t.line.front().copied()).collect();
        for id in rested {
            self.enqueue(id, out);
        }
        while let Some(&(at, id)) = self.ends.first().filter(|(at, _)| *at <= now + END_MARGIN) {
            self.ends.remove(&(at, id));
            if self.requests.get(&id).is_some_and(|r| r.out.is_empty()) {
                self.give_up(id, out);
            }
        }
        let overdue =
            |c: &ClassState| c.queue.iter().take_while(|r| !r.0 && r.1 < now).map(|r| r.2).collect();
        let overdue: Vec<Vec<RequestId>> = self.classes.iter().map(overdue).collect();
        for id in overdue.into_iter().flatten() {
            self.dequeue(id);
            self.enqueue(id, out);
        }
        // Danger: each open request takes a place of its clients; with none left, new ones are not sent.
        while let Some(id) = self.latest().filter(|_| self.short_of_room()) {
            self.give_up(id, out);
        }
        self.unpark(out);
        let fall = self.cfg.rules.overload_window;
        let gone = Some((self.cfg.progress_interval as f64 * GONE_TIMES) as Micros);
        let gone = gone.filter(|after| *after > 0 && self.cfg.limits.cancel);
        let mut silent = Vec::new();
        for (id, e) in &mut self.engines {
            while e.recent.front().is_some_and(|s| s.0.saturating_add(fall) < now) {
                e.recent.pop_front();
            }
            // Danger: a lost answer, or an engine that died unseen, holds the client until it leaves. Where
            // notes come, an attempt without any is gone: its request may be tried again.
            for s in e.out.iter_mut().filter(|s| gone.is_some_and(|after| now - s.noted > after)) {
                withdraw(s, out);
            }
            let overdue = |s: &Sent| (now - s.at) as f64 > SILENT_TIMES * self.classes[s.class].run;
            if e.ejected.is_none() && now - e.heard > SILENT_FOR && e.out.iter().any(overdue) {
                silent.push(*id);
            }
        }
        for id in silent {
            self.eject(id);
        }
        if self.next_ask.is_some_and(|at| at <= now) {
            self.next_ask = None;
            out.push(Action::Subscribe);
        }
    }

    // ---- endings --------------------------------------------------------------------------------

    /// Puts a request into its class queue, or answers it where waiting is no use.
    fn enqueue(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id) else { return };
        if r.done || r.rank.is_some() || !r.out.is_empty() {
            return;
        }
        let (c, s) = (&self.cfg.classes[r.class], &self.classes[r.class]);
        // The latest start that meets the aim, when it runs as queries of its class run now.
        let slow = (s.run * c.threads / s.work).max(1.0);
        // A mean run is kept in hand: half the queries run longer.
        let slack = c.latency_objective as f64 + (c.objective_stretch - slow) * s.work / c.threads - s.run;
        let start_by = r.born.saturating_add(slack.max(c.latency_objective as f64 * LEAST_WAIT) as Micros);
        let late = start_by < self.now;
        let no_time = self.now + END_MARGIN >= r.valid_until;
        let unwanted = late && (c.late_weight_ratio < LATE_KEEP || self.short_of_room());
        if no_time || unwanted || (r.attempts > 0 && !self.may_try_again(r)) {
            return self.give_up(id, out);
        }
        let rank = (late, start_by, id);
        self.classes[r.class].queue.insert(rank);
        if let Some(r) = self.requests.get_mut(&id) {
            r.rank = Some(rank);
        }
    }

    /// Whether the requests that clients can have open run out.
    fn short_of_room(&self) -> bool {
        let most = self.cfg.limits.max_open_requests;
        most > 0 && self.ends.len() as f64 > ROOM_PART * most as f64
    }

    /// The queued request that has been late for longest.
    fn latest(&self) -> Option<RequestId> {
        let late = (0..self.classes.len()).filter_map(|c| self.head(c, true));
        late.min_by_key(|id| (self.requests[id].born, *id))
    }

    fn dequeue(&mut self, id: RequestId) {
        self.parked.remove(&id);
        if let Some(r) = self.requests.get_mut(&id)
            && let Some(rank) = r.rank.take()
        {
            self.classes[r.class].queue.remove(&rank);
        }
    }

    /// Answers at once: refused where trying again is harmless, failed where that can't be told.
    fn give_up(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id) else { return };
        let never_ran = r.may_have_run.is_none() && r.out.is_empty();
        let harmless = match self.cfg.classes[r.class].idempotency {
            Idempotency::Idempotent | Idempotency::WithKey { scope: DeduplicationScope::All, .. } => true,
            Idempotency::WithKey { .. } | Idempotency::NotIdempotent => never_ran,
        };
        let limits = &self.cfg.limits;
        let hold_off = limits.retry_after.then_some(limits.max_retry_after);
        let answer =
            if harmless { Action::Reject { request: id, retry_after: hold_off } } else { Action::Fail(id) };
        self.end(id, Some(answer), out);
    }

    /// The one ending: answers if an answer is still owed, and passes the turn on.
    fn end(&mut self, id: RequestId, answer: Option<Action>, out: &mut Vec<Action>) {
        self.dequeue(id);
        let Some(r) = self.requests.get_mut(&id) else { return };
        if !r.done {
            r.done = true;
            out.extend(answer);
            self.ends.remove(&(r.valid_until, id));
            if r.attempts == 0 {
                let waits = &mut self.classes[r.class].waits;
                waits.0 += (self.now - r.came) as f64;
                waits.1 += 1.0;
            }
        }
        if !r.out.is_empty() {
            // Its attempts still hold places, and its key, until engines stop them.
            let sent = self.engines.values_mut().flat_map(|e| &mut e.out);
            sent.filter(|s| self.cfg.limits.cancel && s.request == id).for_each(|s| withdraw(s, out));
            return;
        }
        let key = self.requests.remove(&id).and_then(|r| r.key);
        if let Some(turn) = key.and_then(|k| self.turns.get_mut(&k)) {
            turn.line.retain(|other| *other != id); // The next one starts at housekeeping, after the rest.
        }
    }
}

/// Withdraws an attempt, once; it keeps its place until its outcome.
fn withdraw(sent: &mut Sent, out: &mut Vec<Action>) {
    let cancel = Action::Cancel { request: sent.request, attempt: sent.hop };
    out.extend((!std::mem::replace(&mut sent.withdrawn, true)).then_some(cancel));
}

/// A number for a pair that is alike at all gateways.
fn hash(group: u64, engine: EngineId) -> u64 {
    Pcg64Mcg::seed_from_u64(group << 32 ^ u64::from(engine.0)).next_u64()
}

impl Engine {
    fn new(entry: &EndpointEntry, slice: f64, now: Micros) -> Self {
        Engine { entry: entry.clone(), slice, bound: slice, heard: now, ..Engine::default() }
    }
}

/// Settings that leave the mechanism without meaning are an error, not a guess.
fn check(cfg: &Settings) -> Result<(), SettingsError> {
    let sane = |v: f64| v.is_finite() && v >= 0.0;
    let figures = |c: &Class| {
        [c.objective_stretch, c.late_weight_ratio, c.priority_weight, c.threads].into_iter().all(sane)
    };
    let rules = [cfg.rules.start_capacity, cfg.rules.overload_factor, cfg.health_check_cost];
    let problem = if cfg.classes.is_empty() || cfg.gateways == 0 {
        "no classes or no gateways"
    } else if cfg.classes.iter().any(|c| c.latency_objective == 0 || c.deadline == 0 || c.threads == 0.0) {
        "a class without aim, deadline or threads"
    } else if !cfg.classes.iter().all(figures) || !cfg.cores.iter().copied().chain(rules).all(sane) {
        "a negative or endless figure"
    } else {
        return Ok(());
    };
    Err(SettingsError(problem))
}
