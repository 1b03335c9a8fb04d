use super::*;

#[test]
fn what_must_not_run_twice_is_never_said_to_be_harmless() {
    for phase in [Phase::Waiting, Phase::RowsDelivered] {
        assert!(
            !answer(RecoveryState {
                idempotency: Idempotency::NotIdempotent,
                phase
            })
            .0
            .is_retryable()
        );
    }
    assert!(
        answer(RecoveryState {
            idempotency: Idempotency::Idempotent,
            phase: Phase::Waiting
        })
        .0
        .is_retryable()
    );
}
