use super::*;
use hoptiller_coordination::Holder;

#[test]
fn a_shard_without_a_holder_is_shown_as_such() {
    let shard = |index| hoptiller_coordination::Shard {
        task: hoptiller_coordination::Task::HealthCheck,
        index,
    };
    let holder = Some((
        Holder {
            router: "r1".into(),
            incarnation: "x1".into(),
        },
        9,
    ));
    let held = LeaseStatus {
        shard: shard(0),
        holder,
        left_ms: Some(1200),
        note_bytes: 80,
    };
    let free = LeaseStatus {
        shard: shard(1),
        holder: None,
        left_ms: None,
        note_bytes: 0,
    };
    let text = format_leases(&[held, free]);
    assert!(
        text.contains("probe/0      r1/x1 with fencing token 9, 1200 ms left"),
        "{text}"
    );
    assert!(
        text.contains("probe/1      no holder") && text.contains("r1/x1: 1 of 2"),
        "{text}"
    );
    assert!(format_leases(&[]).contains("configures no tasks"));
}
