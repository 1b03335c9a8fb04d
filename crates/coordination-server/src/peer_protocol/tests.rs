use super::*;

fn local_view() -> LocalView {
    LocalView {
        fleet: "f".into(),
        replica: 1,
        replicas: vec![1, 2, 3],
        membership: 2,
        removed: [9].into(),
        lease_timing: LeaseTiming { term: 10, drift: 1 },
    }
}

fn batch(incarnation: u64, sequence: u64, write_sequence: u64) -> MessageBatch {
    MessageBatch {
        fleet: "f".into(),
        from: 2,
        to: 1,
        replicas: vec![1, 2, 3],
        membership: 2,
        term: 10,
        drift: 1,
        incarnation,
        sequence,
        disk_id: "d".into(),
        write_sequence,
        messages: Vec::new(),
    }
}

#[test]
fn duplicates_gaps_and_new_incarnations_are_detected() {
    let (mut receiver, mut disks) = (BatchReceiver::default(), BTreeMap::new());
    let mut receive = |batch: MessageBatch| receiver.receive(&local_view(), &mut disks, &batch);
    assert_eq!(receive(batch(1, 0, 5)), Ok(Delivery::AfterGap));
    assert_eq!(receive(batch(1, 1, 5)), Ok(Delivery::InOrder));
    assert_eq!(receive(batch(1, 1, 5)), Ok(Delivery::Stale), "a duplicate");
    assert_eq!(
        receive(batch(1, 3, 7)),
        Ok(Delivery::AfterGap),
        "a batch is missing"
    );
    assert_eq!(
        receive(batch(1, 2, 6)),
        Ok(Delivery::Stale),
        "a batch that was overtaken"
    );
    assert_eq!(
        receive(batch(2, 0, 8)),
        Ok(Delivery::AfterGap),
        "a new incarnation"
    );
}

#[test]
fn another_membership_is_reported_and_a_replaced_sender_must_stop() {
    let (mut receiver, mut disks) = (BatchReceiver::default(), BTreeMap::new());
    let mut receive = |batch: MessageBatch| {
        receiver
            .receive(&local_view(), &mut disks, &batch)
            .expect_err("rejected")
    };
    for membership in [1, 3] {
        let mismatch = receive(MessageBatch {
            membership,
            ..batch(1, 0, 5)
        });
        assert_eq!(
            mismatch,
            PeerError::MembershipMismatch {
                sender: membership,
                receiver: 2
            }
        );
        assert!(!mismatch.is_final());
    }
    let replaced = receive(MessageBatch {
        from: 9,
        membership: 1,
        ..batch(1, 0, 5)
    });
    assert!(replaced == PeerError::Replaced && replaced.is_final());
    let initial = serde_json::to_string(&MessageBatch {
        membership: 1,
        ..batch(1, 0, 5)
    })
    .expect("json");
    assert!(
        !initial.contains("list"),
        "programs that predate numbered memberships know no such field: {initial}"
    );
    assert_eq!(
        serde_json::from_str::<MessageBatch>(&initial)
            .expect("read")
            .membership,
        1
    );
}

#[test]
fn a_rolled_back_or_replaced_disk_is_rejected() {
    let (mut receiver, mut disks) = (BatchReceiver::default(), BTreeMap::new());
    receiver
        .receive(&local_view(), &mut disks, &batch(3, 0, 50))
        .expect("accepted");
    let rolled_back = receiver
        .receive(&local_view(), &mut disks, &batch(4, 0, 49))
        .expect_err("rejected");
    assert_eq!(
        rolled_back,
        PeerError::DiskRolledBack {
            write_sequence: 49,
            known: 50
        }
    );
    assert!(rolled_back.is_final());
    // The disk was restored from a copy so old that its incarnation number has been used before.
    assert!(
        receiver
            .receive(&local_view(), &mut disks, &batch(2, 0, 20))
            .expect_err("rejected")
            .is_final()
    );
    // After a restart the receiver knows the sequence from its own disk.
    let after_restart =
        BatchReceiver::default().receive(&local_view(), &mut disks, &batch(4, 0, 49));
    assert_eq!(
        after_restart,
        Err(PeerError::DiskRolledBack {
            write_sequence: 49,
            known: 50
        })
    );
    let other = MessageBatch {
        disk_id: "new".into(),
        ..batch(1, 0, 0)
    };
    let other = receiver
        .receive(&local_view(), &mut disks, &other)
        .expect_err("rejected");
    assert_eq!(other, PeerError::OtherDisk { known: "d".into() });
    let other_term = MessageBatch {
        term: 11,
        ..batch(4, 1, 51)
    };
    assert!(
        !receiver
            .receive(&local_view(), &mut disks, &other_term)
            .expect_err("rejected")
            .is_final()
    );
}
