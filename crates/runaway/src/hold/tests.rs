use super::*;

const K: FingerprintId = FingerprintId(7);

fn holds(engines: u32) -> Holds {
    let mut h = Holds::default();
    let listed = |n| EngineStatus {
        engine: EngineId(n),
        up: true,
        classes: vec![true, n % 2 == 0],
    };
    h.listed(&(0..engines).map(listed).collect::<Vec<_>>());
    h
}

fn bound(news: &[Hold]) -> Vec<(u32, usize)> {
    news.iter()
        .map(|h| (h.max_in_flight, h.excluded_engines.len()))
        .collect()
}

#[test]
fn a_hold_grows_back_step_by_step_and_is_lifted() {
    let mut h = holds(5);
    h.found(1, K, 0, "x", true);
    let news = h.news();
    assert_eq!(
        bound(&news),
        [(2, 4)],
        "one beside the one that ran away, on one engine of five"
    );
    assert!(
        news[0].low_priority && h.news().is_empty(),
        "only news is told"
    );
    h.over(2, K);
    assert_eq!(bound(&h.news()), [(1, 4)]);
    for (runs, want) in [(3, (2, 3)), (3, (4, 1)), (3, (u32::MAX, 0))] {
        (0..runs).for_each(|_| h.ended(3, K, true));
        assert_eq!(bound(&h.news()), [want]);
    }
    assert!(h.kinds.is_empty());
}

#[test]
fn another_runaway_takes_it_back_and_asks_for_more() {
    let mut h = holds(5);
    h.found(1, K, 0, "x", false);
    h.over(2, K);
    (0..3).for_each(|_| h.ended(3, K, true));
    assert_eq!(h.kinds[&K].at_once, 2);
    h.ended(3, K, true);
    h.ended(3, K, false);
    assert_eq!(h.kinds[&K].clean, 0, "clean runs count in a row");
    h.found(4, K, 0, "x", false);
    assert_eq!((h.kinds[&K].at_once, h.kinds[&K].wanted), (1, 2 * CLEAN));
    (5..20).for_each(|n| h.found(n, K, 0, "x", false));
    assert_eq!(h.kinds[&K].wanted, MOST_CLEAN);
}

#[test]
fn all_routers_choose_the_same_engine_and_only_one_where_the_class_may_run() {
    let (mut one, mut two) = (holds(6), holds(6));
    for h in [&mut one, &mut two] {
        h.found(1, K, 1, "x", false);
    }
    let (a, b) = (one.news(), two.news());
    assert_eq!(a, b);
    let open: Vec<u32> = (0..6)
        .filter(|n| n % 2 == 0 && !a[0].excluded_engines.contains(&EngineId(*n)))
        .collect();
    assert_eq!(open.len(), 1);
    // Its engine goes: another takes its place.
    let listed = |n| EngineStatus {
        engine: EngineId(n),
        up: n != open[0],
        classes: vec![true, n % 2 == 0],
    };
    one.listed(&(0..6).map(listed).collect::<Vec<_>>());
    let news = one.news();
    assert!(
        (0..6).any(|n| n % 2 == 0
            && n != open[0]
            && !news[0].excluded_engines.contains(&EngineId(n)))
    );
}

#[test]
fn time_and_operators_free_a_kind_and_a_group_keeps_one_engine() {
    let mut h = holds(2);
    h.found(0, K, 0, "x", false);
    h.tick(10 * IDLE_STEP);
    assert_eq!(h.kinds[&K].at_once, 1, "not while the runaway runs");
    h.over(10 * IDLE_STEP, K);
    (11..14).for_each(|n| h.tick(n * IDLE_STEP));
    assert!(h.kinds.is_empty());
    h.found(0, K, 0, "x", false);
    assert!(h.release(K) && !h.release(K));
    h.keep_away(BTreeMap::from([(9, vec![EngineId(0)])]));
    assert_eq!(bound(&h.news()), [(u32::MAX, 1)]);
    h.keep_away(BTreeMap::from([(9, vec![EngineId(0), EngineId(1)])]));
    assert_eq!(
        bound(&h.news()),
        [(u32::MAX, 0)],
        "kept away from all, it would never run"
    );
}

#[test]
fn holds_are_bounded() {
    let mut h = holds(2);
    (0..1000).for_each(|n| h.found(n, FingerprintId(n), 0, "x", false));
    assert_eq!(h.kinds.len(), MOST_HOLDS);
    assert!(h.kinds.contains_key(&FingerprintId(999)));
}
