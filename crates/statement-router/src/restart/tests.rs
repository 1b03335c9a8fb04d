use super::*;

#[test]
fn what_must_not_run_twice_is_never_said_to_be_harmless() {
    for phase in [Phase::Waiting, Phase::Rows] {
        assert!(
            !answer(Known {
                repeat: Repeat::Unsafe,
                phase
            })
            .0
            .is_harmless()
        );
    }
    assert!(
        answer(Known {
            repeat: Repeat::Safe,
            phase: Phase::Waiting
        })
        .0
        .is_harmless()
    );
}
