//! Fleets with replicas that are killed, lose their disks or are replaced.

use hoptiller_coordination_client::wire::ProposalResponse;
use hoptiller_fault_harness::TestFleet;

use crate::fleet_fixture::{FleetFixture, TIMEOUT, document};

/// Starts a replica, and checks that it ends with the exit code for a failure outside of the program.
fn assert_rejected_on_start(fixture: &mut FleetFixture, replica: usize) {
    fixture.fleet.start_replica(replica).expect("starts");
    let process = fixture.fleet.replica(replica).expect("there");
    let status = process.wait_timeout(TIMEOUT);
    assert_eq!(status.and_then(|status| status.code()), Some(3));
}

fn assert_logged(fixture: &FleetFixture, process: &str, text: &str) {
    let log = fixture.fleet.log(process);
    assert!(log.contains(text), "{log}");
}

#[test]
fn without_replicas_the_fleet_serves_on_and_versions_continue_afterwards() {
    let mut fixture = FleetFixture::new("gone", 2, |_| {});
    let number = fixture.propose("move", &document(&["a", "b"], 3));
    assert!(
        fixture.fleet.wait_until_in_force(number, TIMEOUT)
            && fixture.wait_for_attempt_under("r1", number, number)
    );
    (0..3).for_each(|replica| fixture.fleet.kill_replica(replica));
    assert!(fixture.wait_for_attempt_in_doubt("r1") && fixture.wait_for_attempt_in_doubt("r2"));
    // A router that starts while no replica responds knows the versions that its former incarnation stored.
    fixture.fleet.kill_router(0);
    fixture.fleet.start_router(0).expect("runs");
    fixture.update_client_routers();
    let before = fixture.attempts("r1").len();
    fixture.wait_until(|fixture| fixture.attempts("r1").len() != before);
    assert_eq!(
        fixture
            .attempts("r1")
            .last()
            .map(|versions| (versions.in_force, versions.in_doubt)),
        Some((number, true)),
        "it serves lookups in doubt"
    );
    for replica in 0..3 {
        fixture.fleet.start_replica(replica).expect("runs");
    }
    let next = fixture.propose("next", &document(&["a"], 2));
    assert_eq!(next, number + 1, "no number is used twice");
    assert!(fixture.fleet.wait_until_in_force(next, TIMEOUT));
    assert!(
        fixture.wait_for_attempt_under("r1", next, next)
            && fixture.wait_for_attempt_under("r2", next, next)
    );
    fixture.finish();
}

#[test]
fn a_replica_whose_disk_was_lost_or_put_back_is_rejected_and_two_continue() {
    let mut fixture = FleetFixture::new("disk", 2, |_| {});
    fixture.fleet.kill_replica(2);
    fixture.fleet.save_disk(2).expect("copied");
    fixture.fleet.start_replica(2).expect("runs");
    let two = fixture.propose("two", &document(&["a", "b"], 3));
    assert!(fixture.fleet.wait_until_in_force(two, TIMEOUT));
    assert!(fixture.fleet.wait_until(TIMEOUT, |fleet| {
        fleet
            .statuses()
            .iter()
            .filter(|status| status.versions.last >= two)
            .count()
            == 3
    }));
    fixture.fleet.kill_replica(2);
    fixture.fleet.restore_disk(2).expect("put back");
    assert_rejected_on_start(&mut fixture, 2);
    assert_logged(&fixture, "keeper-3", "restored from a copy");
    fixture.fleet.kill_replica(2);
    fixture.fleet.lose_disk(2).expect("gone");
    assert_rejected_on_start(&mut fixture, 2);
    assert_logged(&fixture, "keeper-3", "had disk");
    let three = fixture.propose("three", &document(&["a"], 2));
    assert!(fixture.fleet.wait_until_in_force(three, TIMEOUT));
    // Without a second replica no majority is left: no proposal is accepted, and the version in force stays.
    fixture.fleet.kill_replica(1);
    fixture.fleet.lose_disk(1).expect("gone");
    assert_rejected_on_start(&mut fixture, 1);
    assert!(fixture.wait_for_attempt_in_doubt("r1"));
    let alone = fixture.fleet.propose("four", &document(&["b"], 2));
    assert!(
        !matches!(alone, Ok(ProposalResponse::Accepted(_))),
        "{alone:?}"
    );
    assert_eq!(
        fixture
            .fleet
            .statuses()
            .first()
            .map(|status| status.versions.in_force),
        Some(three)
    );
    fixture.finish();
}

#[test]
fn a_lost_replica_is_replaced_while_routers_are_served() {
    let mut fixture = FleetFixture::new("replace", 2, |_| {});
    fixture.fleet.kill_replica(2);
    fixture.fleet.save_disk(2).expect("copied");
    fixture.fleet.lose_disk(2).expect("gone");
    let new = fixture
        .fleet
        .replace_replica(2)
        .expect("asked")
        .expect("replaced");
    // Until two replicas know the new membership, the one that knows it may not fail. After that any one may.
    let informed = |fleet: &mut TestFleet| {
        fleet
            .statuses()
            .iter()
            .filter(|status| status.membership == 2)
            .count()
    };
    assert!(
        fixture
            .fleet
            .wait_until(TIMEOUT, |fleet| informed(fleet) == 2)
    );
    fixture.fleet.kill_replica(0);
    fixture.fleet.start_replica(new).expect("it joins");
    let two = fixture.propose("two", &document(&["a", "b"], 3));
    assert!(
        fixture.fleet.wait_until_in_force(two, TIMEOUT),
        "the new replica and replica 1 are a majority"
    );
    assert!(
        fixture.wait_for_attempt_under("r1", two, two)
            && fixture.wait_for_attempt_under("r2", two, two)
    );
    fixture.fleet.start_replica(0).expect("runs");
    let members = |fleet: &mut TestFleet| {
        fleet
            .statuses()
            .iter()
            .filter(|status| status.membership == 2 && status.replicas == [1, 2, 4])
            .count()
    };
    assert!(
        fixture
            .fleet
            .wait_until(TIMEOUT, |fleet| members(fleet) == 3),
        "{:?}",
        fixture.fleet.statuses()
    );
    // The new replica survives a restart, and with one of the old ones it is a majority.
    fixture.fleet.kill_replica(new);
    fixture
        .fleet
        .start_replica(new)
        .expect("it continues from its disk");
    fixture.fleet.kill_replica(1);
    let three = fixture.propose("three", &document(&["a"], 2));
    assert!(fixture.fleet.wait_until_in_force(three, TIMEOUT));
    fixture.fleet.start_replica(1).expect("runs");
    // The lost replica returns with a copy of its disk, and is rejected because it was replaced.
    fixture.fleet.restore_disk(2).expect("put back");
    assert_rejected_on_start(&mut fixture, 2);
    assert_logged(&fixture, "keeper-3", "has replaced the sender");
    // The new replica loses its disk, and with it its promises, so it may not join again.
    fixture.fleet.kill_replica(new);
    fixture.fleet.lose_disk(new).expect("gone");
    assert!(fixture.fleet.start_replica(new).is_err());
    assert_logged(&fixture, "keeper-4", "rejects the join request");
    let four = fixture.propose("four", &document(&["a", "b"], 2));
    assert!(
        fixture.fleet.wait_until_in_force(four, TIMEOUT)
            && fixture.wait_for_attempt_under("r1", four, four)
    );
    fixture.finish();
}
