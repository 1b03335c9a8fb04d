//! Rules 8 and 9: contradicting configuration versions, and leases of fleet-wide tasks.

mod common;

use common::rules;
use hoptiller_audit::{Record, Rule, Rules, SentVersions, VersionRules, judge};

#[test]
fn rule_8_finds_attempts_under_contradicting_versions_and_permits_those_that_enforce_both() {
    let act = |at, router: &str, versions| Record::Sent {
        at,
        engine: "e".into(),
        kind: "a".into(),
        router: router.into(),
        trace: format!("t{at}"),
        class: "lookup".into(),
        attempt: 0,
        versions: Some(SentVersions::from(versions)),
    };
    let rules = |neutral: &[u64]| Rules {
        versions: Some(VersionRules {
            max_overlap: 1000,
            compatible: neutral.iter().copied().collect(),
            max_unheld: None,
        }),
        ..rules()
    };
    let broken = |records: &[Record], neutral: &[u64]| {
        let verdict = judge(records, &rules(neutral));
        (
            verdict.violated_rules().contains(&Rule::ConsistentVersions),
            verdict.overlap.map(|o| (o.longest, o.acts)),
        )
    };
    let kept = [
        act(1, "r1", (1, 1, false)),
        act(2, "r2", (1, 2, false)),
        act(9000, "r1", (1, 2, false)),
        act(9001, "r2", (2, 2, false)),
        act(9500, "r1", (1, 2, false)),
    ];
    assert_eq!(broken(&kept, &[]), (false, Some((0, 0))));
    let late = [
        act(1, "r1", (1, 1, false)),
        act(2, "r2", (2, 2, false)),
        act(502, "r1", (1, 1, false)),
        act(5002, "r1", (1, 1, false)),
    ];
    assert_eq!(broken(&late, &[]), (true, Some((5000, 2))));
    assert_eq!(
        broken(&late, &[2]),
        (false, Some((0, 0))),
        "the two contradict in nothing"
    );
    assert_eq!(
        broken(&late[..3], &[]),
        (false, Some((500, 1))),
        "for less than is promised"
    );
    let doubt = [act(2, "r2", (2, 2, false)), act(5002, "r1", (1, 1, true))];
    assert_eq!(
        broken(&doubt, &[]),
        (false, Some((0, 0))),
        "outside the promise, and said so"
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
fn rule_9_finds_an_act_under_an_older_lease_a_shared_token_and_an_unheld_shard() {
    let agreement = VersionRules {
        max_overlap: 100,
        max_unheld: Some(5_000),
        ..Default::default()
    };
    let rules = Rules {
        versions: Some(agreement),
        ..rules()
    };
    let good = [
        leased(0, "a", 1, false),
        leased(1_000, "a", 1, false),
        leased(4_000, "b", 2, false),
        leased(4_050, "a", 1, false), // within the permitted overlap
        leased(6_000, "a", 1, true),  // refused: it had no effect
        leased(8_000, "b", 2, false),
    ];
    let verdict = judge(&good, &rules);
    assert!(verdict.violations.is_empty(), "{:?}", verdict.violations);
    let leases = verdict.leases.expect("there were some");
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
    let broken = |more: Record| {
        let mut all = good.to_vec();
        all.push(more);
        let breaks = judge(&all, &rules).violations;
        assert!(
            breaks.iter().all(|b| b.rule == Rule::SingleLeaseHolder),
            "{breaks:?}"
        );
        breaks
            .into_iter()
            .map(|b| b.description)
            .collect::<Vec<_>>()
            .join("; ")
    };
    let older = broken(leased(9_000, "a", 1, false));
    assert!(
        older.contains("a acted on discovery under number 1, 5 ms after b under 2"),
        "{older}"
    );
    let shared = broken(leased(9_000, "c", 2, false));
    assert!(
        shared.contains("b and c both acted under number 2"),
        "{shared}"
    );
    let unheld = broken(leased(14_000, "b", 2, false));
    assert!(unheld.contains("nobody did it for 6 ms"), "{unheld}");
}
