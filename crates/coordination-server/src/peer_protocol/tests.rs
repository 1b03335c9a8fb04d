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
fn duplicates_gaps_and_new_incarnations_are_recognized() {
    let (mut receiver, mut disks) = (BatchReceiver::default(), BTreeMap::new());
    let mut receive = |b: MessageBatch| receiver.receive(&local_view(), &mut disks, &b);
    assert_eq!(receive(batch(1, 0, 5)), Ok(Delivery::AfterGap));
    assert_eq!(receive(batch(1, 1, 5)), Ok(Delivery::InOrder));
    assert_eq!(receive(batch(1, 1, 5)), Ok(Delivery::Stale), "a duplicate");
    assert_eq!(
        receive(batch(1, 3, 7)),
        Ok(Delivery::AfterGap),
        "one is missing"
    );
    assert_eq!(
        receive(batch(1, 2, 6)),
        Ok(Delivery::Stale),
        "it was overtaken"
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
    let mut receive = |b: MessageBatch| {
        receiver
            .receive(&local_view(), &mut disks, &b)
            .expect_err("rejected")
    };
    for list in [1, 3] {
        let lists = receive(MessageBatch {
            membership: list,
            ..batch(1, 0, 5)
        });
        assert_eq!(
            lists,
            PeerError::MembershipMismatch {
                sender: list,
                receiver: 2
            }
        );
        assert!(!lists.is_final());
    }
    let replaced = receive(MessageBatch {
        from: 9,
        membership: 1,
        ..batch(1, 0, 5)
    });
    assert!(replaced == PeerError::Replaced && replaced.is_final());
    let first = serde_json::to_string(&MessageBatch {
        membership: 1,
        ..batch(1, 0, 5)
    })
    .expect("json");
    assert!(
        !first.contains("list"),
        "as programs before it wrote it: {first}"
    );
    assert_eq!(
        serde_json::from_str::<MessageBatch>(&first)
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
    let old = receiver
        .receive(&local_view(), &mut disks, &batch(4, 0, 49))
        .expect_err("rejected");
    assert_eq!(
        old,
        PeerError::DiskRolledBack {
            write_sequence: 49,
            known: 50
        }
    );
    assert!(old.is_final());
    // Restored from a copy so old that its incarnations count from before.
    assert!(
        receiver
            .receive(&local_view(), &mut disks, &batch(2, 0, 20))
            .expect_err("rejected")
            .is_final()
    );
    // The receiver has restarted, and knows the sequence from its own disk.
    let again = BatchReceiver::default().receive(&local_view(), &mut disks, &batch(4, 0, 49));
    assert_eq!(
        again,
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
    let unlike = MessageBatch {
        term: 11,
        ..batch(4, 1, 51)
    };
    assert!(
        !receiver
            .receive(&local_view(), &mut disks, &unlike)
            .expect_err("rejected")
            .is_final()
    );
}
