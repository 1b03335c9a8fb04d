use super::*;
use hoptiller_coordination::Holder;

fn apply_entry(state_machine: &mut StateMachine, incarnation: u64, sequence: u64) -> bool {
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
fn an_entry_is_applied_once_whatever_the_order_of_duplicates() {
    let mut state_machine = StateMachine::default();
    assert!(apply_entry(&mut state_machine, 1, 5));
    assert!(
        apply_entry(&mut state_machine, 1, 4),
        "entries may overtake each other"
    );
    assert!(!apply_entry(&mut state_machine, 1, 5));
    for sequence in 6..6 + DEDUPLICATION_WINDOW as u64 {
        assert!(apply_entry(&mut state_machine, 1, sequence));
    }
    assert!(
        !apply_entry(&mut state_machine, 1, 4),
        "older than the window"
    );
    assert!(
        apply_entry(&mut state_machine, 2, 0),
        "a later incarnation starts with no applied entries"
    );
    assert!(
        !apply_entry(&mut state_machine, 1, 9999),
        "the earlier incarnation has ended"
    );
}
