//! Statements of other routers, or of an earlier incarnation of this one, that engines report as blockers of this
//! router's attempts.
//!
//! If such a statement is a runaway, the table groups that it blocks are excluded from its engine for a time that
//! doubles whenever the statement still blocks attempts after it.

use std::collections::{BTreeMap, BTreeSet};

use hoptiller_policy::{EngineId, Micros};

use crate::interface::{BlockingStatement, Class};

/// Maximum number of tracked statements.
const MAX_REMOTE_STATEMENTS: usize = 256;
/// Time without a report after which a statement is considered gone.
const REMOTE_TTL: Micros = 5_000_000;
/// Duration of the first exclusion of table groups from the engine where a runaway blocks them.
const MIN_EXCLUSION: Micros = 20_000_000;
/// Maximum duration of such an exclusion.
const MAX_EXCLUSION: Micros = 160_000_000;

/// A statement that this router did not send.
#[derive(Debug)]
pub(crate) struct RemoteStatement {
    pub(crate) engine: EngineId,
    pub(crate) class: Option<usize>,
    pub(crate) started_at: Micros,
    pub(crate) over_bound_since: Option<Micros>,
    reported_at: Micros,
    exclusion: Exclusion,
}

/// An exclusion of table groups from the engine of a runaway.
#[derive(Debug)]
struct Exclusion {
    /// The table groups of the attempts that the runaway blocked.
    groups: BTreeSet<u64>,
    /// The end of the exclusion; 0 if the statement has not been found to be a runaway.
    until: Micros,
    duration: Micros,
}

/// The tracked statements, by name.
#[derive(Debug, Default)]
pub(crate) struct RemoteStatements {
    by_name: BTreeMap<String, RemoteStatement>,
}

impl RemoteStatements {
    /// Records an engine's report that a statement blocks an attempt. A reported age excludes blocked time, so the
    /// assumed start moves forward while the statement is blocked.
    pub(crate) fn record(
        &mut self,
        now: Micros,
        engine: EngineId,
        blocker: &BlockingStatement,
        classes: &[Class],
    ) {
        if self.len() >= MAX_REMOTE_STATEMENTS && !self.by_name.contains_key(&blocker.name) {
            return; // New ones are dropped, as tracked ones expire soon.
        }
        // Without a reported age, the statement is assumed to have started at its first report.
        let started_at = blocker.age.map(|age| now.saturating_sub(age));
        let class = blocker.class.filter(|class| *class < classes.len());
        let remote = self
            .by_name
            .entry(blocker.name.clone())
            .or_insert_with(|| RemoteStatement::new(now, engine, class, started_at.unwrap_or(now)));
        remote.reported_at = now;
        remote.engine = engine;
        if let Some(started_at) = started_at {
            remote.started_at = remote.started_at.max(started_at);
        }
        remote.class = remote.class.or(class);
    }

    /// Returns the number of tracked statements.
    pub(crate) fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Returns the names in ascending order.
    pub(crate) fn names(&self) -> impl Iterator<Item = &String> {
        self.by_name.keys()
    }

    /// Returns a statement by its name.
    pub(crate) fn get(&self, name: &str) -> Option<&RemoteStatement> {
        self.by_name.get(name)
    }

    /// Returns whether a statement has not been reported recently. During an exclusion, a statement blocks no attempts
    /// and is not reported, so it is kept until [`REMOTE_TTL`] after the exclusion.
    pub(crate) fn is_expired(&self, now: Micros, name: &str) -> bool {
        self.get(name).is_some_and(|remote| {
            let last = remote.reported_at.max(remote.exclusion.until);
            now.saturating_sub(last) > REMOTE_TTL
        })
    }

    /// Stops tracking a statement.
    pub(crate) fn remove(&mut self, name: &str) {
        self.by_name.remove(name);
    }

    /// Records the time since which a statement has been over its bound.
    pub(crate) fn mark_over_bound(&mut self, name: &str, since: Micros) {
        if let Some(remote) = self.by_name.get_mut(name) {
            remote.over_bound_since = Some(since);
        }
    }

    /// Starts the exclusion of the table groups that a new runaway blocks.
    pub(crate) fn start_exclusion(&mut self, now: Micros, name: &str) {
        if let Some(RemoteStatement { exclusion, .. }) = self.by_name.get_mut(name) {
            exclusion.until = now + exclusion.duration;
        }
    }

    /// Extends the exclusion for a runaway that still blocks attempts on `groups`. If the previous exclusion had ended,
    /// the new one is twice as long.
    pub(crate) fn extend_exclusion(
        &mut self,
        now: Micros,
        name: &str,
        groups: impl Iterator<Item = u64>,
    ) {
        let Some(RemoteStatement { exclusion, .. }) = self.by_name.get_mut(name) else {
            return;
        };
        if exclusion.until == 0 {
            return;
        }
        if now >= exclusion.until {
            exclusion.duration = (exclusion.duration * 2).min(MAX_EXCLUSION);
        }
        exclusion.until = exclusion.until.max(now + exclusion.duration);
        exclusion.groups.extend(groups);
    }

    /// Returns the statements with a current exclusion, and their excluded table groups.
    pub(crate) fn excluded(
        &self,
        now: Micros,
    ) -> impl Iterator<Item = (&RemoteStatement, &BTreeSet<u64>)> {
        self.by_name
            .values()
            .filter(move |remote| now < remote.exclusion.until)
            .map(|remote| (remote, &remote.exclusion.groups))
    }
}

impl RemoteStatement {
    fn new(
        now: Micros,
        engine: EngineId,
        class: Option<usize>,
        started_at: Micros,
    ) -> RemoteStatement {
        RemoteStatement {
            engine,
            class,
            started_at,
            over_bound_since: None,
            reported_at: now,
            exclusion: Exclusion {
                groups: BTreeSet::new(),
                until: 0,
                duration: MIN_EXCLUSION,
            },
        }
    }
}
