//! What the router is to do.

use hoptiller_policy::Hold;

use super::findings::Finding;
use super::ids::AttemptId;

/// A decision that the router carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Report a new, changed or cleared finding.
    Found(Box<Finding>),
    /// Apply a hold to routing decisions.
    Hold(Hold),
    /// Pause an attempt.
    Pause(AttemptId),
    /// Resume a paused attempt.
    Resume(AttemptId),
    /// End an attempt; its outcome still comes from the engine.
    End(AttemptId),
}
