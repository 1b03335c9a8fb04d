//! Runaways that this router no longer waits for or never sent: abandoned attempts and statements of other routers,
//! judged by the attempts that they block.

use std::collections::BTreeSet;

use hoptiller_policy::{EngineId, Micros};

use crate::detector::RunawayDetector;
use crate::interface::{
    AttemptId, Cause, Finding, FingerprintId, MAX_BLOCKED_NAMES, Measure, Subject, Verdict,
};
use crate::measures::{CONFIRMATION_TIME, CROWD_BOUND_FACTOR, MIN_CROWD, evidence};
use crate::statistics::Expected;
use crate::wait_graph::WaitGraph;

/// The longest exclusion of table groups from the engine where a remote runaway blocks them.
const MAX_EXCLUSION: Micros = 160_000_000;
/// A remote statement that was not reported for this long is gone.
const REMOTE_TTL: Micros = 5_000_000;

/// What is known of a statement that may block attempts.
struct Blocker {
    /// Its id, if it is an attempt of this router.
    id: Option<AttemptId>,
    engine: EngineId,
    class: Option<usize>,
    fingerprint: Option<FingerprintId>,
    label: String,
    /// When it started; for an attempt of this router, later by the time for which it was blocked.
    started_at: Micros,
    over_bound_since: Option<Micros>,
}

impl RunawayDetector {
    /// Detects runaways among abandoned attempts and statements of other routers.
    pub(crate) fn detect_remote_runaways(&mut self, now: Micros, waits: &WaitGraph) {
        let mut names: BTreeSet<String> = self.remote_statements.keys().cloned().collect();
        let abandoned = self
            .unconfirmed
            .iter()
            .filter_map(|id| self.attempts.get(id));
        names.extend(abandoned.map(|attempt| attempt.start.name.clone()));
        for name in names {
            let blocked = waits.waiter_names(&name);
            self.extend_exclusion(now, &name, &blocked);
            if self.remove_expired_remote(now, &name) {
                continue;
            }
            if let (Some(blocker), false) = (self.blocker(&name), blocked.is_empty()) {
                self.judge_blocker(now, &name, blocker, &blocked);
            }
        }
    }

    /// Removes a remote statement that was not reported lately. One whose tables are excluded blocks nobody, so that
    /// it is kept for as long as the exclusion lasts.
    fn remove_expired_remote(&mut self, now: Micros, name: &str) -> bool {
        let is_own = self
            .attempt_by_name(name)
            .is_some_and(|id| self.attempts.contains_key(&id));
        let is_expired = self.remote_statements.get(name).is_some_and(|remote| {
            now.saturating_sub(remote.reported_at.max(remote.excluded_until)) > REMOTE_TTL
        });
        if is_own || !is_expired {
            return false;
        }
        self.remote_statements.remove(name);
        self.findings.clear(
            now,
            &Subject::Statement(name.to_owned()),
            "nothing stands behind it any more",
            &mut self.decisions,
        );
        true
    }

    fn blocker(&self, name: &str) -> Option<Blocker> {
        let own = self
            .attempt_by_name(name)
            .and_then(|id| self.attempts.get(&id).map(|attempt| (id, attempt)));
        if let Some((id, attempt)) = own {
            return Some(Blocker {
                id: Some(id),
                engine: attempt.start.engine,
                class: Some(attempt.start.class),
                fingerprint: Some(attempt.start.fingerprint),
                label: attempt.start.label.to_string(),
                started_at: attempt.started_at + attempt.blocked_time,
                over_bound_since: attempt.over_bound_since,
            });
        }
        self.remote_statements.get(name).map(|remote| Blocker {
            id: None,
            engine: remote.engine,
            class: remote.class,
            fingerprint: None,
            label: String::new(),
            started_at: remote.started_at,
            over_bound_since: remote.over_bound_since,
        })
    }

    /// The expected run time of a blocker: its own, that of its class, or that of the class that takes longest.
    fn blocker_expectation(&self, blocker: &Blocker) -> Option<Expected> {
        let of_class = |class: usize| {
            self.statistics
                .class_expectation(class, &self.settings.classes[class])
        };
        let longest = || {
            (0..self.settings.classes.len())
                .map(of_class)
                .max_by(|a, b| a.bound.total_cmp(&b.bound))
        };
        let own = blocker
            .id
            .and_then(|id| self.expectation(id))
            .map(|e| e.run);
        own.or_else(|| blocker.class.map(of_class)).or_else(longest)
    }

    fn judge_blocker(&mut self, now: Micros, name: &str, blocker: Blocker, blocked: &[String]) {
        let Some(mut expected) = self.blocker_expectation(&blocker) else {
            return;
        };
        if blocked.len() >= MIN_CROWD {
            expected.bound *= CROWD_BOUND_FACTOR;
        }
        let run_time = now.saturating_sub(blocker.started_at) as f64;
        if run_time <= expected.bound {
            return;
        }
        let since = blocker.over_bound_since.unwrap_or(now);
        let verdict = if now - since >= CONFIRMATION_TIME {
            Verdict::Runaway
        } else {
            Verdict::Suspect
        };
        let id = blocker.id;
        let found = Finding {
            id: 0,
            subject: Subject::Statement(name.to_owned()),
            verdict,
            cause: Cause::Blocks,
            class: blocker.class,
            fingerprint: blocker.fingerprint,
            label: blocker.label,
            engine: Some(blocker.engine),
            started: blocker.started_at,
            since,
            at: now,
            evidence: evidence(Measure::Run, run_time, &expected),
            blocked: blocked.len(),
            blocks: blocked.iter().take(MAX_BLOCKED_NAMES).cloned().collect(),
            note: match id {
                Some(_) => "this router waits for it no longer; its engine goes on",
                None => "not a statement of this router's present life",
            },
        };
        let is_new = self.findings.report(found, &mut self.decisions);
        let is_new_runaway = is_new && verdict == Verdict::Runaway;
        if let Some(remote) = self.remote_statements.get_mut(name) {
            remote.over_bound_since = Some(since);
            if is_new_runaway {
                remote.excluded_until = now + remote.exclusion;
            }
        }
        self.extend_exclusion(now, name, blocked);
        let Some(id) = id else { return };
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.over_bound_since = Some(since);
        }
        if is_new_runaway {
            self.enforce(now, id, Cause::Blocks, &[]);
        }
    }

    /// Extends the exclusion of the tables of a remote runaway that still blocks attempts. If the exclusion had
    /// ended, the next one is twice as long.
    fn extend_exclusion(&mut self, now: Micros, name: &str, blocked: &[String]) {
        if blocked.is_empty() {
            return;
        }
        let groups: Vec<u64> = blocked
            .iter()
            .filter_map(|who| self.attempts.get(&self.attempt_by_name(who)?)?.start.group)
            .collect();
        let Some(remote) = self
            .remote_statements
            .get_mut(name)
            .filter(|r| r.excluded_until > 0)
        else {
            return;
        };
        if now >= remote.excluded_until {
            remote.exclusion = (remote.exclusion * 2).min(MAX_EXCLUSION);
        }
        remote.excluded_until = remote.excluded_until.max(now + remote.exclusion);
        remote.groups.extend(groups);
    }
}
