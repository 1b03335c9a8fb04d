//! Owns what is usual: for a kind, for a class while a kind is new, for a size that a statement announces.
//!
//! A kind's own runs count from the first, but bind only from [`LAW`] on: until then the wider of its own bound
//! and its class's holds. What was found to be a runaway teaches nothing; when most runs of a kind are beyond its
//! bound, the kind has changed, and they become the new usual ([`Book::adopt`]).
//!
//! Memory is bounded: kinds that are hardly known and kinds that are known well are kept apart, so that texts
//! made up by the thousand only push each other out.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

use hoptiller_policy::Micros;

use crate::interface::{Announced, Basis, Class, FingerprintId};
use crate::sketch::Sketch;

/// A statement is too long from this multiple of its kind's median. Ten times is a large one that is to be
/// left alone; the rest is room for medians that are known to an eighth and noise in what engines tell.
pub const FAR: f64 = 12.0;
/// ... and from this multiple of its kind's 99th percentile.
const BEYOND: f64 = 2.0;
/// While a kind is hardly known, its class's median counts by this much more.
const STRANGER: f64 = 2.0;
/// Runs from which a kind is its own law.
pub const LAW: u64 = 30;
/// Runs from which a kind counts as known, and its median as usual.
pub const KNOWN: u64 = 10;
/// Runs of a class from which it tells anything of its kinds.
const CLASS_KNOWN: u64 = 20;
/// An estimate counts where estimates of the kind were right within this factor.
const HONEST: f64 = 4.0;
/// Part of the places that kinds hardly known may take.
const STRANGERS: usize = 4;
/// Sizes that a kind keeps apart: powers of two.
const SIZES: usize = 24;

/// What one run showed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Run {
    /// Run time without standing still, by how slow the engine was, in µs.
    pub ran: f64,
    /// Work, in µs.
    pub work: Option<f64>,
    /// Rows read.
    pub rows: Option<f64>,
    /// Memory, in MB.
    pub memory: Option<f64>,
}

/// Distributions of one size of a kind, or of a class.
#[derive(Clone, Debug, Default)]
pub(crate) struct Figures {
    pub run: Sketch,
    pub work: Sketch,
    /// Work for a thousand rows, in µs.
    pub per_rows: Sketch,
    pub memory: Sketch,
}

impl Figures {
    fn learn(&mut self, run: &Run) {
        self.run.add(run.ran);
        self.work.add(run.work.unwrap_or(0.0));
        if let (Some(work), Some(rows)) = (run.work, run.rows) {
            self.per_rows.add(work * 1000.0 / rows.max(1.0));
        }
        self.memory.add(run.memory.unwrap_or(0.0));
    }
}

#[derive(Clone, Debug)]
pub(crate) struct KindBook {
    pub class: usize,
    pub label: Rc<str>,
    /// By the power of two under its size.
    pub sizes: BTreeMap<u8, Figures>,
    /// Work against the estimate, in thousandths.
    pub honesty: Sketch,
    /// Runs beyond the bound, that teach nothing until they are most.
    pub beyond: Figures,
    pub last: Micros,
}

impl KindBook {
    fn runs(&self) -> u64 {
        self.sizes.values().map(|f| f.run.count()).sum()
    }
}

/// What is usual of a figure, and from where on it is too much.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Expected {
    /// The median.
    pub usual: f64,
    /// The bound.
    pub bar: f64,
    /// What both rest on.
    pub basis: Basis,
}

/// What is expected of one statement.
#[derive(Clone, Copy, Debug)]
pub struct Expectation {
    /// Its run time, in µs.
    pub run: Expected,
    /// Its work, in µs.
    pub work: Expected,
    /// Its usual memory, in MB, where known.
    pub memory: Option<Expected>,
    /// Its usual work for a thousand rows, in µs, where known.
    pub per_rows: Option<f64>,
    /// Its kind is known.
    pub known: bool,
}

/// All kinds and classes.
#[derive(Debug)]
pub struct Book {
    most: usize,
    pub(crate) kinds: HashMap<FingerprintId, KindBook>,
    pub(crate) classes: Vec<(Figures, Sketch)>,
    /// By the time of their last use: kinds hardly known, kinds known.
    line: [BTreeSet<(Micros, FingerprintId)>; 2],
}

impl Book {
    /// An empty book of some classes, for so many kinds at most.
    pub fn new(classes: usize, most: usize) -> Book {
        let empty = (Figures::default(), Sketch::default());
        let line = [BTreeSet::new(), BTreeSet::new()];
        Book {
            most: most.max(STRANGERS),
            kinds: HashMap::new(),
            classes: vec![empty; classes],
            line,
        }
    }

    /// So many classes there are now.
    pub(crate) fn grow(&mut self, classes: usize) {
        self.classes.resize(classes, Default::default());
    }

    /// Kinds remembered.
    pub fn len(&self) -> usize {
        self.kinds.len()
    }

    /// Whether no kind is remembered.
    pub fn is_empty(&self) -> bool {
        self.kinds.is_empty()
    }

    /// Whether a kind has been seen often enough to be told from its class.
    pub fn is_known(&self, kind: FingerprintId) -> bool {
        self.kinds.get(&kind).is_some_and(|k| k.runs() >= KNOWN)
    }

    /// How many kinds of a class are known.
    pub fn known_of(&self, class: usize) -> usize {
        let known = self.line[1].iter().filter_map(|(_, id)| self.kinds.get(id));
        known.filter(|k| k.class == class).count()
    }

    /// The text of a kind, for people.
    pub fn label(&self, kind: FingerprintId) -> Option<Rc<str>> {
        self.kinds.get(&kind).map(|k| k.label.clone())
    }

    /// A statement of this kind has come: remembers the kind, and forgets another where there is no room.
    pub fn touch(&mut self, kind: FingerprintId, class: usize, label: &Rc<str>, now: Micros) {
        let known = usize::from(self.is_known(kind));
        let k = self.kinds.entry(kind).or_insert_with(|| KindBook {
            class,
            label: label.clone(),
            sizes: BTreeMap::new(),
            honesty: Sketch::default(),
            beyond: Figures::default(),
            last: now,
        });
        for line in &mut self.line {
            line.remove(&(k.last, kind));
        }
        k.last = now;
        self.line[known].insert((now, kind));
        self.trim();
    }

    fn trim(&mut self) {
        let strangers = self.most / STRANGERS;
        for (line, most) in self.line.iter_mut().zip([strangers, self.most - strangers]) {
            while line.len() > most {
                let Some((_, oldest)) = line.pop_first() else {
                    break;
                };
                self.kinds.remove(&oldest);
            }
        }
    }

    pub(crate) fn restore(&mut self, kind: FingerprintId, book: KindBook) {
        let known = usize::from(book.runs() >= KNOWN);
        self.line[known].insert((book.last, kind));
        self.kinds.insert(kind, book);
        self.trim();
    }

    /// What is expected of a statement of this kind and class that announces this.
    pub fn expect(
        &self,
        kind: FingerprintId,
        class: usize,
        spec: &Class,
        says: Announced,
    ) -> Expectation {
        let (of_class, class_honesty) = &self.classes[class];
        let book = self.kinds.get(&kind);
        let (own, scale) = book.map_or((None, 1.0), |k| k.of_size(says.size));
        let per_thread = spec.aim as f64;
        let run = expected(own.map(|f| &f.run), &of_class.run, scale, per_thread, spec);
        let work = expected(
            own.map(|f| &f.work),
            &of_class.work,
            scale,
            per_thread * spec.threads,
            spec,
        );
        let honesty = book
            .map(|k| &k.honesty)
            .filter(|h| h.count() >= KNOWN)
            .unwrap_or(class_honesty);
        let more = says
            .estimate
            .map_or(1.0, |e| larger_by(e as f64, honesty, work.usual));
        let larger = |e: Expected| Expected {
            usual: e.usual * more,
            bar: e.bar * more,
            ..e
        };
        let memory = own.filter(|f| f.memory.count() >= KNOWN).and_then(|f| {
            let (usual, top) = (
                f.memory.quantile(0.5)? * scale,
                f.memory.quantile(0.99)? * scale,
            );
            let bar = (usual * HONEST).max(top * BEYOND);
            Some(Expected {
                usual,
                bar,
                basis: Basis::Kind(f.memory.count()),
            })
        });
        let per_rows = own
            .filter(|f| f.per_rows.count() >= KNOWN)
            .and_then(|f| f.per_rows.quantile(0.5));
        let known = book.is_some_and(|k| k.runs() >= KNOWN);
        Expectation {
            run: larger(run),
            work: larger(work),
            memory: memory.map(larger),
            per_rows,
            known,
        }
    }

    /// What is usual of a class, for statements of which no more is known.
    pub fn expect_of_class(&self, class: usize, spec: &Class) -> Expected {
        let (run, usual) = (&self.classes[class].0.run, spec.aim as f64);
        let expected = expected(None, run, 1.0, usual, spec);
        // Its kind is known elsewhere: it gets no more room than one of its class has.
        match (expected.basis, bar(run, FAR)) {
            (Basis::Class(_), Some(bar)) => Expected {
                bar: bar.max(usual),
                ..expected
            },
            _ => expected,
        }
    }

    /// Takes in a run that was within its bound.
    pub fn learn(&mut self, kind: FingerprintId, class: usize, says: Announced, run: &Run) {
        self.classes[class].0.learn(run);
        let honest = says
            .estimate
            .zip(run.work)
            .map(|(e, work)| work * 1000.0 / (e as f64).max(1.0));
        self.classes[class].1.add(honest.unwrap_or(0.0));
        let Some(k) = self.kinds.get_mut(&kind) else {
            return;
        };
        let was_known = k.runs() >= KNOWN;
        k.honesty.add(honest.unwrap_or(0.0));
        k.sizes.entry(bucket(says.size)).or_default().learn(run);
        if !was_known && k.runs() >= KNOWN {
            let at = (k.last, kind);
            self.line[0].remove(&at);
            self.line[1].insert(at);
            self.trim();
        }
    }

    /// Notes a run that was beyond its bound. It teaches nothing yet; returns how many there have been.
    pub fn note_beyond(&mut self, kind: FingerprintId, run: &Run) -> u64 {
        let Some(k) = self.kinds.get_mut(&kind) else {
            return 0;
        };
        k.beyond.learn(run);
        k.beyond.run.count()
    }

    /// The kind has changed: what was beyond its bound is usual now.
    pub fn adopt(&mut self, kind: FingerprintId) {
        let Some(k) = self.kinds.get_mut(&kind) else {
            return;
        };
        if k.beyond.run.count() > 0 {
            let beyond = std::mem::take(&mut k.beyond);
            k.sizes = BTreeMap::from([(0, beyond)]);
        }
    }

    /// The kind runs as it did: those beyond were strays.
    pub fn disown(&mut self, kind: FingerprintId) {
        if let Some(k) = self.kinds.get_mut(&kind) {
            k.beyond = Figures::default();
        }
    }
}

impl KindBook {
    /// The distributions nearest to a size, and what to scale them by: a larger statement may take more in
    /// proportion; a smaller one is not held to less than what larger ones take.
    fn of_size(&self, size: u64) -> (Option<&Figures>, f64) {
        let want = bucket(size);
        let taught = self.sizes.iter().filter(|(_, f)| f.run.count() >= KNOWN);
        let nearest = taught.min_by_key(|(b, _)| (b.abs_diff(want), **b));
        // Until one size is known well, the fullest of them.
        let nearest = nearest.or_else(|| self.sizes.iter().max_by_key(|(_, f)| f.run.count()));
        match nearest {
            Some((b, figures)) => (
                Some(figures),
                f64::from(1u32 << want.saturating_sub(*b).min(20)),
            ),
            None => (None, 1.0),
        }
    }
}

fn bucket(size: u64) -> u8 {
    (size.max(1).ilog2() as usize).min(SIZES - 1) as u8
}

/// The bound over a distribution.
fn bar(of: &Sketch, far: f64) -> Option<f64> {
    Some((of.quantile(0.5)? * far).max(of.quantile(0.99)? * BEYOND))
}

fn expected(
    own: Option<&Sketch>,
    class: &Sketch,
    scale: f64,
    by_settings: f64,
    spec: &Class,
) -> Expected {
    let floor = by_settings;
    let of_class = if class.count() >= CLASS_KNOWN {
        let usual = class.quantile(0.5).unwrap_or(floor);
        let bar = bar(class, FAR * STRANGER).unwrap_or(floor).max(floor);
        Expected {
            usual,
            bar,
            basis: Basis::Class(class.count()),
        }
    } else {
        // Nothing is known: the aim is what a statement should take, and its clients' patience is no bound of
        // what it may.
        let bar = (floor * FAR).max(spec.patience as f64);
        Expected {
            usual: floor,
            bar,
            basis: Basis::Settings,
        }
    };
    let n = own.map_or(0, Sketch::count);
    let (Some(own), true) = (own, n > 0) else {
        return of_class;
    };
    let own_usual = own.quantile(0.5).unwrap_or(floor) * scale;
    let own_bar = bar(own, FAR).unwrap_or(floor) * scale;
    let usual = if n >= KNOWN {
        own_usual
    } else {
        of_class.usual.max(own_usual)
    };
    if n >= LAW {
        Expected {
            usual,
            bar: own_bar.max(floor),
            basis: Basis::Kind(n),
        }
    } else {
        Expected {
            usual,
            bar: own_bar.max(of_class.bar),
            basis: of_class.basis,
        }
    }
}

/// By how much an estimate makes a statement larger than usual, where estimates have been right.
fn larger_by(estimate: f64, honesty: &Sketch, usual: f64) -> f64 {
    if honesty.count() < KNOWN {
        return 1.0;
    }
    let of = |q| honesty.quantile(q).unwrap_or(0.0) / 1000.0;
    let (low, mid, high) = (of(0.1), of(0.5), of(0.9));
    // Danger: a client whose estimates say nothing could announce a runaway away.
    if mid <= 0.0 || low < mid / HONEST || high > mid * HONEST {
        return 1.0;
    }
    (estimate * mid / usual.max(1.0)).clamp(1.0, 1e4)
}

#[cfg(test)]
mod tests;
