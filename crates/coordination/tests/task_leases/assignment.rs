//! Tests of the assignment of shards to routers.

use hoptiller_coordination::{Holder, MIN_CONSECUTIVE_RENEWALS, Shard};

use crate::cluster::{TIMING, TestFleet, holder, shard};

#[test]
fn leases_spread_evenly_and_joins_and_leaves_move_the_fewest() {
    let mut cluster = TestFleet::new(100);
    for n in 0..6 {
        cluster.join(&format!("r{n}"), "1");
    }
    cluster.rounds(3 * MIN_CONSECUTIVE_RENEWALS);
    assert!(
        cluster.counts().iter().all(|n| (16..=17).contains(n)),
        "{:?}",
        cluster.counts()
    );
    let before = cluster.held();
    cluster.join("r6", "1");
    cluster.rounds(3 * MIN_CONSECUTIVE_RENEWALS);
    assert!(
        cluster.counts().iter().all(|n| (14..=15).contains(n)),
        "{:?}",
        cluster.counts()
    );
    let moved: Vec<(Shard, Holder)> = cluster
        .held()
        .into_iter()
        .filter(|(shard, holder)| before[shard] != *holder)
        .collect();
    assert_eq!(moved.len(), 14, "a seventh of the leases moves");
    assert!(
        moved.iter().all(|(_, holder)| holder.router == "r6"),
        "all to the new router: {moved:?}"
    );
    // A draining router releases its leases with its next two renewals, long before a term has passed.
    let draining = holder("r2", "1");
    cluster.client_mut(&draining).drain();
    cluster.rounds(3);
    assert_eq!(cluster.client(&draining).outstanding_leases(), 0);
    assert_eq!(
        (cluster.held().len(), cluster.count_held_by(&draining)),
        (100, 0)
    );
    assert!(
        cluster
            .routers_holding()
            .values()
            .filter(|routers| routers.len() == 1)
            .count()
            >= 86,
        "the other routers keep their leases"
    );
}

#[test]
fn a_flapping_router_gets_no_leases_and_moves_none() {
    let mut cluster = TestFleet::new(60);
    for n in 0..3 {
        cluster.join(&format!("r{n}"), "1");
    }
    cluster.rounds(3 * MIN_CONSECUTIVE_RENEWALS);
    let before = cluster.held();
    for incarnation in 0..10 {
        let flapping = holder("r9", &incarnation.to_string());
        cluster.join(&flapping.router, &flapping.incarnation);
        cluster.rounds(MIN_CONSECUTIVE_RENEWALS - 1);
        cluster.routers.remove(&flapping);
    }
    assert_eq!(cluster.held(), before);
}

#[test]
fn a_thousand_leases_of_a_dead_router_are_reassigned_together_after_a_term() {
    let mut cluster = TestFleet::new(1000);
    cluster.join("r0", "1");
    cluster.rounds(2 * MIN_CONSECUTIVE_RENEWALS);
    cluster.join("r1", "1");
    let dead = holder("r0", "1");
    assert_eq!(cluster.count_held_by(&dead), 1000);
    // The router dies before the other has renewed often enough to be assigned leases.
    cluster.rounds(1);
    cluster.routers.remove(&dead);
    let (died_at, last_token) = (
        cluster.now,
        cluster.config.lease_table().last_fencing_token(),
    );
    while cluster.count_held_by(&dead) > 0 {
        cluster.round();
        assert!(
            cluster.now < died_at + 2 * TIMING.term,
            "the leases never expire"
        );
    }
    assert!(
        cluster.now > died_at + TIMING.term,
        "leases expire only after the term has passed"
    );
    cluster.rounds(2);
    assert_eq!(cluster.count_held_by(&holder("r1", "1")), 1000);
    assert_eq!(
        cluster.config.lease_table().last_fencing_token(),
        last_token + 1000,
        "each lease has a new fencing token"
    );
}

#[test]
fn a_router_that_receives_no_responses_loses_its_leases() {
    let mut cluster = TestFleet::new(8);
    cluster.join("r0", "1");
    cluster.join("r1", "1");
    cluster.rounds(4 * MIN_CONSECUTIVE_RENEWALS);
    assert_eq!(cluster.counts(), [4, 4]);
    cluster.losing_responses.push("r0".into());
    cluster.rounds(7);
    assert_eq!(
        cluster.counts(),
        [0, 8],
        "its leases expire a little more than a term after the last response that it received"
    );
    cluster.losing_responses.clear();
    cluster.rounds(4 * MIN_CONSECUTIVE_RENEWALS);
    assert_eq!(cluster.counts(), [4, 4], "it is assigned leases again");
}

#[test]
fn two_incarnations_of_a_router_are_two_holders() {
    let mut cluster = TestFleet::new(4);
    cluster.join("r0", "1");
    cluster.join("r0", "2");
    cluster.rounds(4 * MIN_CONSECUTIVE_RENEWALS);
    assert_eq!(cluster.counts(), [2, 2]);
    assert_eq!(
        cluster
            .routers_holding()
            .values()
            .filter(|routers| routers.len() == 1)
            .count(),
        4
    );
}

#[test]
fn a_shard_that_one_router_releases_is_assigned_to_another() {
    let mut cluster = TestFleet::new(3);
    for n in 0..3 {
        cluster.join(&format!("r{n}"), "1");
    }
    cluster.rounds(4 * MIN_CONSECUTIVE_RENEWALS);
    let first = cluster.held()[&shard(0)].clone();
    cluster.client_mut(&first).request_release(shard(0));
    cluster.rounds(3);
    let second = cluster.held()[&shard(0)].clone();
    assert_ne!(
        second, first,
        "all hold the same number of leases, and another router is preferred"
    );
    // If there is no other router, the shard is assigned to the same router again.
    cluster.routers.retain(|holder, _| *holder == second);
    cluster.rounds(3 * MIN_CONSECUTIVE_RENEWALS);
    cluster.client_mut(&second).request_release(shard(0));
    cluster.rounds(3);
    assert_eq!(cluster.held()[&shard(0)], second);
    assert!(cluster.client(&second).is_holding(cluster.now, shard(0)));
}
