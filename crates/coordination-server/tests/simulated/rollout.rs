//! Versions and leases across leader changes and message loss.

use hoptiller_coordination::{CommandResponse, Rejection};

use super::cluster::{Cluster, LEASE_TIMING, propose, renew};

#[test]
fn a_version_waits_for_a_lease_across_a_leader_change_but_no_longer_than_its_term() {
    let mut cluster = Cluster::new("term", 5);
    assert_eq!(
        cluster.complete(1, propose("one", 3)),
        Some(CommandResponse::Proposed(Ok(1)))
    );
    assert!(matches!(
        cluster.complete(1, renew("r", 0, 0)),
        Some(CommandResponse::LeaseGranted(_))
    ));
    let granted_at = cluster.now;
    cluster.run(1500);
    let leader = cluster.leader().expect("a leader");
    cluster.stop(leader);
    let other = (1..=3).find(|id| *id != leader).expect("others");
    assert_eq!(
        cluster.complete(other, propose("two", 2)),
        Some(CommandResponse::Proposed(Ok(2)))
    );
    while cluster.now < granted_at + LEASE_TIMING.term {
        assert_eq!(cluster.in_force(other), 1, "at {}", cluster.now);
        cluster.step();
    }
    cluster.run(4000);
    assert_eq!(cluster.in_force(other), 2);
}

#[test]
fn a_rejected_version_stays_rejected_when_its_entry_is_proposed_again() {
    let mut cluster = Cluster::new("again", 7);
    assert_eq!(
        cluster.complete(1, propose("0", 3)),
        Some(CommandResponse::Proposed(Ok(1)))
    );
    assert!(matches!(
        cluster.complete(1, renew("r", 0, 0)),
        Some(CommandResponse::LeaseGranted(_))
    ));
    for n in 0..8 {
        assert!(matches!(
            cluster.complete(1, propose(&format!("p{n}"), 1 + n % 3)),
            Some(CommandResponse::Proposed(Ok(_)))
        ));
    }
    cluster.loss_interval = 3;
    let rejected = cluster.complete(2, propose("late", 9));
    assert_eq!(
        rejected,
        Some(CommandResponse::Proposed(Err(Rejection::TooManyPending {
            pending: 8
        })))
    );
    cluster.loss_interval = 0;
    cluster.run(6000);
    let config = cluster.replicas[&1].config_state();
    assert_eq!(
        (config.in_force(), config.latest()),
        (9, 9),
        "the lease has expired, and the rejected version was not added"
    );
}
