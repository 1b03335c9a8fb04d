//! Digests of all actions of the controller for generated events of all kinds, under settings with every option. A
//! refactoring must not change any digest.
//!
//! The digest covers explicit numbers instead of `Debug` output so that renaming types does not change it.
//! `UPDATE_FIXTURES=1` rewrites the fixtures, which only an intended change of a decision justifies.

#[path = "../common/mod.rs"]
mod common;
mod generator;

use std::fmt::Write as _;
use std::path::Path;

use common::*;
use generator::*;
use hoptiller_policy::*;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

const SEEDS: u64 = 48;
const STEP: Micros = 7 * MS;
const STEPS: u64 = 2_500;

/// Appends an action as numbers: its kind, then its fields.
fn encode(action: &Action, numbers: &mut Vec<u64>) {
    let optional = |value: Option<Micros>| value.map_or([0, 0], |value| [1, value]);
    match action {
        Action::Send {
            request,
            engine,
            send_by,
        } => {
            numbers.extend([1, request.0, u64::from(engine.0)]);
            numbers.extend(optional(*send_by));
        }
        Action::SetOptions {
            request,
            priority,
            memory_grant_mb,
        } => {
            let grant = memory_grant_mb.to_bits();
            numbers.extend([2, request.0, u64::from(*priority), grant]);
        }
        Action::Cancel { request, attempt } => {
            numbers.extend([3, request.0, u64::from(*attempt)]);
        }
        Action::Reject {
            request,
            retry_after,
        } => {
            numbers.extend([4, request.0]);
            numbers.extend(optional(*retry_after));
        }
        Action::Fail(request) => numbers.extend([5, request.0]),
        Action::HealthCheck(engine) => numbers.extend([6, u64::from(engine.0)]),
        Action::Timer(after) => numbers.extend([7, *after]),
        Action::Subscribe => numbers.push(8),
    }
}

/// Returns the digest of one seed's actions, and the number of actions of each kind.
fn run(seed: u64, faults: bool) -> (String, [u64; 9]) {
    let mut draw = Draw(Pcg64Mcg::seed_from_u64(seed ^ 0x5eed));
    let mut initial = generated_settings(&mut draw);
    if faults {
        initial
            .classes
            .iter_mut()
            .for_each(|class| class.late_weight_ratio = 0.22);
    }
    let mut controller = Controller::new(initial.clone(), seed).expect("usable settings");
    let mut generator = Generator::new(draw, &initial, faults);
    let (mut hasher, mut counts) = (blake3::Hasher::new(), [0; 9]);
    let mut now = S;
    for step_number in 0..STEPS {
        let mut events = generator.events(now);
        if step_number == STEPS / 2 {
            events.push(Event::SettingsChanged(Box::new(
                generator.changed_settings(&initial),
            )));
        }
        let actions = step(&mut controller, now, &events);
        generator.observe(now, &actions);
        let mut numbers = Vec::new();
        for action in &actions {
            let start = numbers.len();
            encode(action, &mut numbers);
            counts[numbers[start] as usize] += 1;
        }
        let in_flight: usize = (0..ENGINES as u32)
            .map(|engine| controller.in_flight_at(EngineId(engine)))
            .sum();
        numbers.extend([u64::MAX, step_number, in_flight as u64]);
        numbers.iter().for_each(|number| {
            hasher.update(&number.to_le_bytes());
        });
        now += pause_after(step_number, faults);
    }
    (hasher.finalize().to_hex()[..32].to_owned(), counts)
}

/// Returns the time until the next batch. The process occasionally pauses for long and, with `faults`, also for short
/// times.
fn pause_after(step_number: u64, faults: bool) -> Micros {
    if step_number % 700 == 699 {
        900 * MS
    } else if faults && step_number % 90 == 89 {
        250 * MS
    } else {
        STEP
    }
}

/// Compares the digests of all seeds with the fixture. Returns the number of actions of each kind.
fn assert_recorded(fixture: &str, seeds: std::ops::Range<u64>, faults: bool) -> [u64; 9] {
    let mut text = String::new();
    let mut totals = [0; 9];
    for seed in seeds {
        let (digest, counts) = run(seed, faults);
        let _ = writeln!(text, "{seed} {digest}");
        totals
            .iter_mut()
            .zip(counts)
            .for_each(|(total, count)| *total += count);
    }
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(fixture);
    if std::env::var_os("UPDATE_FIXTURES").is_some() {
        std::fs::write(&path, &text).expect("the fixture can be written");
    }
    let recorded = std::fs::read_to_string(&path).expect("the fixture exists");
    assert_eq!(recorded, text, "the controller's actions have changed");
    totals
}

#[test]
fn generated_events_give_the_recorded_actions() {
    let totals = assert_recorded("action-digests.txt", 0..SEEDS, false);
    assert!(
        totals[1..].iter().all(|total| *total > 20),
        "each kind of action occurs: {totals:?}"
    );
}

#[test]
fn silent_engines_and_short_pauses_give_the_recorded_actions() {
    let totals = assert_recorded("action-digests-faults.txt", 100..116, true);
    assert!(
        totals[1..].iter().all(|total| *total > 5),
        "each kind of action occurs: {totals:?}"
    );
}
