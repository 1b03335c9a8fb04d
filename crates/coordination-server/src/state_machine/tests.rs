use super::*;
use hoptiller_coordination::Holder;

fn applies(state_machine: &mut StateMachine, incarnation: u64, sequence: u64) -> bool {
    let holder = Holder {
        router: "r".into(),
        incarnation: "1".into(),
    };
    state_machine
        .apply(
            EntryId {
                replica: 1,
                incarnation,
                sequence,
            },
            vec![Command::ReleaseLease(holder)],
        )
        .is_some()
}

#[test]
fn an_entry_is_applied_once_in_any_order_of_its_duplicates() {
    let mut state_machine = StateMachine::default();
    assert!(applies(&mut state_machine, 1, 5));
    assert!(
        applies(&mut state_machine, 1, 4),
        "entries may overtake each other"
    );
    assert!(!applies(&mut state_machine, 1, 5));
    for n in 6..6 + DEDUPLICATION_WINDOW as u64 {
        assert!(applies(&mut state_machine, 1, n));
    }
    assert!(!applies(&mut state_machine, 1, 4), "older than the window");
    assert!(
        applies(&mut state_machine, 2, 0),
        "a later incarnation starts over"
    );
    assert!(
        !applies(&mut state_machine, 1, 9999),
        "the earlier incarnation has ended"
    );
}
