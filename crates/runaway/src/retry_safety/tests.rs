use super::*;

#[test]
fn only_proof_or_a_window_that_still_holds_makes_a_second_run_harmless() {
    use Proof::*;
    let keyed = |group, window| Idempotency::WithKey {
        scope: group,
        window,
    };
    for (idempotency, proof, want) in [
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
            want,
            "{idempotency:?} {proof:?}"
        );
    }
}
