use super::*;

#[test]
fn only_an_idempotent_statement_is_reported_as_retryable() {
    for phase in [Phase::Waiting, Phase::RowsDelivered] {
        let error = recovery_error(RecoveryState {
            idempotency: Idempotency::NotIdempotent,
            phase,
        });
        assert!(!error.name.is_retryable());
    }
    let error = recovery_error(RecoveryState {
        idempotency: Idempotency::Idempotent,
        phase: Phase::Waiting,
    });
    assert!(error.name.is_retryable());
}
