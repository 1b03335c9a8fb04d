//! Owns how a fleet's document becomes part of a router's settings. Numbers of classes, kinds and zones that are known
//! stay as they are, since statements under way are named by them; new ones come behind. What the document no longer
//! names keeps its place, and the agreement's own verdict closes it.

use std::time::Duration;

use hoptiller_coordination::ConfigDuration;
use hoptiller_coordination::{Document, Idempotency, StatementClass};

use super::{BudgetSettings, ClassSettings, Problem, RepeatSettings, Settings, check};

fn time(span: ConfigDuration) -> Duration {
    Duration::from_micros(span.as_micros())
}

/// The number of a name; a new name comes behind.
fn number_of<T>(
    all: &mut Vec<T>,
    name: &str,
    is: impl Fn(&T) -> &str,
    make: impl FnOnce() -> T,
) -> usize {
    match all.iter().position(|known| is(known) == name) {
        Some(at) => at,
        None => {
            all.push(make());
            all.len() - 1
        }
    }
}

impl Settings {
    /// These settings with a fleet's document in force, and with the numbers of names as they have been so far. All
    /// that is wrong with them together is told.
    pub fn under(&self, so_far: &Settings, document: &Document) -> Result<Settings, Vec<Problem>> {
        let mut s = so_far.clone();
        s.engines = self.engines.clone();
        for (name, cores) in &document.kinds {
            let at = number_of(&mut s.kinds, name, |k| &k.0, || (name.clone(), *cores));
            s.kinds[at].1 = *cores;
        }
        for name in &document.zones {
            number_of(&mut s.zones, name, |z| z, || name.clone());
        }
        for (name, share) in &document.tenants {
            let at = number_of(&mut s.tenants, name, |t| &t.0, || (name.clone(), *share));
            s.tenants[at].1 = *share;
        }
        for (name, class) in &document.classes {
            let made = class_of(&s, document, name, class);
            let at = number_of(&mut s.classes, name, |c| &c.name, || made.clone());
            s.classes[at] = made;
        }
        if let Some(usual) = document
            .default_class
            .as_deref()
            .and_then(|name| s.class(name))
        {
            s.default_class = usual;
        }
        let acts = s.runaways.acts.last().copied().unwrap_or_default();
        s.runaways.acts.resize(s.classes.len(), acts);
        let (e, d) = (&mut s.engines, &document.engines);
        e.max_attempts = d.max_attempts;
        e.budget = d.budget.as_ref().map(|b| BudgetSettings {
            spare: b.spare,
            ratio: b.ratio,
            within: time(b.within),
        });
        // What this router's engines can't do, no document makes them do.
        e.probes = d.probes && self.engines.probes;
        e.cancel = d.cancel && self.engines.cancel;
        e.priorities = d.priorities && self.engines.priorities;
        e.ends = d.ends && self.engines.ends;
        e.pauses = d.pauses && self.engines.pauses;
        if !e.cancel {
            e.notes_every = Duration::ZERO;
        }
        for acts in &mut s.runaways.acts {
            acts.end &= e.ends;
            acts.pause &= e.pauses;
            acts.lower &= e.priorities;
        }
        let (r, d) = (&mut s.rules, &document.rules);
        r.start_capacity = d.start_capacity;
        r.ramp = time(d.ramp);
        r.overload = d.overload;
        r.fall = time(d.fall);
        r.order_pause = time(d.order_pause);
        r.drain_grace = time(d.drain_grace);
        let mut problems = Vec::new();
        check::check("(the fleet's document)", &s, &mut problems);
        if problems.is_empty() {
            Ok(s)
        } else {
            Err(problems)
        }
    }
}

fn class_of(
    s: &Settings,
    document: &Document,
    name: &str,
    class: &StatementClass,
) -> ClassSettings {
    // A class that may go anywhere may go to what the document knows, and not to what only this router's file names.
    let kinds = |k: &str| match &class.kinds {
        Some(only) => only.contains(k),
        None => document.kinds.contains_key(k),
    };
    let zones = |z: &str| match &class.zones {
        Some(only) => only.contains(z),
        None => document.zones.contains(z),
    };
    let some = |all: Vec<usize>, of: usize| (all.len() < of).then_some(all);
    let in_kinds: Vec<usize> = (0..s.kinds.len())
        .filter(|k| kinds(&s.kinds[*k].0))
        .collect();
    let in_zones: Vec<usize> = (0..s.zones.len()).filter(|z| zones(&s.zones[*z])).collect();
    ClassSettings {
        name: name.to_owned(),
        aim: time(class.aim),
        stretch: class.stretch,
        patience: time(class.patience),
        repeat: match class.repeat {
            Idempotency::Idempotent => RepeatSettings::Safe,
            Idempotency::NonIdempotent => RepeatSettings::Never,
        },
        in_order: class.in_order,
        worth: class.worth,
        late_worth: class.late_worth,
        threads: class.threads,
        holds: class.holds,
        kinds: some(in_kinds, s.kinds.len())
            .or_else(|| class.kinds.as_ref().map(|_| (0..s.kinds.len()).collect())),
        zones: some(in_zones, s.zones.len())
            .or_else(|| class.zones.as_ref().map(|_| (0..s.zones.len()).collect())),
    }
}
