//! State of the runaway detector and look-ups in it. Events change it in `lifecycle`; `detection` derives findings.

use std::collections::{BTreeMap, HashMap, VecDeque};

use hoptiller_policy::{EngineId, Micros};

use crate::attempt::{RemoteStatement, RunningAttempt};
use crate::engine_speed::{EngineSpeeds, Sample, Slowness};
use crate::findings::Findings;
use crate::fingerprint_change::FingerprintChanges;
use crate::holds::{FingerprintHold, Holds};
use crate::interface::{AttemptId, Decision, EngineStatus, Finding, FingerprintId, Settings};
use crate::statistics::{Expectation, Statistics};

/// Engines that have sent no progress report for this long are taken not to send any.
pub(crate) const REPORTS_TTL: Micros = 60_000_000;
/// An expectation is looked up again after this time.
const EXPECTATION_TTL: Micros = 4_000_000;
/// Multiple of the usual run time from which a running attempt says anything of its engine.
const MIN_SLOW_SAMPLE: f64 = 2.0;

/// Finds runaway statements and decides what is done about them. See the [crate].
#[derive(Debug)]
pub struct RunawayDetector {
    pub(crate) settings: Settings,
    pub(crate) statistics: Statistics,
    pub(crate) attempts: BTreeMap<AttemptId, RunningAttempt>,
    pub(crate) attempt_ids: HashMap<String, AttemptId>,
    /// Abandoned attempts that their engine may still run, oldest first.
    pub(crate) unconfirmed: VecDeque<AttemptId>,
    pub(crate) remote_statements: BTreeMap<String, RemoteStatement>,
    pub(crate) engine_speeds: EngineSpeeds,
    pub(crate) fingerprint_changes: FingerprintChanges,
    pub(crate) findings: Findings,
    pub(crate) holds: Holds,
    pub(crate) engines: Vec<EngineStatus>,
    /// By class: when runaways of unknown fingerprints were found.
    pub(crate) unknown_runaways: Vec<VecDeque<Micros>>,
    pub(crate) next_detection_at: Micros,
    /// When any engine last reported progress of an attempt.
    pub(crate) last_report_at: Option<Micros>,
    /// By engine and table group: the latest start among the attempts that ran there as usual.
    pub(crate) last_completions: BTreeMap<(EngineId, u64), Micros>,
    /// By engine: running attempts that take longer than usual, as of the last detection run.
    pub(crate) slow_samples: BTreeMap<EngineId, Vec<(AttemptId, Sample)>>,
    pub(crate) decisions: Vec<Decision>,
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
        RunawayDetector {
            statistics: Statistics::new(settings.classes.len(), settings.max_fingerprints),
            unknown_runaways: vec![VecDeque::new(); settings.classes.len()],
            attempts: BTreeMap::new(),
            attempt_ids: HashMap::new(),
            unconfirmed: VecDeque::new(),
            remote_statements: BTreeMap::new(),
            engine_speeds: EngineSpeeds::default(),
            fingerprint_changes: FingerprintChanges::default(),
            findings: Findings::default(),
            holds: Holds::default(),
            engines: Vec::new(),
            next_detection_at: 0,
            last_report_at: None,
            last_completions: BTreeMap::new(),
            slow_samples: BTreeMap::new(),
            decisions: Vec::new(),
            settings,
        }
    }

    /// Replaces the settings. Classes keep their numbers and new ones follow them; settings with fewer classes are
    /// ignored.
    pub fn update_settings(&mut self, settings: Settings) {
        if settings.classes.len() >= self.settings.classes.len() {
            self.statistics.resize_classes(settings.classes.len());
            self.unknown_runaways
                .resize(settings.classes.len(), VecDeque::new());
            self.settings = settings;
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

    /// Whether an attempt on this table group that started at this engine after `since` ran as usual.
    pub(crate) fn completed_normally_since(
        &self,
        engine: EngineId,
        group: u64,
        since: Micros,
    ) -> bool {
        self.last_completions
            .get(&(engine, group))
            .is_some_and(|started| *started > since)
    }

    /// Whether any engine reported progress lately.
    pub(crate) fn has_recent_reports(&self, now: Micros) -> bool {
        self.last_report_at
            .is_some_and(|at| now.saturating_sub(at) < REPORTS_TTL)
    }

    /// When the next detection run is due.
    pub fn next_detection_at(&self) -> Micros {
        self.next_detection_at
    }

    /// Takes the decisions made since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// Decides on holds that changed.
    pub(crate) fn publish_holds(&mut self) {
        let changes = self.holds.take_changes();
        self.decisions
            .extend(changes.into_iter().map(Decision::Hold));
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
        self.holds.fingerprints.iter()
    }

    /// Table groups with the engines that they are excluded from.
    pub fn excluded_engines(&self) -> impl Iterator<Item = (&u64, &Vec<EngineId>)> {
        self.holds.groups.iter()
    }

    /// How much is tracked.
    pub fn tracked_counts(&self) -> TrackedCounts {
        TrackedCounts {
            fingerprints: self.statistics.len(),
            attempts: self.attempts.len(),
            remote_statements: self.remote_statements.len(),
        }
    }

    /// Drops the cached expectations of a fingerprint's attempts.
    pub(crate) fn invalidate_expectations(&mut self, fingerprint: FingerprintId) {
        self.attempts
            .values_mut()
            .filter(|attempt| attempt.start.fingerprint == fingerprint)
            .for_each(|attempt| attempt.expectation = None);
    }

    /// What is expected of an attempt, looked up again if the cached expectation is too old.
    pub(crate) fn refresh_expectation(
        &mut self,
        now: Micros,
        id: AttemptId,
    ) -> Option<Expectation> {
        let attempt = self.attempts.get_mut(&id)?;
        if let Some((at, expected)) = attempt.expectation
            && now.saturating_sub(at) < EXPECTATION_TTL
        {
            return Some(expected);
        }
        let s = &attempt.start;
        let expected = self.statistics.expectation(
            s.fingerprint,
            s.class,
            &self.settings.classes[s.class],
            s.announced,
        );
        attempt.expectation = Some((now, expected));
        Some(expected)
    }

    /// The cached expectation of an attempt.
    pub(crate) fn expectation(&self, id: AttemptId) -> Option<&Expectation> {
        self.attempts.get(&id)?.expectation.as_ref().map(|(_, e)| e)
    }

    /// How slow an engine is, by the attempts that ended or run there except one.
    pub(crate) fn engine_slowness(
        &self,
        now: Micros,
        engine: EngineId,
        without: Option<AttemptId>,
    ) -> Slowness {
        let running: Vec<Sample> = match self.slow_samples.get(&engine) {
            Some(all) => all
                .iter()
                .filter(|s| Some(s.0) != without)
                .map(|s| s.1)
                .collect(),
            None => Vec::new(),
        };
        self.engine_speeds.slowness(now, engine, &running)
    }

    /// Collects running attempts that are slower than usual, once per detection run.
    pub(crate) fn collect_slow_samples(&mut self, now: Micros) {
        let mut samples: BTreeMap<EngineId, Vec<(AttemptId, Sample)>> = BTreeMap::new();
        let all = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.is_executing() && !attempt.is_blocked)
            .filter(|(_, attempt)| !self.findings.is_runaway(&attempt.subject()))
            .filter_map(|(id, attempt)| {
                let e = self.expectation(*id).filter(|e| e.known)?;
                // Run time so far is a lower bound. A larger statement, as its reported work shows, takes longer at
                // any engine and says nothing of this one.
                let size_ratio = attempt
                    .progress
                    .work
                    .map_or(1.0, |work| work as f64 / e.work.usual.max(1.0))
                    .max(1.0);
                let times = attempt.active_time(now) / (e.run.usual.max(1.0) * size_ratio);
                (times >= MIN_SLOW_SAMPLE).then_some((
                    attempt.start.engine,
                    *id,
                    Sample {
                        fingerprint: attempt.start.fingerprint,
                        times,
                    },
                ))
            });
        for (engine, id, sample) in all {
            samples.entry(engine).or_default().push((id, sample));
        }
        self.slow_samples = samples;
    }

    /// The id of the attempt that engines know by this name.
    pub(crate) fn attempt_by_name(&self, name: &str) -> Option<AttemptId> {
        self.attempt_ids.get(name).copied()
    }
}
