//! Replacement of a lost replica.

use hoptiller_coordination::CommandResponse;
use hoptiller_coordination_server::membership::ReplaceError;

use super::cluster::{Cluster, propose};

#[test]
fn a_lost_replica_is_replaced_and_the_new_one_counts_for_a_quorum() {
    let mut cluster = Cluster::new("lost", 8);
    assert_eq!(
        cluster.complete(1, propose("one", 3)),
        Some(CommandResponse::Proposed(Ok(1)))
    );
    cluster.stop(3);
    std::fs::remove_dir_all(cluster.dir.join("3")).expect("lost");
    assert!(!cluster.join(4), "it is not a member yet");
    // Commands in flight when the membership changes are not lost.
    let earlier = cluster.submit(1, propose("two", 2));
    let request = cluster.submit_replacement(2, 3, 4);
    let concurrent = cluster.submit(2, propose("three", 1));
    assert_eq!(cluster.wait_for_replacement(2, request), Some(Ok(2)));
    assert!(cluster.join(4));
    cluster.run(2000);
    assert!(matches!(
        cluster.responses.remove(&(1, earlier)),
        Some(CommandResponse::Proposed(Ok(2 | 3)))
    ));
    assert!(matches!(
        cluster.responses.remove(&(2, concurrent)),
        Some(CommandResponse::Proposed(Ok(2 | 3)))
    ));
    cluster.stop(1);
    assert_eq!(
        cluster.complete(4, propose("four", 4)),
        Some(CommandResponse::Proposed(Ok(4))),
        "replicas 2 and 4 are a quorum of three"
    );
    cluster.run(500);
    cluster.start(1);
    cluster.run(3000);
    assert_eq!(
        cluster.replicas[&1].config_state(),
        cluster.replicas[&4].config_state()
    );
    assert_eq!(cluster.replicas[&1].membership().replica_ids(), [1, 2, 4]);
    let repeated = cluster.submit_replacement(4, 3, 4);
    assert_eq!(
        cluster.wait_for_replacement(4, repeated),
        Some(Ok(2)),
        "a repeated replacement has no effect"
    );
    let unknown = cluster.submit_replacement(4, 3, 5);
    assert_eq!(
        cluster.wait_for_replacement(4, unknown),
        Some(Err(ReplaceError::UnknownReplica(3)))
    );
}

#[test]
fn a_crash_at_any_step_of_a_replacement_leaves_the_cluster_available() {
    for steps in 0..24 {
        let mut cluster = Cluster::new(&format!("when{steps}"), 9);
        assert_eq!(
            cluster.complete(1, propose("one", 3)),
            Some(CommandResponse::Proposed(Ok(1)))
        );
        cluster.blocked_links = vec![(3, 1), (3, 2), (1, 3), (2, 3)];
        cluster.submit_replacement(2, 3, 4);
        (0..steps).for_each(|_| cluster.step());
        cluster.stop(1);
        cluster.run(300);
        cluster.start(1);
        cluster.run(2500);
        assert!(cluster.join(4), "after {steps} steps");
        cluster.run(1000);
        cluster.stop(2);
        assert_eq!(
            cluster.complete(1, propose("two", 2)),
            Some(CommandResponse::Proposed(Ok(2))),
            "after {steps} steps"
        );
        cluster.start(2);
        // The replaced replica does not know of the replacement, and must stop once messages reach it.
        cluster.blocked_links.clear();
        cluster.run(2500);
        assert!(!cluster.replicas.contains_key(&3), "after {steps} steps");
        assert_eq!(
            cluster.replicas[&2].config_state(),
            cluster.replicas[&4].config_state(),
            "after {steps} steps"
        );
    }
}

#[test]
fn entries_decided_after_a_replacement_are_void_and_proposed_again() {
    let mut cluster = Cluster::new("void", 10);
    assert_eq!(
        cluster.complete(1, propose("one", 3)),
        Some(CommandResponse::Proposed(Ok(1)))
    );
    let leader = cluster.leader().expect("a leader");
    let lost = (1..=3).find(|id| *id != leader).expect("others");
    // Both entries are sent together and decided together.
    cluster.submit_replacement(leader, lost, 4);
    let request = cluster.submit(leader, propose("two", 2));
    while cluster.replicas[&leader].membership().number == 1 {
        cluster.step();
    }
    assert_eq!(
        cluster.replicas[&leader].config_state().latest(),
        1,
        "the entry was decided under the previous membership and is void"
    );
    assert!(cluster.join(4));
    cluster.run(3000);
    assert_eq!(
        cluster.responses.remove(&(leader, request)),
        Some(CommandResponse::Proposed(Ok(2))),
        "the entry was proposed again"
    );
    assert_eq!(cluster.replicas[&4].config_state().latest(), 2);
}
