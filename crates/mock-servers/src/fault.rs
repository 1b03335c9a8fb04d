//! Owns the ways in which a stand-in engine fails on purpose.

use serde::{Deserialize, Serialize};

/// Faults in force. Without any, an engine answers as it should.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Only statements of this class are hit.
    pub only: Option<String>,
    /// Only so many statements are hit; `None`: all.
    pub times: Option<u32>,
    /// Takes statements, runs them, and never answers.
    pub hang: bool,
    /// Takes statements, runs them, and closes instead of answering.
    pub lose: bool,
    /// Closes as a statement comes, without taking it.
    pub swallow: bool,
    /// Turns statements away unseen.
    pub full: bool,
    /// Answers with an error of its own, after having run.
    pub fail: bool,
    /// Sends only so many bytes of each page of rows, and closes.
    pub cut_page: Option<usize>,
    /// Closes instead of giving out pages from this number on.
    pub lose_page: Option<u64>,
    /// Polls are never answered.
    pub mute: bool,
    /// Answers with bytes that are no `QueryResults`.
    pub garbage: bool,
    /// Orders to end a statement are looked at only when it has finished.
    pub finish_first: bool,
    /// Says nothing of the effects of what it has ended.
    pub no_proof: bool,
    /// Works so many times slower, whatever it holds.
    pub slow: Option<f64>,
}

impl Faults {
    /// Whether a statement of that class is hit; counts it.
    pub fn hits(&mut self, class: &str) -> bool {
        if self.only.as_deref().is_some_and(|only| only != class) {
            return false;
        }
        match &mut self.times {
            None => true,
            Some(0) => false,
            Some(left) => {
                *left -= 1;
                true
            }
        }
    }
}
