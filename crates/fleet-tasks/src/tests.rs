use super::*;
use hoptiller_coordination::{Holder, LeaseTiming};
use hoptiller_coordination::{LeaseTableEntry, LeaseTableUpdate, TaskLeaseGrant};

#[test]
fn a_part_is_mine_while_i_hold_it_and_everybodys_where_nobody_does() {
    let bounds = LeaseTiming {
        term: 10_000,
        drift: 0,
    };
    let mut tenant = TaskLeaseClient::new(&bounds, 100);
    assert_eq!(
        duty(&tenant, 0, LIST, false),
        Duty::Own,
        "there is no such task"
    );
    let holder = Some((
        Holder {
            router: "r".into(),
            incarnation: "1".into(),
        },
        7,
    ));
    let mut tell = |serial: u64, mine: bool, holder: &Option<(Holder, u64)>, note: Option<&str>| {
        let (part, note) = (LIST, note.map(str::to_owned));
        let posted = vec![LeaseTableEntry {
            shard: part,
            holder: holder.clone(),
            note,
        }];
        let board = LeaseTableUpdate {
            revision: serial,
            shards: vec![LIST],
            entries: posted,
        };
        let grants: Vec<TaskLeaseGrant> = mine
            .then_some(TaskLeaseGrant {
                shard: part,
                fencing_token: 7,
                release_requested: false,
            })
            .into_iter()
            .collect();
        tenant.start_renewal(serial, 0);
        tenant.accept_grant(serial, 1, serial, Some(&grants), Some(&board));
        tenant.clone()
    };
    assert_eq!(
        duty(&tell(1, false, &None, None), 2, LIST, false),
        Duty::Own
    );
    assert_eq!(
        duty(&tell(2, false, &holder, None), 2, LIST, false),
        Duty::Own,
        "nothing is noted yet"
    );
    let others = tell(3, false, &holder, Some("x"));
    assert_eq!(duty(&others, 2, LIST, false), Duty::Others("x".into()));
    assert_eq!(duty(&others, 2, LIST, true), Duty::Own, "in doubt");
    let mine = tell(4, true, &holder, Some("x"));
    assert_eq!(duty(&mine, 2, LIST, false), Duty::Mine);
    assert_eq!(
        duty(&mine, 9_900, LIST, false),
        Duty::Others("x".into()),
        "its time is over"
    );
}

#[test]
fn engines_spread_over_the_parts_and_stay_where_they_are() {
    let mut counts = [0; 8];
    for n in 0..800 {
        let part = probe_of(&format!("engine-{n}"), 8).expect("there are parts");
        assert_eq!(Some(part), probe_of(&format!("engine-{n}"), 8));
        counts[part.index as usize] += 1;
    }
    assert!(counts.iter().all(|n| (70..130).contains(n)), "{counts:?}");
    assert_eq!(probe_of("engine", 0), None);
}
