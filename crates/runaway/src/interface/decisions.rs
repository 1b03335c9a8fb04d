//! Decisions that the router carries out.

use hoptiller_policy::Hold;

use super::findings::Finding;
use super::ids::AttemptId;

/// A decision that the router carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Reports a new, changed or cleared finding.
    Found(Box<Finding>),
    /// Applies a hold to routing decisions.
    Hold(Hold),
    /// Pauses an attempt.
    Pause(AttemptId),
    /// Resumes a paused attempt.
    Resume(AttemptId),
    /// Kills an attempt; the engine still reports its outcome.
    Kill(AttemptId),
}
