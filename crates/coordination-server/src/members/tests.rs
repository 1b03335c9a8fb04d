use super::*;

#[test]
fn a_keeper_is_replaced_once_and_no_number_comes_back() {
    let at = |n: u16| SocketAddr::from(([127, 0, 0, 1], n));
    let first = Members::first([(1, at(1)), (2, at(2)), (3, at(3))].into());
    let replace = |lost, new| Replace {
        lost,
        new,
        at: at(9),
    };
    let second = first.replaced(&replace(3, 4)).expect("replaced");
    assert_eq!((second.number, second.all()), (2, vec![1, 2, 4]));
    assert_eq!(
        second.replaced(&replace(3, 4)),
        Ok(second.clone()),
        "asked for twice"
    );
    assert_eq!(
        second.replaced(&replace(3, 5)),
        Err(NotReplaced::Unknown(3))
    );
    assert_eq!(second.replaced(&replace(1, 3)), Err(NotReplaced::Used(3)));
    assert_eq!(second.replaced(&replace(1, 2)), Err(NotReplaced::Used(2)));
    assert_eq!(
        second.replaced(&replace(1, 0)),
        Err(NotReplaced::OutOfBounds(0))
    );
    assert_eq!(
        second.replaced(&replace(7, 8)),
        Err(NotReplaced::Unknown(7))
    );
}
