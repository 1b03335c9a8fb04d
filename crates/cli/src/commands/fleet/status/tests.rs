use super::*;
use hoptiller_coordination::Holder;
use hoptiller_coordination_client::wire::{HolderStatus, VersionNumbers};

#[test]
fn who_holds_up_a_version_is_named_with_its_time() {
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
            lease_table: 0,
        },
        pending: Vec::new(),
        holders: vec![holder("r1", 7, false), holder("r2", 6, true)],
        membership: 2,
        replicas: vec![1, 2, 4],
        peers: vec![(2, Some(30)).into(), (3, None).into()],
        log: (90, 40).into(),
    };
    assert_eq!(waiting_for(&s), "  waits for r2/x1, 4200 ms at most\n");
    let (keeper, fleet) = (show_keeper("here", &s), show_fleet(&s));
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

#[test]
fn a_part_without_a_holder_is_told_so() {
    let part = |shard| hoptiller_coordination::Shard {
        task: hoptiller_coordination::Task::HealthCheck,
        index: shard,
    };
    let holder = Some((
        Holder {
            router: "r1".into(),
            incarnation: "x1".into(),
        },
        9,
    ));
    let held = LeaseStatus {
        shard: part(0),
        holder,
        left_ms: Some(1200),
        note_bytes: 80,
    };
    let free = LeaseStatus {
        shard: part(1),
        holder: None,
        left_ms: None,
        note_bytes: 0,
    };
    let told = show_leases(&[held, free]);
    assert!(
        told.contains("probe/0      r1/x1 under number 9, for 1200 ms more"),
        "{told}"
    );
    assert!(
        told.contains("probe/1      nobody") && told.contains("r1/x1: 1 of 2"),
        "{told}"
    );
    assert!(show_leases(&[]).contains("names no tasks"));
}
