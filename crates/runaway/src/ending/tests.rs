use super::*;

#[test]
fn only_proof_or_a_window_that_still_holds_makes_a_second_run_harmless() {
    use Proof::*;
    let keyed = |group, window| Idempotency::WithKey {
        scope: group,
        window,
    };
    for (effect, proof, want) in [
        (Idempotency::Idempotent, Unknown, Verdict::Harmless),
        (Idempotency::NotIdempotent, RolledBack, Verdict::Harmless),
        (Idempotency::NotIdempotent, Unknown, Verdict::MayHaveRun),
        (Idempotency::NotIdempotent, Committed, Verdict::HasRun),
        (
            keyed(DeduplicationScope::All, 101),
            Unknown,
            Verdict::Harmless,
        ),
        (
            keyed(DeduplicationScope::All, 101),
            Committed,
            Verdict::Harmless,
        ),
        (
            keyed(DeduplicationScope::All, 100),
            Unknown,
            Verdict::MayHaveRun,
        ),
        (
            keyed(DeduplicationScope::All, 100),
            Committed,
            Verdict::HasRun,
        ),
        (
            keyed(DeduplicationScope::Zone, 1000),
            Unknown,
            Verdict::MayHaveRun,
        ),
        (
            keyed(DeduplicationScope::Cell, 1000),
            Committed,
            Verdict::HasRun,
        ),
        (
            keyed(DeduplicationScope::Zone, 10),
            RolledBack,
            Verdict::Harmless,
        ),
    ] {
        assert_eq!(
            answer_after_end(effect, proof, 100, 200),
            want,
            "{effect:?} {proof:?}"
        );
    }
}
