//! Pins a digest of every action that the controller emits for seeded generated events: all kinds of events, settings
//! with every switch. A refactoring must leave each digest as it is.
//!
//! The digest is taken over explicit numbers and not over `Debug` output, so that renamed types do not change it.
//! `UPDATE_FIXTURES=1` rewrites the file; only a deliberate change of a decision justifies that.

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

/// An action as numbers: its kind, then its fields.
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
            memory_grant_mb: grant,
        } => {
            numbers.extend([2, request.0, u64::from(*priority), grant.to_bits()]);
        }
        Action::Cancel {
            request,
            attempt: number,
        } => numbers.extend([3, request.0, u64::from(*number)]),
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

/// The digest of one seed's actions, and how often each kind of action came.
fn play(seed: u64, faults: bool) -> (String, [u64; 9]) {
    let mut draw = Draw(Pcg64Mcg::seed_from_u64(seed ^ 0x5eed));
    let mut first = generated_settings(&mut draw);
    if faults {
        first
            .classes
            .iter_mut()
            .for_each(|class| class.late_weight_ratio = 0.22);
    }
    let mut controller = Controller::new(first.clone(), seed).expect("usable settings");
    let mut generator = Generator::new(draw, &first, faults);
    let (mut hasher, mut counts) = (blake3::Hasher::new(), [0; 9]);
    let mut now = S;
    for step_number in 0..STEPS {
        let mut events = generator.events(now);
        if step_number == STEPS / 2 {
            events.push(Event::SettingsChanged(Box::new(
                generator.changed_settings(&first),
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
        let held: usize = (0..ENGINES as u32)
            .map(|engine| controller.in_flight_at(EngineId(engine)))
            .sum();
        numbers.extend([u64::MAX, step_number, held as u64]);
        numbers.iter().for_each(|number| {
            hasher.update(&number.to_le_bytes());
        });
        now += pause_after(step_number, faults);
    }
    (hasher.finalize().to_hex()[..32].to_owned(), counts)
}

/// The time from one batch to the next: a pause of the whole process now and then, with `faults` also short ones.
fn pause_after(step_number: u64, faults: bool) -> Micros {
    if step_number % 700 == 699 {
        900 * MS
    } else if faults && step_number % 90 == 89 {
        250 * MS
    } else {
        STEP
    }
}

/// Plays all seeds and compares their digests with the fixture; returns how often each kind of action came.
fn assert_pinned(fixture: &str, seeds: std::ops::Range<u64>, faults: bool) -> [u64; 9] {
    let mut text = String::new();
    let mut totals = [0; 9];
    for seed in seeds {
        let (digest, counts) = play(seed, faults);
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
    let pinned = std::fs::read_to_string(&path).expect("the fixture exists");
    assert_eq!(pinned, text, "the controller's actions have changed");
    totals
}

#[test]
fn generated_events_give_the_pinned_actions() {
    let totals = assert_pinned("action-digests.txt", 0..SEEDS, false);
    assert!(
        totals[1..].iter().all(|total| *total > 20),
        "each kind of action occurs: {totals:?}"
    );
}

#[test]
fn silent_engines_and_short_pauses_give_the_pinned_actions() {
    let totals = assert_pinned("action-digests-faults.txt", 100..116, true);
    assert!(
        totals[1..].iter().all(|total| *total > 5),
        "each kind of action occurs: {totals:?}"
    );
}
