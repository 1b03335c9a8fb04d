//! Owns what goes out to a client: pages of rows, and the one final answer.

use std::rc::Rc;

use hoptiller_policy::Micros;
use serde_json::value::RawValue;

/// A page of a result, as an engine sent it.
#[derive(Clone, Debug, Default)]
pub struct Page {
    /// What its rows consist of, as JSON text.
    pub columns: Option<Rc<RawValue>>,
    /// Rows, as JSON text.
    pub rows: Option<Rc<RawValue>>,
    /// Session fields to pass on to the client.
    pub fields: Vec<(String, String)>,
    /// What a change changed, and how many rows.
    pub update: Option<(String, Option<u64>)>,
    /// Whether it is the last one.
    pub last: bool,
    /// The engine's load, where told.
    pub report: Option<hoptiller_policy::LoadReport>,
    /// Work that the statement needed, where told.
    pub work: Option<Micros>,
}

impl Page {
    /// Bytes that it takes.
    pub fn bytes(&self) -> u64 {
        let texts = [&self.columns, &self.rows]
            .into_iter()
            .flatten()
            .map(|t| t.get().len())
            .sum::<usize>();
        (texts
            + self
                .fields
                .iter()
                .map(|f| f.0.len() + f.1.len())
                .sum::<usize>()) as u64
    }
}

/// An engine's own error.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// For people.
    pub message: String,
    /// Its code.
    pub code: u32,
    /// Its name.
    pub name: String,
}

/// How a statement ended for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Final {
    /// All rows were given out.
    Served,
    /// Not done; trying again is harmless.
    Refused {
        /// When to come back.
        hold_off: Option<Micros>,
        /// For people.
        why: String,
    },
    /// A rule ended it, and nothing of it stands; trying again is harmless.
    EndedByRule {
        /// When to come back.
        hold_off: Option<Micros>,
        /// For people.
        why: String,
    },
    /// Nothing promised: it may have run.
    MayHaveRun(String),
    /// Rows were given out, and the rest is lost.
    Cut(String),
    /// The engine says that the statement is wrong.
    Engine(Failure),
    /// The client ended it.
    Canceled,
    /// The client went away.
    Abandoned,
}

impl Final {
    /// Why it was not served, for people.
    pub fn why(&self) -> &str {
        match self {
            Final::Refused { why, .. } | Final::EndedByRule { why, .. } => why,
            Final::MayHaveRun(why) | Final::Cut(why) => why,
            Final::Engine(failure) => &failure.message,
            Final::Served | Final::Canceled | Final::Abandoned => "",
        }
    }

    /// A word for logs and metrics.
    pub fn word(&self) -> &'static str {
        match self {
            Final::Served => "served",
            Final::Refused { .. } => "refused",
            Final::EndedByRule { .. } => "ended by rule",
            Final::MayHaveRun(_) => "failed",
            Final::Cut(_) => "cut",
            Final::Engine(_) => "wrong",
            Final::Canceled => "canceled",
            Final::Abandoned => "abandoned",
        }
    }
}

/// What an answer holds.
#[derive(Clone, Debug)]
pub enum Content {
    /// Nothing new.
    News,
    /// Rows; final where the page is the last.
    Rows(Page),
    /// The final answer.
    Final(Final),
}

/// One numbered answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Its number.
    pub page: u64,
    /// Its statement's class.
    pub class: usize,
    /// What it holds.
    pub content: Content,
    /// Whether an engine had it.
    pub running: bool,
    /// Whether rows have been given out, with it or before.
    pub flowing: bool,
    /// Time since the statement came.
    pub elapsed: Micros,
    /// Part of that before its first attempt.
    pub queued: Micros,
}

impl Answer {
    /// Whether no other answer follows.
    pub fn is_final(&self) -> bool {
        match &self.content {
            Content::News => false,
            Content::Rows(page) => page.last,
            Content::Final(_) => true,
        }
    }
}
