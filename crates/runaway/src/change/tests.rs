use super::*;

const K: FingerprintId = FingerprintId(1);

fn id(n: u64) -> AttemptId {
    AttemptId {
        statement: n,
        hop: 0,
    }
}

fn long(c: &mut Changes, n: u64, engine: u32) {
    c.long(n, K, id(n), n, EngineId(engine));
}

#[test]
fn one_alone_is_at_fault_and_many_are_not() {
    let mut c = Changes::default();
    assert_eq!(c.say(K, 0, 4), Says::Alone);
    long(&mut c, 10, 0);
    assert_eq!(c.say(K, 0, 4), Says::Alone);
    long(&mut c, 11, 1);
    assert_eq!(
        (c.say(K, 0, 4), c.say(K, PATIENCE, 4)),
        (Says::Wait, Says::Alone)
    );
    long(&mut c, 12, 0);
    long(&mut c, 13, 1);
    assert_eq!(c.say(K, 0, 4), Says::Changed);
}

#[test]
fn only_what_started_since_counts_as_usual() {
    let mut c = Changes::default();
    (10..14).for_each(|n| long(&mut c, n, n as u32));
    (0..9).for_each(|n| c.usual(K, id(100 + n), n));
    assert_eq!(
        c.say(K, 0, 4),
        Says::Changed,
        "they started before the first long one"
    );
    (0..3).for_each(|n| c.usual(K, id(200 + n), 20));
    assert_eq!(c.say(K, 0, 4), Says::Alone);
    (0..9).for_each(|n| c.usual(K, id(300 + n), 20));
    assert!(!c.knows(K), "strays among usual ones");
}

#[test]
fn all_on_one_engine_may_be_that_engine() {
    let mut c = Changes::default();
    (10..16).for_each(|n| long(&mut c, n, 3));
    assert_eq!(
        (c.say(K, PATIENCE, 4), c.say(K, 0, 1)),
        (Says::Alone, Says::Changed)
    );
    (10..16).for_each(|n| c.usual(K, id(n), n));
    assert!(!c.knows(K), "all turned out usual");
}

#[test]
fn counts_are_bounded() {
    let mut c = Changes::default();
    (0..1000).for_each(|n| c.long(n, FingerprintId(n), id(n), n, EngineId(0)));
    assert!(c.of.len() == KINDS && c.knows(FingerprintId(999)));
}
