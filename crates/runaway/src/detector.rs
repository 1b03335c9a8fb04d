//! The detector, which runs the steps in order and passes to each rule the data that it reads. Most rules are modules
//! of their own; the submodules here apply them to attempts, findings and holds.

mod attempt_events;
mod attempt_findings;
mod blocker_detection;
mod detection;
mod runaway_actions;

use std::rc::Rc;

use hoptiller_policy::{EngineId, Micros};

use crate::attempts::Attempts;
use crate::engine_slowness::EngineSlowness;
use crate::findings::Findings;
use crate::fingerprint_change::FingerprintChanges;
use crate::holds::{FingerprintHold, Holds};
use crate::interface::{Decision, EngineStatus, Finding, FingerprintId, Settings};
use crate::remote_statements::RemoteStatements;
use crate::snapshot::{self, RestoredCounts, SnapshotError};
use crate::statistics::Statistics;
use crate::unknown_runaways::UnknownRunaways;
use crate::wait_inference::WaitInference;

/// The detector of runaway statements, which also decides on actions against them. See the [crate] documentation.
#[derive(Debug)]
pub struct RunawayDetector {
    settings: Settings,
    engines: Vec<EngineStatus>,
    statistics: Statistics,
    attempts: Attempts,
    remote_statements: RemoteStatements,
    wait_inference: WaitInference,
    engine_slowness: EngineSlowness,
    fingerprint_changes: FingerprintChanges,
    findings: Findings,
    holds: Holds,
    unknown_runaways: UnknownRunaways,
    next_detection_at: Micros,
    /// Decisions that have not been taken yet.
    decisions: Vec<Decision>,
}

/// The numbers of items that a detector tracks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrackedCounts {
    /// Number of fingerprints with statistics.
    pub fingerprints: usize,
    /// Number of attempts that run or may run.
    pub attempts: usize,
    /// Number of statements of other routers.
    pub remote_statements: usize,
}

impl RunawayDetector {
    /// Creates a detector without statistics.
    pub fn new(settings: Settings) -> RunawayDetector {
        let classes = settings.classes.len();
        RunawayDetector {
            engines: Vec::new(),
            statistics: Statistics::new(classes, settings.max_fingerprints),
            attempts: Attempts::default(),
            remote_statements: RemoteStatements::default(),
            wait_inference: WaitInference::default(),
            engine_slowness: EngineSlowness::default(),
            fingerprint_changes: FingerprintChanges::default(),
            findings: Findings::default(),
            holds: Holds::default(),
            unknown_runaways: UnknownRunaways::new(classes),
            next_detection_at: 0,
            decisions: Vec::new(),
            settings,
        }
    }

    /// Replaces the settings. Classes keep their indexes and new ones are appended; settings with fewer classes are
    /// ignored.
    pub fn update_settings(&mut self, settings: Settings) {
        let classes = settings.classes.len();
        if classes < self.settings.classes.len() {
            return;
        }
        self.statistics.resize_classes(classes);
        self.unknown_runaways.resize_classes(classes);
        self.settings = settings;
    }

    /// Replaces the engine list.
    pub fn update_engines(&mut self, engines: Vec<EngineStatus>) {
        self.engine_slowness
            .retain(|id| engines.iter().any(|status| status.engine == id));
        self.engines = engines;
        self.publish_holds();
    }

    /// Records that an engine restarted, so that it no longer runs the abandoned attempts.
    pub fn reset_engine(&mut self, now: Micros, engine: EngineId) {
        for id in self.attempts.unconfirmed_on(engine) {
            self.remove_attempt(now, id, "its engine was started anew");
        }
    }

    /// Returns the id of a fingerprint within a class.
    ///
    /// # Panics
    ///
    /// Panics if there is no such class.
    pub fn fingerprint_id(&self, class: usize, fingerprint: u64) -> FingerprintId {
        FingerprintId::new(&self.settings.classes[class].name, fingerprint)
    }

    /// Records the arrival of a statement. Returns the fingerprint whose hold applies to it: its own, or the one that
    /// stands for all unknown fingerprints of its class while those are held together.
    ///
    /// # Panics
    ///
    /// Panics if there is no such class.
    pub fn observe_arrival(
        &mut self,
        now: Micros,
        fingerprint: FingerprintId,
        class: usize,
        label: &Rc<str>,
    ) -> FingerprintId {
        self.statistics
            .record_arrival(fingerprint, class, label, now);
        let unknown = FingerprintId::unknown(&self.settings.classes[class].name);
        if self.holds.contains(unknown) && !self.statistics.is_known(fingerprint) {
            unknown
        } else {
            fingerprint
        }
    }

    /// Releases the hold of a fingerprint on behalf of an operator. Returns `false` if the fingerprint is not held.
    pub fn release_hold(&mut self, fingerprint: FingerprintId) -> bool {
        let was_held = self.holds.release(fingerprint);
        self.publish_holds();
        was_held
    }

    /// Returns the time at which the next detection run is due.
    pub fn next_detection_at(&self) -> Micros {
        self.next_detection_at
    }

    /// Takes the decisions made since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// Returns the open findings.
    pub fn open_findings(&self) -> impl Iterator<Item = &Finding> {
        self.findings.open()
    }

    /// Returns the most recently cleared findings, oldest first.
    pub fn cleared_findings(&self) -> impl Iterator<Item = &Finding> {
        self.findings.cleared()
    }

    /// Returns the held fingerprints.
    pub fn holds(&self) -> impl Iterator<Item = (&FingerprintId, &FingerprintHold)> {
        self.holds.fingerprints()
    }

    /// Returns the table groups with the engines that they are excluded from.
    pub fn excluded_engines(&self) -> impl Iterator<Item = (&u64, &Vec<EngineId>)> {
        self.holds.groups()
    }

    /// Returns the numbers of tracked items.
    pub fn tracked_counts(&self) -> TrackedCounts {
        TrackedCounts {
            fingerprints: self.statistics.len(),
            attempts: self.attempts.len(),
            remote_statements: self.remote_statements.len(),
        }
    }

    /// Encodes the statistics and holds, which survive a restart.
    pub fn save(&self) -> Vec<u8> {
        snapshot::encode(&self.settings.classes, &self.statistics, &self.holds)
    }

    /// Restores saved statistics and holds. On an error, nothing changes.
    ///
    /// # Errors
    ///
    /// Returns an error if `bytes` is not a snapshot of this version, is damaged or cannot be decoded.
    pub fn restore(&mut self, now: Micros, bytes: &[u8]) -> Result<RestoredCounts, SnapshotError> {
        let snapshot = snapshot::decode(now, bytes, &self.settings.classes)?;
        for (class, statistics) in snapshot.classes {
            self.statistics.restore_class(class, statistics);
        }
        for (id, statistics) in snapshot.fingerprints {
            self.statistics.restore_fingerprint(id, statistics);
        }
        self.holds.restore(snapshot.holds);
        self.publish_holds();
        Ok(snapshot.counts)
    }

    /// Adds decisions for holds that changed.
    fn publish_holds(&mut self) {
        let changes = self.holds.take_changes(&self.engines);
        self.decisions
            .extend(changes.into_iter().map(Decision::Hold));
    }

    /// Returns the number of engines that accept work.
    fn up_engine_count(&self) -> usize {
        self.engines.iter().filter(|status| status.is_up).count()
    }
}
