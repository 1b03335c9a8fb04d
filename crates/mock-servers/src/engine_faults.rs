//! The faults that can be injected into a mock engine.

use serde::{Deserialize, Serialize};

/// The faults of a mock engine, in the form of scenario files and of `PUT /v1/standin/faults`. By default there are
/// none.
///
/// All but [`slowdown`](EngineFaults::slowdown) affect the statements that are submitted while the faults are set, for
/// as long as the engine stores these statements. A slowdown affects the whole engine, whatever the class and the
/// number of statements.
///
/// The `expecting` text is part of the error message for malformed faults.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, expecting = "struct Faults")]
pub struct EngineFaults {
    /// The class whose statements are affected, or `None` for all.
    #[serde(rename = "only")]
    pub only_class: Option<String>,
    /// The number of further statements that are affected, or `None` for all.
    #[serde(rename = "times")]
    pub remaining: Option<u32>,
    /// Statements run, but their submission gets no response while the connection stays open.
    pub hang: bool,
    /// Statements run, but the connection is closed instead of a response to their submission.
    #[serde(rename = "lose")]
    pub lose_response: bool,
    /// The connection is closed when a statement is submitted, and the statement does not run.
    #[serde(rename = "swallow")]
    pub drop_submission: bool,
    /// Statements are rejected without being run.
    #[serde(rename = "full")]
    pub reject: bool,
    /// Statements fail with an internal error of the engine after they have run.
    #[serde(rename = "fail")]
    pub fail_after_run: bool,
    /// The number of bytes of each response with a page of rows after which the connection is closed.
    #[serde(rename = "cut_page")]
    pub truncate_pages_at: Option<usize>,
    /// The page from which on the connection is closed instead of returning rows.
    #[serde(rename = "lose_page")]
    pub lose_pages_from: Option<u64>,
    /// Polls get no response while the connection stays open.
    #[serde(rename = "mute")]
    pub ignore_polls: bool,
    /// The response to a submission is not a `QueryResults`.
    #[serde(rename = "garbage")]
    pub malformed_response: bool,
    /// A request to kill a statement is delayed until the statement has finished.
    #[serde(rename = "finish_first")]
    pub kill_after_finish: bool,
    /// The engine does not report whether the effects of an ended statement were committed or rolled back.
    #[serde(rename = "no_proof")]
    pub withhold_effects: bool,
    /// The factor by which the engine is slowed down.
    #[serde(rename = "slow")]
    pub slowdown: Option<f64>,
}

impl EngineFaults {
    /// Returns whether the faults affect the next statement, which is of this class. If so, decrements
    /// [`remaining`](EngineFaults::remaining).
    pub fn affect_next(&mut self, class: &str) -> bool {
        if self.only_class.as_deref().is_some_and(|only| only != class) {
            return false;
        }
        match &mut self.remaining {
            None => true,
            Some(0) => false,
            Some(remaining) => {
                *remaining -= 1;
                true
            }
        }
    }

    /// Returns the factor by which the engine is slowed down, or 1 unless a finite positive one is set.
    pub(crate) fn slowdown_factor(&self) -> f64 {
        self.slowdown
            .filter(|factor| factor.is_finite() && *factor > 0.0)
            .unwrap_or(1.0)
    }
}
