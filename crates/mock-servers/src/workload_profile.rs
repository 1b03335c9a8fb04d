//! The cost and the result of a statement. Its class sets the defaults, which hints in a comment of its text override.
//!
//! Hints are words in the first comment of the text, in any order:
//! `SELECT … /* work=250ms threads=2 io=0.3 memory=40 set=7 then=0.5:8 plan=20 rows=100 pages=4 width=20 wrong */`.
//!
//! - `work`: work, as a duration of the reference core;
//! - `threads`: number of threads;
//! - `io`: fraction of the work that is I/O;
//! - `memory`: memory in MB;
//! - `set`: data set that the statement reads or writes;
//! - `then`: second data set, after the fraction of the work from which on it is needed;
//! - `plan`: factor that multiplies the work but not the number of rows read, as a bad plan does;
//! - `rows`, `pages`: number of rows and of pages of the result;
//! - `width`: bytes of text in each row;
//! - `wrong`: the statement is invalid.
//!
//! Invalid hints are ignored.

use hoptiller_statement::parse_duration;

use crate::work_model::{Job, SecondDataSet};

/// Maximum number of rows of a result.
const MAX_ROWS: u64 = 10_000_000;
/// Maximum number of pages of a result.
const MAX_PAGES: u64 = 100_000;
/// Maximum length of the text in each row, in bytes.
const MAX_TEXT_BYTES: usize = 1 << 20;
/// Minimum number of threads of a statement.
const MIN_THREADS: f64 = 0.1;
/// Work in µs to read one row with a good plan.
const WORK_PER_ROW_MICROS: f64 = 10.0;

/// The cost and the result of a statement.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkloadProfile {
    /// The demand on the engine.
    pub job: Job,
    /// Number of rows of the result.
    pub rows: u64,
    /// Number of pages in which the rows are returned.
    pub pages: u64,
    /// Length of the text in each row, in bytes.
    pub text_bytes: usize,
    /// Number of rows that the statement reads to compute its result.
    pub rows_read: u64,
    /// Whether the statement is invalid, so that it fails with a syntax error.
    pub is_invalid: bool,
    /// Whether the statement changes data, so that the engine enters it into the ledger.
    pub has_effect: bool,
}

impl WorkloadProfile {
    /// Returns the profile of a statement. Unless a hint sets the work, it is drawn around the mean of the class by
    /// `seed`.
    pub fn new(class: &str, text: &str, seed: u64) -> Self {
        let mut profile = Self::for_class(class, draw_factor(seed));
        let mut plan_factor = 1.0;
        for hint in hints(text) {
            profile.apply_hint(hint, &mut plan_factor);
        }
        profile.rows_read = (profile.job.work / WORK_PER_ROW_MICROS) as u64;
        profile.job.work *= plan_factor;
        profile
    }

    /// Returns the profile of a class without hints: reports are long, loads change data that they lock, and all other
    /// classes are short lookups. `factor` multiplies the work.
    fn for_class(class: &str, factor: f64) -> Self {
        let job = |work_ms: f64, threads, io_fraction, memory_mb, locks_data_sets| Job {
            io_fraction,
            memory_mb,
            locks_data_sets,
            ..Job::new(work_ms * 1000.0 * factor, threads)
        };
        match class {
            "report" => Self::returning(300, 3, job(4_000.0, 2.0, 0.45, 200.0, false)),
            "rent-load" => Self {
                has_effect: true,
                ..Self::returning(1, 1, job(3_700.0, 2.0, 0.55, 150.0, true))
            },
            _ => Self::returning(5, 1, job(270.0, 1.0, 0.3, 20.0, false)),
        }
    }

    fn returning(rows: u64, pages: u64, job: Job) -> Self {
        Self {
            job,
            rows,
            pages,
            text_bytes: 12,
            rows_read: 0,
            is_invalid: false,
            has_effect: false,
        }
    }

    fn apply_hint(&mut self, hint: &str, plan_factor: &mut f64) {
        let (name, value) = hint.split_once('=').unwrap_or((hint, ""));
        match name {
            "work" => {
                if let Some(work) = parse_duration(value) {
                    self.job.work = (work.as_micros() as f64).max(1.0);
                }
            }
            "then" => {
                if let Some(second) = parse_second_data_set(value) {
                    self.job.second_data_set = Some(second);
                }
            }
            "wrong" => self.is_invalid = true,
            _ => {
                if let Some(number) = parse_number(value) {
                    self.apply_number(name, number, plan_factor);
                }
            }
        }
    }

    fn apply_number(&mut self, name: &str, number: f64, plan_factor: &mut f64) {
        match name {
            "plan" => *plan_factor = number.max(1.0),
            "threads" => self.job.threads = number.max(MIN_THREADS),
            "io" => self.job.io_fraction = number.min(1.0),
            "memory" => self.job.memory_mb = number,
            "set" => self.job.data_set = Some(number as u64),
            "rows" => self.rows = (number as u64).min(MAX_ROWS),
            "pages" => self.pages = (number as u64).clamp(1, MAX_PAGES),
            "width" => self.text_bytes = (number as usize).min(MAX_TEXT_BYTES),
            _ => {}
        }
    }
}

/// Returns a factor from 0.5 to 1.5 by a multiplicative hash of the seed.
fn draw_factor(seed: u64) -> f64 {
    0.5 + (seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40) as f64 / (1u64 << 24) as f64
}

/// Returns the words of the first comment in a text.
fn hints(text: &str) -> impl Iterator<Item = &str> {
    let comment = text
        .split_once("/*")
        .and_then(|(_, rest)| rest.split_once("*/"))
        .map_or("", |(comment, _)| comment);
    comment.split_ascii_whitespace()
}

fn parse_number(value: &str) -> Option<f64> {
    let number: f64 = value.parse().ok()?;
    (number.is_finite() && number >= 0.0).then_some(number)
}

/// Parses the form `FRACTION:DATA_SET`.
fn parse_second_data_set(value: &str) -> Option<SecondDataSet> {
    let (fraction, data_set) = value.split_once(':')?;
    let fraction: f64 = fraction.parse().ok()?;
    Some(SecondDataSet {
        needed_from: fraction.clamp(0.0, 1.0),
        data_set: data_set.parse().ok()?,
    })
}

#[cfg(test)]
mod tests;
