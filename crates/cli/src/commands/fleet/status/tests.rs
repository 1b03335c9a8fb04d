use super::*;
use hoptiller_coordination::Holder;
use hoptiller_coordination_client::wire::{HolderStatus, VersionNumbers};

#[test]
fn routers_that_block_a_version_are_named_with_their_time() {
    let holder = |router: &str, heeds, holds_up| HolderStatus {
        holder: Holder {
            router: router.into(),
            incarnation: "x1".into(),
        },
        enforced_version: heeds,
        left_ms: 4200,
        blocks_rollout: holds_up,
    };
    let s = ClusterStatus {
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
    assert_eq!(waiting_for(&s), "  waits for r2/x1, 4200 ms at most\n");
    let (keeper, fleet) = (format_replica("here", &s), format_versions(&s));
    assert!(
        keeper.contains("list 2 (1 2 4)")
            && keeper.contains("leads nobody")
            && keeper.contains("2 30 ms ago, 3 never"),
        "{keeper}"
    );
    assert!(fleet.contains("in force 6, last 7"), "{fleet}");
    let lines: Vec<&str> = fleet.lines().filter(|l| l.contains("HOLDS UP")).collect();
    assert!(lines.len() == 1 && lines[0].contains("r2/x1"), "{fleet}");
}
