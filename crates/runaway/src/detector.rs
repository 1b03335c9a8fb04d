//! The detector: it orders the steps and passes each rule what it reads. What a rule decides, with its state and its
//! constants, stands in the module that is named after it.

mod attempts;
mod blockers;
mod detection;
mod enforcement;
mod findings;

use std::rc::Rc;

use hoptiller_policy::{EngineId, Micros};

use crate::attempts::Attempts;
use crate::engine_speed::EngineSpeeds;
use crate::findings::Findings;
use crate::fingerprint_change::FingerprintChanges;
use crate::holds::{FingerprintHold, Holds};
use crate::interface::{Decision, EngineStatus, Finding, FingerprintId, Settings};
use crate::remote_statements::RemoteStatements;
use crate::snapshot::{self, RestoredCounts, SnapshotError};
use crate::statistics::Statistics;
use crate::unknown_runaways::UnknownRunaways;
use crate::wait_inference::WaitInference;

/// Finds runaway statements and decides what is done about them. See the [crate].
#[derive(Debug)]
pub struct RunawayDetector {
    settings: Settings,
    engines: Vec<EngineStatus>,
    statistics: Statistics,
    attempts: Attempts,
    remote_statements: RemoteStatements,
    wait_inference: WaitInference,
    engine_speeds: EngineSpeeds,
    fingerprint_changes: FingerprintChanges,
    findings: Findings,
    holds: Holds,
    unknown_runaways: UnknownRunaways,
    next_detection_at: Micros,
    /// Decisions that were not taken yet.
    decisions: Vec<Decision>,
}

/// How much a detector tracks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrackedCounts {
    /// Fingerprints with statistics.
    pub fingerprints: usize,
    /// Attempts that run or may run.
    pub attempts: usize,
    /// Statements of other routers.
    pub remote_statements: usize,
}

impl RunawayDetector {
    /// A detector without statistics.
    pub fn new(settings: Settings) -> RunawayDetector {
        let classes = settings.classes.len();
        RunawayDetector {
            engines: Vec::new(),
            statistics: Statistics::new(classes, settings.max_fingerprints),
            attempts: Attempts::default(),
            remote_statements: RemoteStatements::default(),
            wait_inference: WaitInference::default(),
            engine_speeds: EngineSpeeds::default(),
            fingerprint_changes: FingerprintChanges::default(),
            findings: Findings::default(),
            holds: Holds::default(),
            unknown_runaways: UnknownRunaways::new(classes),
            next_detection_at: 0,
            decisions: Vec::new(),
            settings,
        }
    }

    /// Replaces the settings. Classes keep their numbers and new ones follow them; settings with fewer classes are
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
        self.engine_speeds
            .retain(|id| engines.iter().any(|status| status.engine == id));
        self.engines = engines;
        self.publish_holds();
    }

    /// An engine restarted: abandoned attempts that it ran are gone.
    pub fn reset_engine(&mut self, now: Micros, engine: EngineId) {
        for id in self.attempts.unconfirmed_at(engine) {
            self.remove_attempt(now, id, "its engine was started anew");
        }
    }

    /// The id of a fingerprint within a class.
    ///
    /// # Panics
    ///
    /// If there is no such class.
    pub fn fingerprint_id(&self, class: usize, fingerprint: u64) -> FingerprintId {
        FingerprintId::new(&self.settings.classes[class].name, fingerprint)
    }

    /// Records that a statement arrived. Returns the fingerprint under which it can be held: its own, or the one
    /// that stands for all unknown fingerprints of its class while those are held together.
    ///
    /// # Panics
    ///
    /// If there is no such class.
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

    /// Lifts the hold of a fingerprint on behalf of an operator. False if it is not held.
    pub fn release_hold(&mut self, fingerprint: FingerprintId) -> bool {
        let was_held = self.holds.release(fingerprint);
        self.publish_holds();
        was_held
    }

    /// When the next detection run is due.
    pub fn next_detection_at(&self) -> Micros {
        self.next_detection_at
    }

    /// Takes the decisions made since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// Findings that still hold.
    pub fn open_findings(&self) -> impl Iterator<Item = &Finding> {
        self.findings.open()
    }

    /// The latest findings that were cleared, oldest first.
    pub fn past_findings(&self) -> impl Iterator<Item = &Finding> {
        self.findings.past()
    }

    /// Fingerprints whose concurrency is limited.
    pub fn holds(&self) -> impl Iterator<Item = (&FingerprintId, &FingerprintHold)> {
        self.holds.fingerprints()
    }

    /// Table groups with the engines that they are excluded from.
    pub fn excluded_engines(&self) -> impl Iterator<Item = (&u64, &Vec<EngineId>)> {
        self.holds.groups()
    }

    /// How much is tracked.
    pub fn tracked_counts(&self) -> TrackedCounts {
        TrackedCounts {
            fingerprints: self.statistics.len(),
            attempts: self.attempts.len(),
            remote_statements: self.remote_statements.len(),
        }
    }

    /// Encodes what survives a restart.
    pub fn save(&self) -> Vec<u8> {
        snapshot::encode(&self.settings.classes, &self.statistics, &self.holds)
    }

    /// Restores what was saved, all or nothing: on an error, nothing has changed.
    ///
    /// # Errors
    ///
    /// If `bytes` is no snapshot of this version, or is damaged or can't be decoded.
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

    /// Decides on holds that changed.
    fn publish_holds(&mut self) {
        let changes = self.holds.take_changes(&self.engines);
        self.decisions
            .extend(changes.into_iter().map(Decision::Hold));
    }

    /// Number of engines that accept work.
    fn engines_up(&self) -> usize {
        self.engines.iter().filter(|status| status.is_up).count()
    }
}
