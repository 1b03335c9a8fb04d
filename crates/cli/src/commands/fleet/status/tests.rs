use super::*;
use hoptiller_coordination::Holder;
use hoptiller_coordination_client::wire::{HolderStatus, VersionNumbers};

#[test]
fn routers_that_block_a_version_are_named_with_their_time() {
    let holder = |router: &str, enforced_version, blocks_rollout| HolderStatus {
        holder: Holder {
            router: router.into(),
            incarnation: "x1".into(),
        },
        enforced_version,
        left_ms: 4200,
        blocks_rollout,
    };
    let status = ClusterStatus {
        replica: 1,
        leader: None,
        versions: VersionNumbers {
            in_force: 6,
            last: 7,
            table_revision: 0,
        },
        pending: Vec::new(),
        holders: vec![holder("r1", 7, false), holder("r2", 6, true)],
        membership: 2,
        replicas: vec![1, 2, 4],
        peers: vec![(2, Some(30)).into(), (3, None).into()],
        log: (90, 40).into(),
    };
    assert_eq!(
        format_blocking_holders(&status),
        "  waiting for r2/x1, 4200 ms at most\n"
    );
    let (replica, versions) = (format_replica("here", &status), format_versions(&status));
    assert!(
        replica.contains("membership 2 (1 2 4)")
            && replica.contains("leader nobody")
            && replica.contains("2 30 ms ago, 3 never"),
        "{replica}"
    );
    assert!(versions.contains("in force 6, last 7"), "{versions}");
    let lines: Vec<&str> = versions
        .lines()
        .filter(|line| line.contains("BLOCKS"))
        .collect();
    assert!(lines.len() == 1 && lines[0].contains("r2/x1"), "{versions}");
}
