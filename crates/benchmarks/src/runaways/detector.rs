//! The cost of a fingerprint, of a detection run, and of saving the statistics.

use std::hint::black_box;
use std::time::{Duration, Instant};

use hoptiller_policy::{EngineId, Micros};
use hoptiller_runaway::{
    Announced, AttemptId, AttemptStart, EngineStatus, ExecutionOutcome, FingerprintId,
    ProgressReport, RunawayDetector,
};
use hoptiller_sql::{Dialect, normalize};
use hoptiller_statement_router::Settings;

/// Numbers of attempts in flight at which the detection is measured.
pub(super) const ATTEMPT_COUNTS: [u64; 3] = [100, 1_000, 10_000];

/// Numbers of repeated values in the statements whose fingerprints are measured.
const REPEAT_COUNTS: [usize; 3] = [1, 100, 10_000];

/// Duration of the measurement of each fingerprint.
const FINGERPRINT_TIME: Duration = Duration::from_millis(300);

const ENGINES: u64 = 70;

const FINGERPRINTS: u64 = 4000;

/// Number of attempts that end before the measurement, so that each fingerprint has statistics.
const PAST_ATTEMPTS: u64 = 80_000;

/// Id of the first attempt that is in flight during the measurement.
const FIRST_IN_FLIGHT_ID: u64 = 1_000_000;

/// Number of measured detection runs.
const DETECTION_RUNS: u32 = 12;

/// Interval between detection runs, in microseconds.
const DETECTION_INTERVAL: Micros = 500_000;

/// Work of each attempt that ends before the measurement, in microseconds.
const PAST_WORK: Micros = 200_000;

/// Prints the cost of a fingerprint for statements of several sizes.
pub(super) fn measure_fingerprints() {
    for repeats in REPEAT_COUNTS {
        let list = "(4711, 'some value', now()), ".repeat(repeats);
        let text = format!("INSERT INTO \"rent\" (a, b, c) VALUES {list}(1, 'x', now()) -- end");
        let start = Instant::now();
        let mut count = 0u32;
        while start.elapsed() < FINGERPRINT_TIME {
            black_box(normalize(&text, Dialect::STANDARD));
            count += 1;
        }
        let seconds = start.elapsed().as_secs_f64() / f64::from(count);
        let megabytes_per_second = text.len() as f64 / seconds / 1e6;
        println!(
            "fingerprint of a statement of {:>7} bytes: {:>9.1} us, {megabytes_per_second:.0} MB/s",
            text.len(),
            seconds * 1e6
        );
    }
}

/// Prints the cost of a detection run with the given number of attempts in flight, and of saving the statistics.
pub(super) fn measure_detection(settings: &Settings, attempts: u64) {
    let mut load = DetectorLoad::new(settings);
    load.run_past_attempts();
    let in_flight: Vec<AttemptId> = (FIRST_IN_FLIGHT_ID..FIRST_IN_FLIGHT_ID + attempts)
        .map(|id| load.start_attempt(id))
        .collect();
    let spent: Duration = (0..DETECTION_RUNS)
        .map(|_| load.run_detection(&in_flight))
        .sum();
    let milliseconds = spent.as_secs_f64() / f64::from(DETECTION_RUNS) * 1e3;
    let start = Instant::now();
    let saved = load.detector.save();
    println!(
        "detection of {attempts:>6} attempts, {} fingerprints: {milliseconds:>8.2} ms, {:.2}% of a thread; state {:.1} MB in {:.0} ms",
        load.detector.tracked_counts().fingerprints,
        milliseconds / 5.0,
        saved.len() as f64 / 1e6,
        start.elapsed().as_secs_f64() * 1e3
    );
}

/// A detector with its load, and the time that it is passed.
struct DetectorLoad {
    detector: RunawayDetector,
    now: Micros,
}

impl DetectorLoad {
    fn new(settings: &Settings) -> DetectorLoad {
        let mut detector = RunawayDetector::new(settings.runaway_settings());
        let status = |id: u64| EngineStatus {
            engine: EngineId(id as u32),
            is_up: true,
            classes: vec![true; settings.classes.len()],
        };
        detector.update_engines((0..ENGINES).map(status).collect());
        DetectorLoad {
            detector,
            now: 1_000_000_000,
        }
    }

    fn run_past_attempts(&mut self) {
        for id in 0..PAST_ATTEMPTS {
            let attempt = self.start_attempt(id);
            self.now += PAST_WORK + id % 100_000;
            self.detector.end_attempt(
                self.now,
                attempt,
                ExecutionOutcome::Succeeded,
                Some(PAST_WORK),
            );
        }
    }

    fn start_attempt(&mut self, id: u64) -> AttemptId {
        let fingerprint = FingerprintId(id % FINGERPRINTS);
        let label = "select a from t where b = ?".into();
        let held_as = self
            .detector
            .observe_arrival(self.now, fingerprint, 0, &label);
        let attempt = AttemptId {
            statement: id,
            number: 0,
        };
        let start = AttemptStart {
            attempt,
            engine: EngineId((id % ENGINES) as u32),
            class: 0,
            name: format!("r1/{id}_x"),
            fingerprint,
            held_as,
            label,
            announced: Announced::default(),
            group: None,
        };
        self.detector.start_attempt(self.now, start);
        attempt
    }

    /// Reports the progress of all attempts, runs the detection, and returns the duration of the latter.
    fn run_detection(&mut self, attempts: &[AttemptId]) -> Duration {
        self.now += DETECTION_INTERVAL;
        for attempt in attempts {
            let progress = ProgressReport {
                work: Some(self.now % 300_000),
                done: Some(0.5),
                ..ProgressReport::default()
            };
            self.detector.report_progress(self.now, *attempt, progress);
        }
        let start = Instant::now();
        self.detector.run_detection(self.now);
        let spent = start.elapsed();
        self.detector.take_decisions();
        spent
    }
}
