//! Owns how much work a statement is: by hints in a comment of its text, else by its class.
//!
//! `SELECT … /* work=250ms threads=2 io=0.3 memory=40 set=7 then=0.5:8 plan=20 rows=100 pages=4 width=20
//! wrong */`; `plan` does so many times the work for the same rows read

use hoptiller_statement::parse_duration;

use crate::model::Job;

/// What a statement does, and what it gives.
#[derive(Clone, Debug, PartialEq)]
pub struct Shape {
    /// Its work.
    pub job: Job,
    /// Rows in all.
    pub rows: u64,
    /// Pages that they come in.
    pub pages: u64,
    /// Bytes of text in each row.
    pub width: usize,
    /// Rows that it reads.
    pub reads: u64,
    /// The engine answers that the statement is wrong.
    pub wrong: bool,
    /// It changes something: the ledger notes it.
    pub posts: bool,
}

/// The shape of a statement. `seed` draws around the class's mean where the text has no hint.
pub fn of(class: &str, text: &str, seed: u64) -> Shape {
    let draw = 0.5 + (seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40) as f64 / (1u64 << 24) as f64;
    let job = |work_ms: f64, threads, io, memory, holds| {
        let (grant, set, priority, then) = (None, None, 1, None);
        Job {
            work: work_ms * 1000.0 * draw,
            threads,
            io,
            memory,
            grant,
            set,
            holds,
            priority,
            then,
        }
    };
    // The Derby kind: short lookups, long reports, loads that hold what they write.
    let mut shape = match class {
        "report" => Shape {
            job: job(4_000.0, 2.0, 0.45, 200.0, false),
            ..Shape::lookup(300, 3)
        },
        "rent-load" => Shape {
            job: job(3_700.0, 2.0, 0.55, 150.0, true),
            posts: true,
            ..Shape::lookup(1, 1)
        },
        _ => Shape {
            job: job(270.0, 1.0, 0.3, 20.0, false),
            ..Shape::lookup(5, 1)
        },
    };
    let mut plan = 1.0;
    for hint in hints(text) {
        let (name, value) = hint.split_once('=').unwrap_or((hint, ""));
        let number = value
            .parse::<f64>()
            .ok()
            .filter(|n| n.is_finite() && *n >= 0.0);
        match (name, number) {
            ("work", _) => {
                if let Some(work) = parse_duration(value) {
                    shape.job.work = (work.as_micros() as f64).max(1.0);
                }
            }
            ("then", _) => {
                let parsed = value
                    .split_once(':')
                    .map(|(share, set)| (share.parse::<f64>(), set.parse::<u64>()));
                if let Some((Ok(share), Ok(set))) = parsed {
                    shape.job.then = Some((share.clamp(0.0, 1.0), set));
                }
            }
            ("plan", Some(n)) => plan = n.max(1.0),
            ("wrong", _) => shape.wrong = true,
            ("threads", Some(n)) => shape.job.threads = n.max(0.1),
            ("io", Some(n)) => shape.job.io = n.min(1.0),
            ("memory", Some(n)) => shape.job.memory = n,
            ("set", Some(n)) => shape.job.set = Some(n as u64),
            ("rows", Some(n)) => shape.rows = (n as u64).min(10_000_000),
            ("pages", Some(n)) => shape.pages = (n as u64).clamp(1, 100_000),
            ("width", Some(n)) => shape.width = (n as usize).min(1 << 20),
            _ => {}
        }
    }
    // With a good plan, 10 µs a row.
    shape.reads = (shape.job.work / 10.0) as u64;
    shape.job.work *= plan;
    shape
}

impl Shape {
    fn lookup(rows: u64, pages: u64) -> Shape {
        let (io, memory, grant, set, holds, priority) = (0.0, 0.0, None, None, false, 1);
        let job = Job {
            work: 0.0,
            threads: 1.0,
            io,
            memory,
            grant,
            set,
            holds,
            priority,
            then: None,
        };
        Shape {
            job,
            rows,
            pages,
            width: 12,
            reads: 0,
            wrong: false,
            posts: false,
        }
    }
}

/// The words of the first comment.
fn hints(text: &str) -> impl Iterator<Item = &str> {
    let inside = text
        .split_once("/*")
        .and_then(|(_, rest)| rest.split_once("*/"))
        .map_or("", |(h, _)| h);
    inside.split_ascii_whitespace()
}

#[cfg(test)]
mod tests;
