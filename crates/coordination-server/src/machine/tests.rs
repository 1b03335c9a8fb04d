use super::*;
use hoptiller_coordination::Holder;

fn applies(m: &mut Machine, life: u64, number: u64) -> bool {
    let holder = Holder {
        router: "r".into(),
        incarnation: "1".into(),
    };
    m.apply(
        EntryId {
            keeper: 1,
            life,
            number,
        },
        vec![Command::ReleaseLease(holder)],
    )
    .is_some()
}

#[test]
fn an_entry_acts_once_whenever_its_copies_come() {
    let mut m = Machine::default();
    assert!(applies(&mut m, 1, 5));
    assert!(applies(&mut m, 1, 4), "entries may overtake each other");
    assert!(!applies(&mut m, 1, 5));
    for n in 6..6 + WINDOW as u64 {
        assert!(applies(&mut m, 1, n));
    }
    assert!(!applies(&mut m, 1, 4), "too old to be told apart");
    assert!(applies(&mut m, 2, 0), "a later life begins anew");
    assert!(!applies(&mut m, 1, 9999), "the earlier one is over");
}
