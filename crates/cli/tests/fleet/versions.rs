//! Proposals, rollouts and rejections of versions.

use std::time::{Duration, Instant};

use hoptiller_audit::{Record, SentVersions};
use hoptiller_coordination::{Document, Endpoint, EndpointList, EngineState, Rejection};
use hoptiller_coordination_client::wire::ProposalResponse;
use hoptiller_fault_harness::{LinkFaults, LinkId};

use crate::fleet_fixture::{FleetFixture, TIMEOUT, document};

/// Returns the machine kinds to which reports were sent from a time on, under the given version or later ones.
fn report_kinds(records: &[Record], from: u64, version: u64) -> Vec<String> {
    let kind_of = |record: &Record| match record {
        Record::Sent {
            at,
            kind,
            class,
            versions: Some(SentVersions { enforced, .. }),
            ..
        } if *at >= from && class == "report" && *enforced >= version => Some(kind.clone()),
        _ => None,
    };
    let mut kinds: Vec<String> = records.iter().filter_map(kind_of).collect();
    kinds.sort();
    kinds.dedup();
    kinds
}

#[test]
fn a_version_reaches_all_routers_and_reports_move_only_with_it() {
    let mut fixture = FleetFixture::new("all", 3, |_| {});
    assert!(fixture.wait_for_attempt_under("r1", 1, 1));
    let start = Instant::now();
    let loose = fixture.propose("loose", &document(&["a", "b"], 3));
    assert!(fixture.fleet.wait_until_in_force(loose, TIMEOUT));
    let elapsed = start.elapsed();
    let strict = fixture.propose("strict", &document(&["b"], 2));
    assert!(fixture.fleet.wait_until_in_force(strict, TIMEOUT));
    for router in ["r1", "r2", "r3"] {
        assert!(
            fixture.wait_for_attempt_under(router, strict, strict),
            "{router} sent nothing under version {strict}"
        );
    }
    println!("in force after {} ms", elapsed.as_millis());
    let records = fixture.finish().records;
    assert_eq!(
        report_kinds(&records, 0, strict),
        ["b"],
        "routers that enforce the last version send reports only where it permits"
    );
}

/// Returns a document whose endpoint list has the first of four engines draining.
fn document_that_drains_engine_0() -> Document {
    let mut drained = document(&["a", "b"], 2);
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .expect("later")
        .as_millis() as u64;
    let member = |n: usize| match n {
        0 => Endpoint {
            started_at_ms: now,
            state: EngineState::Draining,
        },
        _ => Endpoint {
            started_at_ms: 0,
            state: EngineState::Up,
        },
    };
    drained.list = Some(EndpointList::from_iter(
        (0..4).map(|n| (format!("engine-{n}"), member(n))),
    ));
    drained
}

/// Returns engine and version in force of each attempt that was not in doubt and enforced the given version or a later one.
fn attempts_enforcing(records: &[Record], version: u64) -> Vec<(String, u64)> {
    let attempt_of = |record: &Record| match record {
        Record::Sent {
            engine,
            versions:
                Some(SentVersions {
                    in_force,
                    enforced,
                    in_doubt: false,
                }),
            ..
        } if *enforced >= version => Some((engine.clone(), *in_force)),
        _ => None,
    };
    records.iter().filter_map(attempt_of).collect()
}

#[test]
fn a_drain_proposed_after_a_pending_version_is_enforced_at_once() {
    // With this term the version is still pending when the drain is enforced, on any machine. The rollout completes when
    // the links are restored.
    let mut fixture = FleetFixture::new("drain", 3, |topology| {
        topology.lease_term = Duration::from_secs(300)
    });
    assert!(
        fixture.wait_for_attempt_under("r1", 1, 1)
            && fixture.wait_for_attempt_under("r2", 1, 1)
            && fixture.wait_for_attempt_under("r3", 1, 1)
    );
    fixture.fleet.fail_links(LinkFaults::blocked(), |link| {
        matches!(link, LinkId::Router(0, _))
    });
    let pending = fixture.propose("move", &document(&["a", "b"], 2));
    let drain = fixture.propose("drain", &document_that_drains_engine_0());
    assert!(fixture.fleet.wait_until_enforced(2, drain, TIMEOUT));
    for router in ["r2", "r3"] {
        assert!(
            fixture.wait_for_attempt_under(router, 1, drain),
            "{router} continues"
        );
    }
    fixture.fleet.restore_links();
    assert!(
        fixture.fleet.wait_until_in_force(drain, TIMEOUT)
            && fixture.wait_for_attempt_under("r1", drain, drain)
    );
    let records = fixture.finish().records;
    let sent = attempts_enforcing(&records, drain);
    assert!(
        sent.iter().any(|(_, in_force)| *in_force < pending),
        "the version before it was still pending"
    );
    assert!(
        sent.iter().all(|(engine, _)| engine != "engine-0"),
        "routers that enforce the drain send nothing to the draining engine"
    );
}

#[test]
fn a_proposal_repeated_at_another_replica_is_one_version_and_a_flood_is_rejected() {
    // An isolated router blocks versions for the rest of its lease. The term is long enough to reach the limit of pending
    // versions even if proposals are slow.
    let mut fixture = FleetFixture::new("flood", 2, |topology| {
        topology.lease_term = Duration::from_secs(10);
    });
    // The caller repeats a proposal, as if the response had been lost.
    let number = fixture.propose("once", &document(&["a", "b"], 3));
    fixture.fleet.kill_replica(0);
    assert_eq!(fixture.propose("once", &document(&["a", "b"], 3)), number);
    fixture.fleet.start_replica(0).expect("runs");
    assert!(fixture.fleet.wait_until_in_force(number, TIMEOUT));
    fixture.fleet.fail_links(LinkFaults::blocked(), |link| {
        matches!(link, LinkId::Router(0, _))
    });
    let (mut accepted, mut rejected) = (0u64, 0);
    for n in 0..200u32 {
        match fixture
            .fleet
            .propose(&format!("flood {n}"), &document(&["a", "b"], 1 + n % 3))
        {
            Ok(ProposalResponse::Accepted(_)) => accepted += 1,
            Ok(ProposalResponse::Rejected(Rejection::TooManyPending { .. })) => rejected += 1,
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(accepted + rejected, 200);
    assert!(
        rejected > 0 && accepted > 0,
        "{accepted} accepted, {rejected} rejected"
    );
    fixture.fleet.restore_links();
    assert!(
        fixture
            .fleet
            .wait_until_in_force(number + accepted, TIMEOUT)
    );
    assert!(fixture.wait_for_attempt_under("r1", number + accepted, number + accepted));
    fixture.finish();
}
