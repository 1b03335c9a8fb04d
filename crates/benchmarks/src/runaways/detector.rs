//! The cost of a fingerprint, of one run of the detection, and of the saved statistics.

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

/// Repeated values in the statements whose fingerprints are measured.
const REPEAT_COUNTS: [usize; 3] = [1, 100, 10_000];

/// Time for which each fingerprint is measured.
const FINGERPRINT_TIME: Duration = Duration::from_millis(300);

const ENGINES: u64 = 70;

const FINGERPRINTS: u64 = 4000;

/// Attempts that have ended before the measurement, so that each fingerprint has statistics.
const PAST_ATTEMPTS: u64 = 80_000;

/// Id of the first attempt that is in flight in the measurement.
const FIRST_IN_FLIGHT_ID: u64 = 1_000_000;

/// How often the detection is measured.
const DETECTION_RUNS: u32 = 12;

/// Interval of the detection, in microseconds.
const DETECTION_INTERVAL: Micros = 500_000;

/// Work of the attempts that have ended, in microseconds.
const PAST_WORK: Micros = 200_000;

/// Prints how the cost of a fingerprint grows with the text of its statement.
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
            "kind of a statement of {:>7} bytes: {:>9.1} us, {megabytes_per_second:.0} MB/s",
            text.len(),
            seconds * 1e6
        );
    }
}

/// Prints the cost of a run of the detection with so many attempts in flight, and of the saved statistics.
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
        "look at {attempts:>6} attempts, {} kinds: {milliseconds:>8.2} ms, {:.2}% of a thread; state {:.1} MB, made in {:.0} ms",
        load.detector.tracked_counts().fingerprints,
        milliseconds / 5.0,
        saved.len() as f64 / 1e6,
        start.elapsed().as_secs_f64() * 1e3
    );
}

/// A detector with the time that it is given.
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

    /// Reports the progress of all attempts, and runs the detection: the time that it took.
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
