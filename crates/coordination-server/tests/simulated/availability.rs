//! Availability, durability and log compaction under crashes and partitions.

use hoptiller_coordination::CommandResponse;
use hoptiller_coordination_server::replicated_log::LogSize;

use super::cluster::{Cluster, propose, renew};

#[test]
fn a_version_proposed_at_any_replica_comes_into_force_at_all_and_survives_a_full_restart() {
    let mut cluster = Cluster::new("any", 1);
    assert_eq!(
        cluster.complete(2, propose("one", 3)),
        Some(CommandResponse::Proposed(Ok(1)))
    );
    assert_eq!(
        cluster.complete(3, propose("two", 2)),
        Some(CommandResponse::Proposed(Ok(2)))
    );
    cluster.run(500);
    assert_eq!([1, 2, 3].map(|id| cluster.in_force(id)), [2, 2, 2]);
    for id in 1..=3 {
        cluster.stop(id);
    }
    for id in 1..=3 {
        cluster.start(id);
    }
    cluster.run(3000);
    assert_eq!([1, 2, 3].map(|id| cluster.in_force(id)), [2, 2, 2]);
    assert_eq!(
        cluster.complete(1, propose("one", 3)),
        Some(CommandResponse::Proposed(Ok(1))),
        "a repeated proposal is recognized by its name"
    );
    assert_eq!(
        cluster.complete(1, propose("three", 4)),
        Some(CommandResponse::Proposed(Ok(3)))
    );
}

#[test]
fn a_quorum_of_two_of_three_is_available_and_a_single_replica_is_not() {
    let mut cluster = Cluster::new("two", 2);
    assert_eq!(
        cluster.complete(1, propose("one", 3)),
        Some(CommandResponse::Proposed(Ok(1)))
    );
    let leader = cluster.leader().expect("a leader");
    cluster.stop(leader);
    let other = (1..=3).find(|id| *id != leader).expect("two are left");
    assert_eq!(
        cluster.complete(other, propose("two", 2)),
        Some(CommandResponse::Proposed(Ok(2)))
    );
    let last = (1..=3)
        .find(|id| *id != leader && *id != other)
        .expect("one more");
    cluster.stop(last);
    assert_eq!(cluster.complete(other, propose("three", 4)), None);
    cluster.start(last);
    cluster.run(4000);
    assert_eq!(
        cluster.complete(last, propose("four", 5)),
        Some(CommandResponse::Proposed(Ok(4))),
        "version three was decided once a quorum was running again"
    );
}

#[test]
fn a_partitioned_leader_grants_no_lease() {
    let mut cluster = Cluster::new("blocked", 3);
    assert_eq!(
        cluster.complete(1, propose("one", 3)),
        Some(CommandResponse::Proposed(Ok(1)))
    );
    let leader = cluster.leader().expect("a leader");
    for other in (1..=3).filter(|id| *id != leader) {
        cluster
            .blocked_links
            .extend([(leader, other), (other, leader)]);
    }
    assert_eq!(
        cluster.complete(leader, renew("r", 0, 0)),
        None,
        "a leader that is cut off still believes that it leads, but must not grant a lease without a quorum"
    );
    let other = (1..=3).find(|id| *id != leader).expect("others");
    assert!(matches!(
        cluster.complete(other, renew("r", 0, 0)),
        Some(CommandResponse::LeaseGranted(_))
    ));
    cluster.blocked_links.clear();
    cluster.run(4000);
    assert!(matches!(
        cluster.complete(leader, renew("r", 1, 1)),
        Some(CommandResponse::LeaseGranted(_))
    ));
}

#[test]
fn the_cluster_is_available_while_any_single_link_is_broken() {
    let mut cluster = Cluster::new("ring", 4);
    assert_eq!(
        cluster.complete(1, propose("one", 3)),
        Some(CommandResponse::Proposed(Ok(1)))
    );
    // Each pair of replicas in turn can communicate only through the third one.
    cluster.blocked_links = vec![(1, 2), (2, 1)];
    assert_eq!(
        cluster.complete(3, propose("two", 2)),
        Some(CommandResponse::Proposed(Ok(2)))
    );
    cluster.blocked_links = vec![(2, 3), (3, 2)];
    cluster.run(3000);
    assert_eq!(
        cluster.complete(1, propose("three", 4)),
        Some(CommandResponse::Proposed(Ok(3)))
    );
    cluster.blocked_links = vec![(3, 1), (1, 3)];
    cluster.run(3000);
    assert_eq!(
        cluster.complete(2, propose("four", 5)),
        Some(CommandResponse::Proposed(Ok(4)))
    );
}

#[test]
fn a_lagging_replica_gets_a_snapshot_and_the_log_is_compacted() {
    let mut cluster = Cluster::new("lag", 6);
    assert_eq!(
        cluster.complete(1, propose("0", 3)),
        Some(CommandResponse::Proposed(Ok(1)))
    );
    cluster.stop(3);
    for n in 1..=700u64 {
        let id = 1 + n % 2;
        assert!(
            matches!(
                cluster.complete(id, renew("r", 1, 1)),
                Some(CommandResponse::LeaseGranted(_))
            ),
            "{n}"
        );
    }
    let LogSize { decided, retained } = cluster.replicas[&1].log_size();
    assert!(
        decided > 700 && retained <= 600,
        "{decided} decided, {retained} retained"
    );
    cluster.start(3);
    cluster.run(3000);
    assert_eq!(
        cluster.replicas[&3].config_state(),
        cluster.replicas[&1].config_state()
    );
    assert!(matches!(
        cluster.complete(1, renew("r", 1, 1)),
        Some(CommandResponse::LeaseGranted(_))
    ));
    for id in 1..=3 {
        cluster.stop(id);
    }
    // Replica 1 alone has no quorum, so its state, including the lease, comes from its disk.
    cluster.start(1);
    assert_eq!(
        (
            cluster.in_force(1),
            cluster.replicas[&1].config_state().holders().count()
        ),
        (1, 1)
    );
}
