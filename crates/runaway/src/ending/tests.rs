use super::*;

#[test]
fn only_proof_or_a_window_that_still_holds_makes_a_second_run_harmless() {
    use Proof::*;
    let keyed = |group, window| Effect::Keyed { group, window };
    for (effect, proof, want) in [
        (Effect::Pure, Unknown, Verdict::Harmless),
        (Effect::Unsafe, RolledBack, Verdict::Harmless),
        (Effect::Unsafe, Unknown, Verdict::MayHaveRun),
        (Effect::Unsafe, Committed, Verdict::HasRun),
        (keyed(Group::All, 101), Unknown, Verdict::Harmless),
        (keyed(Group::All, 101), Committed, Verdict::Harmless),
        (keyed(Group::All, 100), Unknown, Verdict::MayHaveRun),
        (keyed(Group::All, 100), Committed, Verdict::HasRun),
        (keyed(Group::Zone, 1000), Unknown, Verdict::MayHaveRun),
        (keyed(Group::Cell, 1000), Committed, Verdict::HasRun),
        (keyed(Group::Zone, 10), RolledBack, Verdict::Harmless),
    ] {
        assert_eq!(
            answer_after_end(effect, proof, 100, 200),
            want,
            "{effect:?} {proof:?}"
        );
    }
}
