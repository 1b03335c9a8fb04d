use super::*;

#[test]
fn a_retry_is_safe_if_idempotent_rolled_back_or_within_the_deduplication_window() {
    use Proof::*;
    let keyed = |scope, window| Idempotency::WithKey { scope, window };
    for (idempotency, proof, expected) in [
        (Idempotency::Idempotent, Unknown, RetrySafety::Safe),
        (Idempotency::NotIdempotent, RolledBack, RetrySafety::Safe),
        (Idempotency::NotIdempotent, Unknown, RetrySafety::MayHaveRun),
        (Idempotency::NotIdempotent, Committed, RetrySafety::HasRun),
        (
            keyed(DeduplicationScope::All, 101),
            Unknown,
            RetrySafety::Safe,
        ),
        (
            keyed(DeduplicationScope::All, 101),
            Committed,
            RetrySafety::Safe,
        ),
        (
            keyed(DeduplicationScope::All, 100),
            Unknown,
            RetrySafety::MayHaveRun,
        ),
        (
            keyed(DeduplicationScope::All, 100),
            Committed,
            RetrySafety::HasRun,
        ),
        (
            keyed(DeduplicationScope::Zone, 1000),
            Unknown,
            RetrySafety::MayHaveRun,
        ),
        (
            keyed(DeduplicationScope::Cell, 1000),
            Committed,
            RetrySafety::HasRun,
        ),
        (
            keyed(DeduplicationScope::Zone, 10),
            RolledBack,
            RetrySafety::Safe,
        ),
    ] {
        assert_eq!(
            retry_safety_after_kill(idempotency, proof, 100, 200),
            expected,
            "{idempotency:?} {proof:?}"
        );
    }
}
