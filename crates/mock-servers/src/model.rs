//! Owns what an engine does with the work that it is sent: cores, disks and memory shared by all that it holds,
//! loss past a point, a cold start, falling over. No I/O, no clock: time is fed in µs.
//!
//! Between two events every rate is constant, save for a cold engine's, which is followed in short steps.

use std::collections::{BTreeMap, VecDeque};

/// What an engine is.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Cores.
    pub cores: f64,
    /// Speed of a core; 1 is the yardstick.
    pub speed: f64,
    /// Statements that can read or write at once without slowing each other.
    pub disks: f64,
    /// Memory, in MB.
    pub memory: f64,
    /// Threads a core from which total work falls.
    pub thrash_at: f64,
    /// Statements a core that it takes; more are turned away.
    pub most_per_core: f64,
    /// Part of its speed just after a start, and the time until it is warm.
    pub cold_from: f64,
    /// µs.
    pub cold_for: u64,
    /// Sent more than this multiple of what it can do now...
    pub fall_multiple: f64,
    /// ...for this long (µs), it falls over; only while cold.
    pub fall_for: u64,
    /// Times its work that a statement does more when it has none of the memory that it needs.
    pub spill: f64,
    /// Data sets that it keeps warm; reading another does its disk part twice.
    pub warm_sets: usize,
    /// Ending a statement stops its work.
    pub cancels: bool,
}

impl Default for Spec {
    fn default() -> Self {
        Spec {
            cores: 8.0,
            speed: 1.0,
            disks: 12.0,
            memory: 4096.0,
            thrash_at: 3.1,
            most_per_core: 8.0,
            cold_from: 0.35,
            cold_for: 10_000_000,
            fall_multiple: 3.0,
            fall_for: 2_000_000,
            spill: 2.0,
            warm_sets: 64,
            cancels: false,
        }
    }
}

/// A statement as the engine sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Work of all threads, in µs of a yardstick core.
    pub work: f64,
    /// Threads.
    pub threads: f64,
    /// Part of the work that reads or writes.
    pub io: f64,
    /// Memory that it needs, in MB.
    pub memory: f64,
    /// Memory granted, in MB; `None`: what it needs.
    pub grant: Option<f64>,
    /// The data set that it reads or writes.
    pub set: Option<u64>,
    /// A load: others of its set stand still until it ends.
    pub holds: bool,
    /// From this share of its work on, it needs this set too, and stands still while another load has it.
    pub then: Option<(f64, u64)>,
    /// 0 to 3.
    pub priority: u8,
}

/// What became of a job that came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It runs, or waits inside.
    Taken,
    /// Turned away unseen.
    Full,
    /// The engine fell over by it: everything that it held is lost.
    Fell,
}

#[derive(Debug)]
struct Held {
    job: Job,
    came: u64,
    left: f64,
    /// Work in all, with what it does twice.
    whole: f64,
    granted: Option<f64>,
    paused: bool,
    /// Time for which it moved, in µs.
    ran: u64,
}

impl Held {
    /// Work that is left when it needs its second set; none before it has one, or after.
    fn left_at_then(&self) -> Option<f64> {
        self.job
            .then
            .map(|(share, _)| self.job.work * (1.0 - share))
    }

    /// The sets that it has, if it is a load.
    fn has(&self, set: u64) -> bool {
        let second = self
            .job
            .then
            .is_some_and(|(_, s)| s == set && self.granted.is_some())
            && self.left_at_then().is_some_and(|at| self.left < at);
        self.job.holds && (self.job.set == Some(set) || second)
    }
}

/// How far a statement has come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Course {
    /// Share of its work that is done.
    pub done: f64,
    /// Work that it has done, in µs; what it does more for want of memory included.
    pub worked: f64,
    /// Time for which it has run, standing still left out, in µs.
    pub ran: u64,
    /// Memory that it has, in MB.
    pub memory: f64,
    /// It does more work for want of memory.
    pub spills: bool,
    /// Why it stands still.
    pub stands: Option<Stands>,
}

/// Why a statement stands still.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stands {
    /// It waits for memory.
    Memory,
    /// Behind this one.
    Behind(u64),
    /// It was paused.
    Paused,
}

/// The load of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Statements that it holds.
    pub in_flight: usize,
    /// Share of its cores that is busy.
    pub cpu: f64,
    /// Share of its memory that is granted.
    pub memory: f64,
}

/// One engine.
#[derive(Debug)]
pub struct Model {
    spec: Spec,
    now: u64,
    started: u64,
    held: BTreeMap<u64, Held>,
    warm: VecDeque<u64>,
    /// Work sent within the last `fall_for`, while cold.
    sent: VecDeque<(u64, f64)>,
    fallen: bool,
}

/// Longest step in which a cold engine's speed counts as constant, in µs.
const STEP: u64 = 50_000;

impl Model {
    /// An engine that starts now; a warm one is as if it had started long ago.
    pub fn new(spec: Spec, now: u64, cold: bool) -> Model {
        // Long enough ago for any router to count it as warm.
        let started = if cold {
            now
        } else {
            now.saturating_sub(100 * spec.cold_for)
        };
        let (held, warm, sent) = Default::default();
        Model {
            spec,
            now,
            started,
            held,
            warm,
            sent,
            fallen: false,
        }
    }

    /// Changes the speed of its cores from now on.
    pub fn set_speed(&mut self, speed: f64) {
        self.spec.speed = speed.max(1e-9);
    }

    /// How long it has run, in µs.
    pub fn uptime(&self, now: u64) -> u64 {
        now.saturating_sub(self.started)
    }

    /// Whether it fell over.
    pub fn has_fallen(&self) -> bool {
        self.fallen
    }

    /// Part of its speed that it has now.
    fn warmth(&self) -> f64 {
        let age = (self.now - self.started) as f64 / self.spec.cold_for.max(1) as f64;
        (self.spec.cold_from + (1.0 - self.spec.cold_from) * age).min(1.0)
    }

    fn is_cold(&self) -> bool {
        self.now < self.started + self.spec.cold_for
    }

    /// A statement comes.
    pub fn admit(&mut self, now: u64, id: u64, job: Job) -> Admission {
        debug_assert!(now >= self.now);
        self.now = self.now.max(now);
        if self.fallen || self.held.len() as f64 >= self.spec.cores * self.spec.most_per_core {
            return Admission::Full;
        }
        if self.is_cold() {
            let since = now.saturating_sub(self.spec.fall_for);
            self.sent.retain(|(at, _)| *at > since);
            self.sent.push_back((now, job.work));
            let sent: f64 = self.sent.iter().map(|s| s.1).sum();
            let can = self.spec.cores * self.spec.speed * self.warmth() * self.spec.fall_for as f64;
            if sent > self.spec.fall_multiple * can {
                (self.fallen, self.held) = (true, BTreeMap::new());
                return Admission::Fell;
            }
        }
        let mut left = job.work;
        if let Some(set) = job.set {
            match self.warm.iter().position(|s| *s == set) {
                Some(at) => {
                    self.warm.remove(at);
                }
                None => left += job.work * job.io,
            }
            self.warm.push_back(set);
            while self.warm.len() > self.spec.warm_sets {
                self.warm.pop_front();
            }
        }
        self.held.insert(
            id,
            Held {
                job,
                came: now,
                left,
                whole: left,
                granted: None,
                paused: false,
                ran: 0,
            },
        );
        self.grant();
        Admission::Taken
    }

    /// Grants memory in the line's order: by priority, then in turn. What gets less than it needs spills.
    fn grant(&mut self) {
        let mut free = self.spec.memory - self.held.values().filter_map(|h| h.granted).sum::<f64>();
        let mut line: Vec<(u8, u64, u64)> = self
            .held
            .iter()
            .filter(|(_, h)| h.granted.is_none())
            .map(|(id, h)| (3 - h.job.priority.min(3), h.came, *id))
            .collect();
        line.sort_unstable();
        let alone = self.held.len() == 1;
        for (_, _, id) in line {
            let Some(h) = self.held.get_mut(&id) else {
                continue;
            };
            let wanted = h.job.grant.unwrap_or(h.job.memory).min(self.spec.memory);
            if wanted > free && !alone {
                break;
            }
            free -= wanted;
            h.granted = Some(wanted);
            if wanted < h.job.memory {
                h.left *= 1.0 + self.spec.spill * (1.0 - wanted / h.job.memory);
                h.whole = h.left;
            }
        }
    }

    /// Why a statement stands still: no memory yet, another that loads its set came before it, or has the set
    /// that it needs next.
    fn why_stands(&self, id: u64, h: &Held) -> Option<Stands> {
        if h.paused {
            return Some(Stands::Paused);
        }
        if h.granted.is_none() {
            return Some(Stands::Memory);
        }
        let others = || self.held.iter().filter(|(other, _)| **other != id);
        let before =
            |set: u64| others().find(|(other, o)| o.has(set) && (o.came, **other) < (h.came, id));
        let second = h
            .job
            .then
            .filter(|_| h.left_at_then().is_some_and(|at| h.left <= at + 1e-6));
        let has = |(_, set): (f64, u64)| others().find(|(_, o)| o.has(set));
        h.job
            .set
            .and_then(before)
            .or_else(|| second.and_then(has))
            .map(|(other, _)| Stands::Behind(*other))
    }

    fn stands(&self, id: u64, h: &Held) -> bool {
        self.why_stands(id, h).is_some()
    }

    /// Work per µs of each statement that moves.
    fn rates(&self) -> Vec<(u64, f64)> {
        let moving: Vec<(u64, &Held)> = self
            .held
            .iter()
            .filter(|(id, h)| !self.stands(**id, h))
            .map(|(id, h)| (*id, h))
            .collect();
        let threads: f64 = moving.iter().map(|(_, h)| h.job.threads).sum();
        let reading: f64 = moving.iter().map(|(_, h)| h.job.threads * h.job.io).sum();
        let per_core = threads / self.spec.cores;
        // Past the point, what all do together falls as its inverse.
        let loss = (self.spec.thrash_at / per_core.max(f64::MIN_POSITIVE)).min(1.0);
        let weight =
            |h: &Held| h.job.threads * [1.0, 4.0, 8.0, 16.0][usize::from(h.job.priority.min(3))];
        let weights: f64 = moving.iter().map(|(_, h)| weight(h)).sum();
        let cores = self.spec.cores * self.spec.speed * self.warmth() * loss;
        let disk = (self.spec.disks / reading.max(f64::MIN_POSITIVE)).min(1.0);
        moving
            .iter()
            .map(|(id, h)| {
                let most = h.job.threads * self.spec.speed * self.warmth();
                let share = if threads <= self.spec.cores {
                    most
                } else {
                    cores * weight(h) / weights
                };
                let cpu = share.min(most);
                // The reading part is slowed by the disks, the other by the cores.
                (*id, cpu / ((1.0 - h.job.io) + h.job.io / disk))
            })
            .collect()
    }

    /// Moves on to `now`; the statements that ended, in the order of their ends.
    pub fn advance(&mut self, now: u64) -> Vec<u64> {
        let mut ended = Vec::new();
        while self.now < now && !self.fallen {
            let rates = self.rates();
            let mut step = now - self.now;
            if self.is_cold() {
                step = step.min(STEP);
            }
            for (id, rate) in &rates {
                let h = &self.held[id];
                let next = h
                    .left_at_then()
                    .filter(|at| h.left > *at + 1e-6)
                    .map_or(h.left, |at| h.left - at);
                let left = next / rate.max(1e-9);
                step = step.min((left.ceil() as u64).max(1));
            }
            for (id, rate) in &rates {
                if let Some(h) = self.held.get_mut(id) {
                    h.left -= rate * step as f64;
                    h.ran += step;
                }
            }
            self.now += step;
            let over: Vec<u64> = self
                .held
                .iter()
                .filter(|(_, h)| h.left <= 1e-6)
                .map(|(id, _)| *id)
                .collect();
            for id in over {
                self.held.remove(&id);
                ended.push(id);
            }
            self.grant();
        }
        self.now = self.now.max(now);
        ended
    }

    /// When to look again: the next end at present rates, or a step of a cold engine.
    pub fn next(&self) -> Option<u64> {
        let ends = self.rates().into_iter().map(|(id, rate)| {
            let h = &self.held[&id];
            let next = h
                .left_at_then()
                .filter(|at| h.left > *at + 1e-6)
                .map_or(h.left, |at| h.left - at);
            (next / rate.max(1e-9)).ceil()
        });
        let next = ends.fold(f64::INFINITY, f64::min);
        let next = next.is_finite().then(|| {
            self.now
                .saturating_add(next.min(1e15) as u64)
                .max(self.now + 1)
        })?;
        Some(if self.is_cold() {
            next.min(self.now + STEP)
        } else {
            next
        })
    }

    /// Ends a statement where that stops its work.
    pub fn cancel(&mut self, now: u64, id: u64) -> bool {
        self.advance(now);
        let stopped = self.spec.cancels && self.held.remove(&id).is_some();
        self.grant();
        stopped
    }

    /// Ends a statement whatever engines do with cancels; what it has done is undone.
    pub fn kill(&mut self, now: u64, id: u64) -> bool {
        self.advance(now);
        let stopped = self.held.remove(&id).is_some();
        self.grant();
        stopped
    }

    /// Lets a statement stand still, or go on. It keeps its memory and what it holds.
    pub fn pause(&mut self, now: u64, id: u64, paused: bool) -> bool {
        self.advance(now);
        self.held.get_mut(&id).map(|h| h.paused = paused).is_some()
    }

    /// How far a statement has come.
    pub fn course(&self, id: u64) -> Option<Course> {
        let h = self.held.get(&id)?;
        let whole = h.whole.max(1.0);
        Some(Course {
            done: (1.0 - h.left / whole).clamp(0.0, 1.0),
            worked: (whole - h.left).max(0.0),
            ran: h.ran,
            memory: h.granted.unwrap_or(0.0),
            spills: h.granted.is_some_and(|g| g < h.job.memory),
            stands: self.why_stands(id, h),
        })
    }

    /// Its load.
    pub fn load(&self) -> Load {
        let threads: f64 = self
            .held
            .iter()
            .filter(|(id, h)| !self.stands(**id, h))
            .map(|(_, h)| h.job.threads)
            .sum();
        let granted: f64 = self.held.values().filter_map(|h| h.granted).sum();
        Load {
            in_flight: self.held.len(),
            cpu: (threads / self.spec.cores).min(1.0),
            memory: granted / self.spec.memory,
        }
    }
}

#[cfg(test)]
mod tests;
