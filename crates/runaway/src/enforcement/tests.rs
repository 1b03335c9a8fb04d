use super::*;

fn due(resume: bool, kill: bool) -> DueEnforcement {
    DueEnforcement { resume, kill }
}

#[test]
fn an_attempt_is_paused_once_and_resumed_once() {
    let mut enforcement = AttemptEnforcement::default();
    assert!(enforcement.pause_until(10));
    assert_eq!(enforcement.take_due(9, true), due(false, false));
    assert_eq!(enforcement.take_due(10, true), due(true, false));
    assert_eq!(enforcement.take_due(11, true), due(false, false));
    assert!(!enforcement.pause_until(20));
}

#[test]
fn a_pause_is_over_when_the_attempt_no_longer_executes() {
    let mut enforcement = AttemptEnforcement::default();
    assert!(enforcement.pause_until(10));
    assert_eq!(enforcement.take_due(1, false), due(true, false));
}

#[test]
fn a_kill_is_decided_once_and_only_while_the_attempt_executes() {
    let mut enforcement = AttemptEnforcement::default();
    enforcement.schedule_kill(10);
    assert_eq!(enforcement.take_due(9, true), due(false, false));
    assert_eq!(enforcement.take_due(10, false), due(false, false));
    assert_eq!(enforcement.take_due(10, true), due(false, true));
    assert_eq!(enforcement.take_due(11, true), due(false, false));
}

#[test]
fn a_cancelled_kill_is_not_due() {
    let mut enforcement = AttemptEnforcement::default();
    enforcement.schedule_kill(10);
    enforcement.cancel_kill();
    assert_eq!(enforcement.take_due(10, true), due(false, false));
}
