//! The ways in which a mock engine fails on purpose.

use serde::{Deserialize, Serialize};

/// The faults of a mock engine, as scenario files and `PUT /v1/standin/faults` write them. Without any, it answers as it
/// should.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, expecting = "struct Faults")]
pub struct EngineFaults {
    /// The only class whose statements are affected; `None` for all.
    #[serde(rename = "only")]
    pub only_class: Option<String>,
    /// How many further statements are affected; `None` for all.
    #[serde(rename = "times")]
    pub remaining: Option<u32>,
    /// Statements run, and their submission is never answered.
    pub hang: bool,
    /// Statements run, and the connection is closed in place of the response to their submission.
    #[serde(rename = "lose")]
    pub lose_response: bool,
    /// The connection is closed when a statement is submitted, which does not run.
    #[serde(rename = "swallow")]
    pub drop_submission: bool,
    /// Statements are rejected without having run.
    #[serde(rename = "full")]
    pub reject: bool,
    /// Statements fail with an error of the engine after having run.
    #[serde(rename = "fail")]
    pub fail_after_run: bool,
    /// Number of bytes of each page of rows after which the connection is closed.
    #[serde(rename = "cut_page")]
    pub truncate_pages_at: Option<usize>,
    /// From this page on, the connection is closed in place of a page of rows.
    #[serde(rename = "lose_page")]
    pub lose_pages_from: Option<u64>,
    /// Polls are never answered.
    #[serde(rename = "mute")]
    pub ignore_polls: bool,
    /// The response to a submission is not a `QueryResults`.
    #[serde(rename = "garbage")]
    pub malformed_response: bool,
    /// A request to kill a statement waits until the statement has finished.
    #[serde(rename = "finish_first")]
    pub kill_after_finish: bool,
    /// What became of the effects of a statement that ended is not reported.
    #[serde(rename = "no_proof")]
    pub withhold_effects: bool,
    /// The engine works slower by this factor.
    #[serde(rename = "slow")]
    pub slowdown: Option<f64>,
}

impl EngineFaults {
    /// Whether the faults affect the next statement of a class, which then counts as one of
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

    /// The factor by which the engine works slower: 1 unless a usable one is set.
    pub(crate) fn slowdown_factor(&self) -> f64 {
        self.slowdown
            .filter(|factor| factor.is_finite() && *factor > 0.0)
            .unwrap_or(1.0)
    }
}
