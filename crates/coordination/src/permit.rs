//! Owns times on both sides of a permit. A router counts from when it *asked*, and takes off what its clock may run
//! slow; a keeper counts from when it *learned*, and adds what its clock may run fast. So the router's end comes first,
//! however long the answer was on its way.

use std::collections::BTreeMap;

use crate::fleet::{Fleet, Holder};
use crate::lease::Part;
use crate::plant::{self, Plant};

/// Whole microseconds on a clock that goes on while the machine or the process is stopped.
pub type Micros = u64;

/// How long permits last, and how far clocks may be wrong. The same for all keepers and routers of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Bounds {
    /// How long a permit lasts.
    pub term: Micros,
    /// How far the rates of two clocks may differ, in millionths.
    pub drift: u64,
}

impl Bounds {
    /// The term as a router counts it: over before any clock within the bound says that the term is over.
    pub fn router_term(&self) -> Micros {
        self.term.saturating_sub(self.slack())
    }

    /// The term as a keeper counts it.
    pub fn keeper_term(&self) -> Micros {
        self.term.saturating_add(self.slack())
    }

    /// The rates of both clocks may differ from true time in opposite directions.
    fn slack(&self) -> Micros {
        (u128::from(self.term) * u128::from(self.drift)).div_ceil(1_000_000) as Micros
    }
}

/// A router's right to act, until a moment of its own clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Permit {
    until: Micros,
}

impl Permit {
    /// Was asked for at that moment, and granted. An answer that comes late is not worth more.
    pub fn asked_at(&mut self, asked: Micros, bounds: &Bounds) {
        self.until = self.until.max(asked.saturating_add(bounds.router_term()));
    }

    /// Whether it is alive at a moment.
    pub fn is_alive(&self, now: Micros) -> bool {
        now < self.until || (self.until > 0 && plant::is(Plant::NeverEnds))
    }

    /// When it ends.
    pub fn until(&self) -> Micros {
        self.until
    }
}

/// A keeper's times: when it learned of each permit's and each lease's last prolonging. A keeper that starts learns of all
/// at once, so it counts a whole term for each, whatever was left.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Terms {
    permits: Learned<Holder>,
    leases: Learned<Part>,
}

/// By what was prolonged: the count of its last prolonging, and when that was learned.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Learned<K>(BTreeMap<K, (u64, Micros)>);

impl<K> Default for Learned<K> {
    fn default() -> Self {
        Learned(BTreeMap::new())
    }
}

impl<K: Ord + Clone> Learned<K> {
    fn learn(&mut self, now: Micros, all: impl Iterator<Item = (K, u64)>) {
        let mut known = std::mem::take(&mut self.0);
        for (key, serial) in all {
            let at = known
                .remove(&key)
                .filter(|(s, _)| *s == serial)
                .map_or(now, |(_, at)| at);
            self.0.insert(key, (serial, at));
        }
    }

    fn lapsed(&self, now: Micros, bounds: &Bounds) -> Vec<(K, u64)> {
        let over = |at: Micros| now.saturating_sub(at) > bounds.keeper_term();
        self.0
            .iter()
            .filter(|(_, (_, at))| over(*at))
            .map(|(k, (serial, _))| (k.clone(), *serial))
            .collect()
    }

    fn left(&self, now: Micros, key: &K, bounds: &Bounds) -> Option<Micros> {
        let (_, at) = self.0.get(key)?;
        Some(at.saturating_add(bounds.keeper_term()).saturating_sub(now))
    }
}

impl Terms {
    /// Of a keeper that starts, with what its log tells: it knows of no time before.
    pub fn begin(now: Micros, fleet: &Fleet) -> Terms {
        let mut terms = Terms::default();
        terms.learn(if plant::is(Plant::NoTerm) { 0 } else { now }, fleet);
        terms
    }

    /// Takes up what the log has brought.
    pub fn learn(&mut self, now: Micros, fleet: &Fleet) {
        self.permits.learn(
            now,
            fleet
                .holders()
                .map(|(holder, held)| (holder.clone(), held.serial)),
        );
        self.leases.learn(now, fleet.leases().held());
    }

    /// Permits that have run out by this clock, each with the count of its last prolonging.
    pub fn lapsed(&self, now: Micros, bounds: &Bounds) -> Vec<(Holder, u64)> {
        self.permits.lapsed(now, bounds)
    }

    /// Leases that have run out by this clock, each with the count of its last prolonging.
    pub fn lapsed_leases(&self, now: Micros, bounds: &Bounds) -> Vec<(Part, u64)> {
        self.leases.lapsed(now, bounds)
    }

    /// Time until a permit has run out by this clock.
    pub fn left(&self, now: Micros, holder: &Holder, bounds: &Bounds) -> Option<Micros> {
        self.permits.left(now, holder, bounds)
    }

    /// Time until a lease has run out by this clock.
    pub fn left_of_lease(&self, now: Micros, part: &Part, bounds: &Bounds) -> Option<Micros> {
        self.leases.left(now, part, bounds)
    }
}
