use super::*;

const S: u64 = 1_000_000;

fn job(work: f64) -> Job {
    let (io, memory, grant, set, holds, priority) = (0.0, 10.0, None, None, false, 1);
    Job {
        work,
        threads: 1.0,
        io,
        memory,
        grant,
        set,
        holds,
        priority,
        then: None,
    }
}

fn warm(spec: Spec) -> Model {
    Model::new(spec, 100 * S, false)
}

/// When each of some jobs ends, in ms after they all came.
fn ends(model: &mut Model, jobs: Vec<Job>) -> Vec<u64> {
    let n = jobs.len();
    let start = 100 * S;
    for (id, job) in jobs.into_iter().enumerate() {
        assert_eq!(model.admit(start, id as u64, job), Admission::Taken);
    }
    let mut at = vec![0; n];
    while let Some(next) = model.next() {
        for id in model.advance(next) {
            at[id as usize] = (next - start) / 1000;
        }
    }
    at
}

#[test]
fn cores_are_shared_and_past_a_point_lost() {
    let spec = Spec {
        cores: 2.0,
        thrash_at: 2.0,
        ..Spec::default()
    };
    assert_eq!(ends(&mut warm(spec.clone()), vec![job(1e6)]), [1000]);
    assert_eq!(ends(&mut warm(spec.clone()), vec![job(1e6); 4]), [2000; 4]);
    // Four threads a core, twice the point: half of the work is lost.
    assert_eq!(ends(&mut warm(spec), vec![job(1e6); 8]), [8000; 8]);
}

#[test]
fn a_load_holds_its_set_until_it_ends() {
    let load = Job {
        holds: true,
        set: Some(7),
        ..job(1e6)
    };
    let lookup = Job {
        set: Some(7),
        ..job(1e5)
    };
    let got = ends(
        &mut warm(Spec::default()),
        vec![
            load,
            lookup.clone(),
            Job {
                set: Some(8),
                ..lookup
            },
        ],
    );
    assert_eq!(got, [1000, 1100, 100]);
}

#[test]
fn memory_is_waited_for_and_what_lacks_it_spills() {
    let spec = Spec {
        memory: 100.0,
        ..Spec::default()
    };
    let big = Job {
        memory: 80.0,
        ..job(1e6)
    };
    assert_eq!(
        ends(&mut warm(spec.clone()), vec![big.clone(), big.clone()]),
        [1000, 2000]
    );
    let short = Job {
        grant: Some(40.0),
        ..big
    };
    assert_eq!(
        ends(&mut warm(spec), vec![short.clone(), short]),
        [2000, 2000]
    );
}

#[test]
fn a_cold_engine_is_slow_and_falls_over_when_it_is_sent_too_much() {
    let spec = Spec {
        cores: 1.0,
        cold_from: 0.5,
        ..Spec::default()
    };
    let mut cold = Model::new(spec.clone(), 100 * S, true);
    let slow = ends(&mut cold, vec![job(1e6)])[0];
    assert!((1500..2000).contains(&slow), "{slow}");
    // Half a core for 2 s, three times: 3 s of work and no more.
    let mut cold = Model::new(spec.clone(), 100 * S, true);
    assert_eq!(cold.admit(100 * S, 0, job(2.9e6)), Admission::Taken);
    assert_eq!(cold.admit(100 * S, 1, job(0.2e6)), Admission::Fell);
    assert!(cold.has_fallen() && cold.next().is_none());
    let mut warm = warm(spec);
    assert_eq!(warm.admit(100 * S, 0, job(9e6)), Admission::Taken);
}

#[test]
fn two_loads_that_need_each_others_sets_stand_for_ever_and_name_each_other() {
    let mut m = warm(Spec::default());
    let load = |set, then| Job {
        holds: true,
        set: Some(set),
        then: Some((0.5, then)),
        ..job(1e6)
    };
    m.admit(100 * S, 0, load(1, 2));
    m.admit(100 * S, 1, load(2, 1));
    assert!(m.advance(200 * S).is_empty());
    let stands = |m: &Model, id| m.course(id).and_then(|c| c.stands);
    assert_eq!(
        (stands(&m, 0), stands(&m, 1)),
        (Some(Stands::Behind(1)), Some(Stands::Behind(0)))
    );
    assert_eq!(m.course(0).map(|c| (c.done * 100.0).round()), Some(50.0));
    assert!(m.kill(200 * S, 1) && !m.kill(200 * S, 1));
    assert_eq!(m.advance(201 * S), [0]);
}

#[test]
fn a_paused_statement_keeps_what_it_holds_and_goes_on_where_it_stood() {
    let mut m = warm(Spec::default());
    let load = Job {
        holds: true,
        set: Some(1),
        ..job(1e6)
    };
    m.admit(100 * S, 0, load.clone());
    m.admit(
        100 * S,
        1,
        Job {
            holds: false,
            ..load
        },
    );
    assert!(m.pause(100 * S + S / 2, 0, true) && !m.pause(100 * S, 9, true));
    assert!(m.advance(200 * S).is_empty());
    assert_eq!(m.course(0).and_then(|c| c.stands), Some(Stands::Paused));
    assert_eq!(m.course(1).and_then(|c| c.stands), Some(Stands::Behind(0)));
    m.pause(200 * S, 0, false);
    assert_eq!(m.course(0).map(|c| c.ran), Some(S / 2));
    assert_eq!((m.advance(201 * S), m.advance(202 * S)), (vec![0], vec![1]));
}

#[test]
fn ending_a_statement_stops_its_work_only_where_engines_can() {
    for cancels in [true, false] {
        let mut m = warm(Spec {
            cancels,
            ..Spec::default()
        });
        m.admit(100 * S, 0, job(1e6));
        assert_eq!(m.cancel(100 * S + 10, 0), cancels);
        assert_eq!(m.load().in_flight, usize::from(!cancels));
    }
}
