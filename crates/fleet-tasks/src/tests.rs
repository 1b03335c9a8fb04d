use super::*;
use hoptiller_coordination::{Holder, LeaseTiming};
use hoptiller_coordination::{LeaseTableEntry, LeaseTableUpdate, TaskLeaseGrant};

#[test]
fn the_lease_holder_performs_a_shard_and_each_router_where_nobody_holds_it() {
    let timing = LeaseTiming {
        term: 10_000,
        drift: 0,
    };
    let mut leases = TaskLeaseClient::new(&timing, 100);
    assert_eq!(
        task_assignment(&leases, 0, DISCOVERY_SHARD, false),
        TaskAssignment::EachRouter,
        "the shard is unknown before the first response"
    );
    let holder = Some((
        Holder {
            router: "r".into(),
            incarnation: "1".into(),
        },
        7,
    ));
    let mut accept =
        |revision: u64, local: bool, holder: &Option<(Holder, u64)>, note: Option<&str>| {
            let (shard, note) = (DISCOVERY_SHARD, note.map(str::to_owned));
            let entries = vec![LeaseTableEntry {
                shard,
                holder: holder.clone(),
                note,
            }];
            let update = LeaseTableUpdate {
                revision,
                shards: vec![DISCOVERY_SHARD],
                entries,
            };
            let grants: Vec<TaskLeaseGrant> = local
                .then_some(TaskLeaseGrant {
                    shard,
                    fencing_token: 7,
                    release_requested: false,
                })
                .into_iter()
                .collect();
            leases.start_renewal(revision, 0);
            leases.accept_grant(revision, 1, revision, Some(&grants), Some(&update));
            leases.clone()
        };
    assert_eq!(
        task_assignment(&accept(1, false, &None, None), 2, DISCOVERY_SHARD, false),
        TaskAssignment::EachRouter
    );
    assert_eq!(
        task_assignment(&accept(2, false, &holder, None), 2, DISCOVERY_SHARD, false),
        TaskAssignment::EachRouter,
        "no note is recorded yet"
    );
    let remote = accept(3, false, &holder, Some("x"));
    assert_eq!(
        task_assignment(&remote, 2, DISCOVERY_SHARD, false),
        TaskAssignment::Remote("x".into())
    );
    assert_eq!(
        task_assignment(&remote, 2, DISCOVERY_SHARD, true),
        TaskAssignment::EachRouter,
        "this router is in doubt"
    );
    let local = accept(4, true, &holder, Some("x"));
    assert_eq!(
        task_assignment(&local, 2, DISCOVERY_SHARD, false),
        TaskAssignment::Local
    );
    assert_eq!(
        task_assignment(&local, 9_900, DISCOVERY_SHARD, false),
        TaskAssignment::Remote("x".into()),
        "the lease of this router has expired"
    );
}

#[test]
fn engines_spread_evenly_over_the_shards_and_keep_theirs() {
    let mut counts = [0; 8];
    for n in 0..800 {
        let shard = health_check_shard(&format!("engine-{n}"), 8).expect("the task has shards");
        assert_eq!(Some(shard), health_check_shard(&format!("engine-{n}"), 8));
        counts[shard.index as usize] += 1;
    }
    assert!(
        counts.iter().all(|count| (70..130).contains(count)),
        "{counts:?}"
    );
    assert_eq!(health_check_shard("engine", 0), None);
}
