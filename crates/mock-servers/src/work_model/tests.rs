use super::*;

/// One second in µs.
const SECOND_MICROS: u64 = 1_000_000;

fn job(work: f64) -> Job {
    Job {
        memory_mb: 10.0,
        ..Job::new(work, 1.0)
    }
}

fn warm_model(parameters: WorkModelParameters) -> WorkModel {
    WorkModel::new(parameters, 100 * SECOND_MICROS, false)
}

/// Returns the time in ms at which each job ends, if all are admitted at once at 0 ms.
fn end_times_ms(model: &mut WorkModel, jobs: Vec<Job>) -> Vec<u64> {
    let count = jobs.len();
    let start = 100 * SECOND_MICROS;
    for (id, job) in jobs.into_iter().enumerate() {
        assert_eq!(model.admit(start, id as u64, job), Admission::Admitted);
    }
    let mut end_times = vec![0; count];
    while let Some(next) = model.next_event_at() {
        for id in model.advance(next) {
            end_times[id as usize] = (next - start) / 1000;
        }
    }
    end_times
}

#[test]
fn cores_are_shared_and_throughput_falls_past_the_thrashing_threshold() {
    let parameters = WorkModelParameters {
        cores: 2.0,
        thrashing_threads_per_core: 2.0,
        ..WorkModelParameters::default()
    };
    assert_eq!(
        end_times_ms(&mut warm_model(parameters.clone()), vec![job(1e6)]),
        [1000]
    );
    assert_eq!(
        end_times_ms(&mut warm_model(parameters.clone()), vec![job(1e6); 4]),
        [2000; 4]
    );
    // Four threads per core are twice the threshold, which halves the throughput.
    assert_eq!(
        end_times_ms(&mut warm_model(parameters), vec![job(1e6); 8]),
        [8000; 8]
    );
}

#[test]
fn a_locked_data_set_blocks_other_statements_until_its_holder_ends() {
    let load = Job {
        locks_data_sets: true,
        data_set: Some(7),
        ..job(1e6)
    };
    let lookup = Job {
        data_set: Some(7),
        ..job(1e5)
    };
    let end_times = end_times_ms(
        &mut warm_model(WorkModelParameters::default()),
        vec![
            load,
            lookup.clone(),
            Job {
                data_set: Some(8),
                ..lookup
            },
        ],
    );
    assert_eq!(end_times, [1000, 1100, 100]);
}

#[test]
fn statements_wait_for_memory_and_spill_if_they_are_granted_less() {
    let parameters = WorkModelParameters {
        memory_mb: 100.0,
        ..WorkModelParameters::default()
    };
    let big = Job {
        memory_mb: 80.0,
        ..job(1e6)
    };
    assert_eq!(
        end_times_ms(
            &mut warm_model(parameters.clone()),
            vec![big.clone(), big.clone()]
        ),
        [1000, 2000]
    );
    let short = Job {
        memory_grant_mb: Some(40.0),
        ..big
    };
    assert_eq!(
        end_times_ms(&mut warm_model(parameters), vec![short.clone(), short]),
        [2000, 2000]
    );
}

#[test]
fn a_cold_engine_is_slow_and_crashes_under_overload() {
    let parameters = WorkModelParameters {
        cores: 1.0,
        cold_speed_fraction: 0.5,
        ..WorkModelParameters::default()
    };
    let mut cold = WorkModel::new(parameters.clone(), 100 * SECOND_MICROS, true);
    let slow = end_times_ms(&mut cold, vec![job(1e6)])[0];
    assert!((1500..2000).contains(&slow), "{slow}");
    // At half speed, one core does 1 s of work in the window of 2 s. The overload factor of 3 allows 3 s of work.
    let mut cold = WorkModel::new(parameters.clone(), 100 * SECOND_MICROS, true);
    assert_eq!(
        cold.admit(100 * SECOND_MICROS, 0, job(2.9e6)),
        Admission::Admitted
    );
    assert_eq!(
        cold.admit(100 * SECOND_MICROS, 1, job(0.2e6)),
        Admission::Crashed
    );
    assert!(cold.has_crashed() && cold.next_event_at().is_none());
    let mut warm = warm_model(parameters);
    assert_eq!(
        warm.admit(100 * SECOND_MICROS, 0, job(9e6)),
        Admission::Admitted
    );
}

#[test]
fn statements_that_lock_each_others_data_sets_deadlock_and_block_each_other() {
    let mut model = warm_model(WorkModelParameters::default());
    let load = |first, second| Job {
        locks_data_sets: true,
        data_set: Some(first),
        second_data_set: Some(SecondDataSet {
            needed_from: 0.5,
            data_set: second,
        }),
        ..job(1e6)
    };
    model.admit(100 * SECOND_MICROS, 0, load(1, 2));
    model.admit(100 * SECOND_MICROS, 1, load(2, 1));
    assert!(model.advance(200 * SECOND_MICROS).is_empty());
    let blocked = |model: &WorkModel, id| model.progress(id).and_then(|progress| progress.blocked);
    assert_eq!(
        (blocked(&model, 0), blocked(&model, 1)),
        (
            Some(BlockedState::BlockedBy(1)),
            Some(BlockedState::BlockedBy(0))
        )
    );
    assert_eq!(
        model
            .progress(0)
            .map(|progress| (progress.completed * 100.0).round()),
        Some(50.0)
    );
    assert!(model.kill(200 * SECOND_MICROS, 1) && !model.kill(200 * SECOND_MICROS, 1));
    assert_eq!(model.advance(201 * SECOND_MICROS), [0]);
}

#[test]
fn a_paused_statement_keeps_its_locks_and_its_progress() {
    let mut model = warm_model(WorkModelParameters::default());
    let load = Job {
        locks_data_sets: true,
        data_set: Some(1),
        ..job(1e6)
    };
    model.admit(100 * SECOND_MICROS, 0, load.clone());
    model.admit(
        100 * SECOND_MICROS,
        1,
        Job {
            locks_data_sets: false,
            ..load
        },
    );
    assert!(
        model.set_paused(100 * SECOND_MICROS + SECOND_MICROS / 2, 0, true)
            && !model.set_paused(100 * SECOND_MICROS, 9, true)
    );
    assert!(model.advance(200 * SECOND_MICROS).is_empty());
    assert_eq!(
        model.progress(0).and_then(|progress| progress.blocked),
        Some(BlockedState::Paused)
    );
    assert_eq!(
        model.progress(1).and_then(|progress| progress.blocked),
        Some(BlockedState::BlockedBy(0))
    );
    model.set_paused(200 * SECOND_MICROS, 0, false);
    assert_eq!(
        model.progress(0).map(|progress| progress.run_micros),
        Some(SECOND_MICROS / 2)
    );
    assert_eq!(
        (
            model.advance(201 * SECOND_MICROS),
            model.advance(202 * SECOND_MICROS)
        ),
        (vec![0], vec![1])
    );
}

#[test]
fn cancelling_a_statement_stops_its_work_only_if_the_parameters_say_so() {
    for cancel_stops_work in [true, false] {
        let mut model = warm_model(WorkModelParameters {
            cancel_stops_work,
            ..WorkModelParameters::default()
        });
        model.admit(100 * SECOND_MICROS, 0, job(1e6));
        assert_eq!(model.cancel(100 * SECOND_MICROS + 10, 0), cancel_stops_work);
        assert_eq!(model.load().in_flight, usize::from(!cancel_stops_work));
    }
}
