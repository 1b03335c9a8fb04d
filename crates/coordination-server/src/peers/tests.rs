use super::*;

fn told() -> Told {
    let (members, gone) = (vec![1, 2, 3], [9].into());
    Told {
        fleet: "f".into(),
        me: 1,
        members,
        list: 2,
        gone,
        bounds: LeaseTiming { term: 10, drift: 1 },
    }
}

fn batch(life: u64, number: u64, step: u64) -> Batch {
    Batch {
        fleet: "f".into(),
        from: 2,
        to: 1,
        members: vec![1, 2, 3],
        list: 2,
        term: 10,
        drift: 1,
        life,
        number,
        disk: "d".into(),
        step,
        messages: Vec::new(),
    }
}

#[test]
fn gaps_copies_and_new_lives_are_told_apart() {
    let (mut incoming, mut disks) = (Incoming::default(), BTreeMap::new());
    let mut take = |b: Batch| incoming.take(&told(), &mut disks, &b);
    assert_eq!(take(batch(1, 0, 5)), Ok(Take::AfterLoss));
    assert_eq!(take(batch(1, 1, 5)), Ok(Take::InOrder));
    assert_eq!(take(batch(1, 1, 5)), Ok(Take::Nothing), "a copy");
    assert_eq!(take(batch(1, 3, 7)), Ok(Take::AfterLoss), "one is missing");
    assert_eq!(take(batch(1, 2, 6)), Ok(Take::Nothing), "it was overtaken");
    assert_eq!(take(batch(2, 0, 8)), Ok(Take::AfterLoss), "a new life");
}

#[test]
fn one_of_another_list_is_told_so_and_one_that_was_replaced_ends() {
    let (mut incoming, mut disks) = (Incoming::default(), BTreeMap::new());
    let mut take = |b: Batch| {
        incoming
            .take(&told(), &mut disks, &b)
            .expect_err("not taken")
    };
    for list in [1, 3] {
        let lists = take(Batch {
            list,
            ..batch(1, 0, 5)
        });
        assert_eq!(
            lists,
            NotTaken::Lists {
                yours: list,
                mine: 2
            }
        );
        assert!(!lists.is_final());
    }
    let replaced = take(Batch {
        from: 9,
        list: 1,
        ..batch(1, 0, 5)
    });
    assert!(replaced == NotTaken::Replaced && replaced.is_final());
    let first = serde_json::to_string(&Batch {
        list: 1,
        ..batch(1, 0, 5)
    })
    .expect("json");
    assert!(
        !first.contains("list"),
        "as programs before it wrote it: {first}"
    );
    assert_eq!(serde_json::from_str::<Batch>(&first).expect("read").list, 1);
}

#[test]
fn a_disk_that_went_back_or_is_another_is_refused() {
    let (mut incoming, mut disks) = (Incoming::default(), BTreeMap::new());
    incoming
        .take(&told(), &mut disks, &batch(3, 0, 50))
        .expect("taken");
    let old = incoming
        .take(&told(), &mut disks, &batch(4, 0, 49))
        .expect_err("refused");
    assert_eq!(
        old,
        NotTaken::WentBack {
            step: 49,
            known: 50
        }
    );
    assert!(old.is_final());
    // Put back from so long ago that its lives are counted from before.
    assert!(
        incoming
            .take(&told(), &mut disks, &batch(2, 0, 20))
            .expect_err("refused")
            .is_final()
    );
    // The receiver has started again, and knows from its own disk.
    let again = Incoming::default().take(&told(), &mut disks, &batch(4, 0, 49));
    assert_eq!(
        again,
        Err(NotTaken::WentBack {
            step: 49,
            known: 50
        })
    );
    let other = Batch {
        disk: "new".into(),
        ..batch(1, 0, 0)
    };
    let other = incoming
        .take(&told(), &mut disks, &other)
        .expect_err("refused");
    assert_eq!(other, NotTaken::OtherDisk { known: "d".into() });
    let unlike = Batch {
        term: 11,
        ..batch(4, 1, 51)
    };
    assert!(
        !incoming
            .take(&told(), &mut disks, &unlike)
            .expect_err("refused")
            .is_final()
    );
}
