//! Routers and replicas that are isolated, partitioned, paused, or have clocks that drift.

use hoptiller_audit::{Record, SentVersions};
use hoptiller_coordination_client::wire::ProposalResponse;
use hoptiller_fault_harness::{LinkFaults, LinkId};

use crate::fleet_fixture::{FleetFixture, TIMEOUT, document};

#[test]
fn a_router_isolated_from_replicas_delays_a_version_for_a_lease_and_then_rejects_loads() {
    let mut fixture = FleetFixture::new("cut", 3, |_| {});
    assert!(fixture.wait_for_attempt_under("r1", 1, 1));
    fixture
        .fleet
        .fail_links(LinkFaults::blocked(), |b| matches!(b, LinkId::Router(0, _)));
    let number = fixture.propose("move", &document(&["a", "b"], 3));
    // It still sends under its lease for the old version, so the others may not enforce the new one alone.
    assert!(fixture.fleet.wait_until_enforced(2, number, TIMEOUT));
    assert!(
        fixture.fleet.wait_until_in_force(number, TIMEOUT),
        "its lease expires"
    );
    assert!(fixture.wait_for_attempt_under("r2", number, number));
    let before = fixture.attempts("r1").len();
    assert!(
        fixture.fleet.wait_until(TIMEOUT, |s| {
            let all = s.recorder().records().expect("recorded");
            all.iter()
                .filter(|r| matches!(r, Record::Rejected { status: 503, .. }))
                .count()
                > 3
        }),
        "it rejects loads"
    );
    // Lookups continue, and are marked as in doubt.
    assert!(
        fixture.wait_for_attempt_in_doubt("r1"),
        "{before} attempts before"
    );
    fixture.fleet.restore_links();
    assert!(
        fixture.wait_for_attempt_under("r1", number, number),
        "it recovers"
    );
    let records = fixture.finish().records;
    let loads = records.iter().filter(
        |r| matches!(r, Record::Sent { class, versions: Some(SentVersions { in_doubt: true, .. }), .. } if class == "rent-load"),
    );
    assert_eq!(
        loads.count(),
        0,
        "what must never run twice is not sent in doubt"
    );
}

#[test]
fn a_leader_partitioned_from_the_other_replicas_renews_no_lease() {
    let mut fixture = FleetFixture::new("leader", 4, |_| {});
    assert!(fixture.wait_for_attempt_under("r1", 1, 1));
    let leader = fixture
        .fleet
        .statuses()
        .iter()
        .find_map(|s| s.leader)
        .expect("somebody leads") as usize
        - 1;
    fixture.fleet.fail_links(
        LinkFaults::blocked(),
        |b| matches!(b, LinkId::Replicas(a, c) if *a == leader || *c == leader),
    );
    // Half of the routers reach only that replica.
    fixture.fleet.fail_links(
        LinkFaults::blocked(),
        |b| matches!(b, LinkId::Router(r, k) if *r < 2 && *k != leader),
    );
    let mut number = 0;
    assert!(
        fixture.fleet.wait_until(TIMEOUT, |s| {
            match s.propose("move", &document(&["a", "b"], 3)) {
                Ok(ProposalResponse::Accepted(n)) => {
                    number = n;
                    true
                }
                _ => false,
            }
        }),
        "the other two replicas accept it"
    );
    assert!(fixture.fleet.wait_until_in_force(number, TIMEOUT));
    assert!(
        fixture.wait_for_attempt_under("r3", number, number)
            && fixture.wait_for_attempt_in_doubt("r1")
    );
    fixture.fleet.restore_links();
    assert!(fixture.wait_for_attempt_under("r1", number, number));
    fixture.finish();
}

#[test]
fn a_router_paused_for_longer_than_its_lease_does_nothing_under_it_when_resumed() {
    let mut fixture = FleetFixture::new("stopped", 2, |_| {});
    assert!(fixture.wait_for_attempt_under("r1", 1, 1));
    fixture.fleet.pause_router(0);
    fixture.update_client_routers();
    let number = fixture.propose("move", &document(&["a", "b"], 3));
    assert!(
        fixture.fleet.wait_until_in_force(number, TIMEOUT),
        "its lease expires though it can't know"
    );
    assert!(fixture.wait_for_attempt_under("r2", number, number));
    fixture.fleet.resume_router(0);
    fixture.update_client_routers();
    assert!(fixture.wait_for_attempt_under("r1", number, number));
    fixture.finish();
}

#[test]
fn one_way_losses_in_a_ring_and_lost_responses_do_not_block_a_version() {
    let mut fixture = FleetFixture::new("ring", 3, |_| {});
    let one_way = LinkFaults::blocked_requests();
    for (from, to) in [(0, 1), (1, 2), (2, 0)] {
        fixture.fleet.fail_link(LinkId::Replicas(from, to), one_way);
        let number = fixture.propose(
            &format!("around {from}"),
            &document(&["a", "b"], 2 + from as u32),
        );
        assert!(fixture.fleet.wait_until_in_force(number, TIMEOUT));
        fixture.fleet.restore_links();
    }
    // Responses to a router are lost: its renewals delay the version, and do not prolong its own lease.
    let lost = LinkFaults::blocked_responses();
    fixture
        .fleet
        .fail_links(lost, |b| matches!(b, LinkId::Router(1, _)));
    let number = fixture.propose("unheard", &document(&["b"], 3));
    assert!(fixture.fleet.wait_until_enforced(2, number, TIMEOUT));
    assert!(
        fixture.wait_for_attempt_in_doubt("r2"),
        "its lease expires though replicas receive its renewals"
    );
    fixture.fleet.restore_links();
    assert!(fixture.fleet.wait_until_in_force(number, TIMEOUT));
    assert!(fixture.wait_for_attempt_under("r2", number, number));
    fixture.finish();
}

#[test]
fn clocks_at_the_bound_of_drift_violate_no_rule() {
    // Clocks of routers run slow, those of replicas fast, by half the drift each.
    let mut fixture = FleetFixture::new("clocks", 2, |topology| {
        topology.drift_millionths = 50_000;
        topology.router_skews = vec![-25_000, 25_000];
        topology.replica_skews = vec![25_000; 3];
    });
    assert!(fixture.wait_for_attempt_under("r1", 1, 1));
    for (n, kinds) in [&["a", "b"][..], &["b"], &["a", "b"]]
        .into_iter()
        .enumerate()
    {
        fixture.fleet.fail_links(
            LinkFaults::blocked(),
            |b| matches!(b, LinkId::Router(r, _) if *r == n % 2),
        );
        let number = fixture.propose(&format!("change {n}"), &document(kinds, 3));
        assert!(fixture.fleet.wait_until_in_force(number, TIMEOUT));
        fixture.fleet.restore_links();
        assert!(
            fixture.wait_for_attempt_under("r1", number, number)
                && fixture.wait_for_attempt_under("r2", number, number)
        );
    }
    fixture.finish();
}
