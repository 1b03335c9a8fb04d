//! Rules 8 and 9: contradicting configuration versions, and leases of fleet-wide tasks.

mod common;

use common::rules;
use hoptiller_audit::{Record, Rule, Rules, SentVersions, VersionRules, judge};

#[test]
fn rule_8_finds_attempts_under_contradicting_versions_and_permits_those_that_enforce_both() {
    let attempt = |at, router: &str, versions| Record::Sent {
        at,
        engine: "e".into(),
        kind: "a".into(),
        router: router.into(),
        trace: format!("t{at}"),
        class: "lookup".into(),
        attempt: 0,
        versions: Some(SentVersions::from(versions)),
    };
    let rules = |compatible: &[u64]| Rules {
        versions: Some(VersionRules {
            max_overlap: 1000,
            compatible: compatible.iter().copied().collect(),
            max_unheld: None,
        }),
        ..rules()
    };
    let check = |records: &[Record], compatible: &[u64]| {
        let verdict = judge(records, &rules(compatible));
        (
            verdict.violated_rules().contains(&Rule::ConsistentVersions),
            verdict
                .overlap
                .map(|overlap| (overlap.longest, overlap.acts)),
        )
    };
    let compliant = [
        attempt(1, "r1", (1, 1, false)),
        attempt(2, "r2", (1, 2, false)),
        attempt(9000, "r1", (1, 2, false)),
        attempt(9001, "r2", (2, 2, false)),
        attempt(9500, "r1", (1, 2, false)),
    ];
    assert_eq!(check(&compliant, &[]), (false, Some((0, 0))));
    let late = [
        attempt(1, "r1", (1, 1, false)),
        attempt(2, "r2", (2, 2, false)),
        attempt(502, "r1", (1, 1, false)),
        attempt(5002, "r1", (1, 1, false)),
    ];
    assert_eq!(check(&late, &[]), (true, Some((5000, 2))));
    assert_eq!(
        check(&late, &[2]),
        (false, Some((0, 0))),
        "version 2 does not contradict version 1"
    );
    assert_eq!(
        check(&late[..3], &[]),
        (false, Some((500, 1))),
        "the overlap is within the limit"
    );
    let in_doubt = [
        attempt(2, "r2", (2, 2, false)),
        attempt(5002, "r1", (1, 1, true)),
    ];
    assert_eq!(
        check(&in_doubt, &[]),
        (false, Some((0, 0))),
        "attempts in doubt are exempt"
    );
}

fn leased(at: u64, router: &str, fencing_token: u64, refused: bool) -> Record {
    let (resource, router, shard) = (
        "discovery".to_owned(),
        router.to_owned(),
        "list/0".to_owned(),
    );
    Record::LeasedRequest {
        at,
        resource,
        router,
        shard,
        fencing_token,
        refused,
    }
}

#[test]
fn rule_9_finds_an_operation_under_an_older_lease_a_shared_token_and_an_unheld_shard() {
    let version_rules = VersionRules {
        max_overlap: 100,
        max_unheld: Some(5_000),
        ..Default::default()
    };
    let rules = Rules {
        versions: Some(version_rules),
        ..rules()
    };
    let compliant = [
        leased(0, "a", 1, false),
        leased(1_000, "a", 1, false),
        leased(4_000, "b", 2, false),
        leased(4_050, "a", 1, false), // within the permitted overlap
        leased(6_000, "a", 1, true),  // refused, so without effect
        leased(8_000, "b", 2, false),
    ];
    let verdict = judge(&compliant, &rules);
    assert!(verdict.violations.is_empty(), "{:?}", verdict.violations);
    let leases = verdict.leases.expect("a lease report");
    assert_eq!(
        (
            leases.acts,
            leases.refused,
            leases.fencing_tokens,
            leases.overlaps
        ),
        (5, 1, 2, 1)
    );
    assert_eq!((leases.longest_overlap, leases.longest_gap), (50, 3_950));
    let violations_with = |more: Record| {
        let mut all = compliant.to_vec();
        all.push(more);
        let violations = judge(&all, &rules).violations;
        assert!(
            violations
                .iter()
                .all(|violation| violation.rule == Rule::SingleLeaseHolder),
            "{violations:?}"
        );
        violations
            .into_iter()
            .map(|violation| violation.description)
            .collect::<Vec<_>>()
            .join("; ")
    };
    let older = violations_with(leased(9_000, "a", 1, false));
    assert!(
        older.contains("a acted on discovery under number 1, 5 ms after b under 2"),
        "{older}"
    );
    let shared = violations_with(leased(9_000, "c", 2, false));
    assert!(
        shared.contains("b and c both acted under number 2"),
        "{shared}"
    );
    let unheld = violations_with(leased(14_000, "b", 2, false));
    assert!(unheld.contains("nobody did it for 6 ms"), "{unheld}");
}
