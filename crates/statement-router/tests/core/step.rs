//! Generated steps of clients, engines and time.

use hoptiller_policy::{AttemptStatus, Micros};
use hoptiller_runaway::Proof;
use proptest::prelude::*;

use super::MS;

/// A generated step. Its index selects one of the present clients or attempts, modulo their number.
#[derive(Clone, Debug)]
pub enum Step {
    /// A client submits a statement of this class.
    Submit(usize),
    /// A client polls for its next response.
    Poll(usize),
    /// A client polls for its last response again.
    PollAgain(usize),
    /// A client polls for its next response, and accepts that nothing has changed.
    PollNow(usize),
    /// A client cancels its statement.
    Cancel(usize),
    /// An attempt delivers a page, the last one or not.
    Page { index: usize, is_last: bool },
    /// An attempt ends without a result.
    End { index: usize, status: AttemptStatus },
    /// An engine rejects the statement as invalid.
    Reject(usize),
    /// An attempt is killed at its engine, which reports this proof.
    Kill { index: usize, proof: Proof },
    /// An attempt that has ended delivers a page.
    StalePage(usize),
    /// Time passes.
    Wait(Micros),
}

const STATUSES: [AttemptStatus; 7] = [
    AttemptStatus::ErrorResponse,
    AttemptStatus::Rejected,
    AttemptStatus::TimedOut,
    AttemptStatus::ConnectFailed,
    AttemptStatus::ConnectionReset,
    AttemptStatus::Cancelled,
    AttemptStatus::NotSent,
];
const PROOFS: [Proof; 3] = [Proof::RolledBack, Proof::Committed, Proof::Unknown];

pub fn step() -> impl Strategy<Value = Step> {
    let index = 0usize..64;
    prop_oneof![
        3 => (0usize..3).prop_map(Step::Submit),
        6 => index.clone().prop_map(Step::Poll),
        1 => index.clone().prop_map(Step::PollAgain),
        1 => index.clone().prop_map(Step::PollNow),
        1 => index.clone().prop_map(Step::Cancel),
        5 => (index.clone(), any::<bool>()).prop_map(|(index, is_last)| Step::Page { index, is_last }),
        2 => (index.clone(), 0u8..7).prop_map(|(index, status)| Step::End {
            index,
            status: STATUSES[usize::from(status)],
        }),
        1 => index.clone().prop_map(Step::Reject),
        1 => (index, 0u8..3).prop_map(|(index, proof)| Step::Kill {
            index,
            proof: PROOFS[usize::from(proof)],
        }),
        1 => (0usize..64).prop_map(Step::StalePage),
        4 => (1u64..3_000).prop_map(|ms| Step::Wait(ms * MS)),
    ]
}
