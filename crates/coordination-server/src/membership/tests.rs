use super::*;

#[test]
fn a_replacement_takes_effect_once_and_ids_are_not_reused() {
    let at = |n: u16| SocketAddr::from(([127, 0, 0, 1], n));
    let first = Membership::initial([(1, at(1)), (2, at(2)), (3, at(3))].into());
    let replace = |lost, new| Replacement {
        lost,
        new,
        address: at(9),
    };
    let second = first.with_replacement(&replace(3, 4)).expect("replaced");
    assert_eq!((second.number, second.replica_ids()), (2, vec![1, 2, 4]));
    assert_eq!(
        second.with_replacement(&replace(3, 4)),
        Ok(second.clone()),
        "a repeated replacement has no effect"
    );
    assert_eq!(
        second.with_replacement(&replace(3, 5)),
        Err(ReplaceError::UnknownReplica(3))
    );
    assert_eq!(
        second.with_replacement(&replace(1, 3)),
        Err(ReplaceError::IdInUse(3))
    );
    assert_eq!(
        second.with_replacement(&replace(1, 2)),
        Err(ReplaceError::IdInUse(2))
    );
    assert_eq!(
        second.with_replacement(&replace(1, 0)),
        Err(ReplaceError::IdOutOfRange(0))
    );
    assert_eq!(
        second.with_replacement(&replace(7, 8)),
        Err(ReplaceError::UnknownReplica(7))
    );
}
