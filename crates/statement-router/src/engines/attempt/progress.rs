//! The status of a running statement in the responses to polls.

use hoptiller_http::Response;
use hoptiller_policy::Progress;
use hoptiller_runaway::{BlockedState, BlockingStatement, ProgressReport};
use hoptiller_statement::{Stats, extra};

use crate::engines::observer::AttemptReport;

/// The status in a response: the protocol's statistics, and the optional headers.
pub(super) struct ResponseStatus {
    /// The status, for the runaway detector.
    pub(super) report: AttemptReport,
    /// The progress, for the policy.
    pub(super) progress: Vec<Progress>,
}

pub(super) fn parse_status(response: &Response, stats: &Stats) -> ResponseStatus {
    let mut status = ResponseStatus {
        report: AttemptReport {
            status: from_stats(stats),
            blocking_class: None,
        },
        progress: Vec::new(),
    };
    let header = response.headers.get(extra::PROGRESS);
    for (name, value) in header.into_iter().flat_map(extra::parse_numbers) {
        status.apply(name, value, response);
    }
    status
}

/// Converts the protocol's statistics, in which 0 stands for an unknown value.
fn from_stats(stats: &Stats) -> ProgressReport {
    let known = |value: u64| (value > 0).then_some(value);
    ProgressReport {
        work: known(stats.cpu_time_millis).map(|ms| ms.saturating_mul(1000)),
        done: stats
            .progress_percentage
            .map(|percentage| percentage / 100.0),
        rows: known(stats.processed_rows),
        memory_mb: known(stats.peak_memory_bytes).map(|bytes| bytes as f64 / 1e6),
        spills: stats.spilled_bytes > 0,
        blocked_state: None,
    }
}

impl ResponseStatus {
    fn apply(&mut self, name: &str, value: f64, response: &Response) {
        let report = &mut self.report.status;
        let progress = match name {
            "done" if (0.0..=1.0).contains(&value) => {
                report.done = Some(value);
                Progress::Completed(value)
            }
            "spills" if value > 0.0 => {
                report.spills = true;
                Progress::Spilling(value)
            }
            "lacks" => {
                report.blocked_state = Some(BlockedState::Memory);
                Progress::Blocked
            }
            "waits" => {
                self.apply_blocking_statement(response);
                Progress::Blocked
            }
            _ => return,
        };
        self.progress.push(progress);
    }

    fn apply_blocking_statement(&mut self, response: &Response) {
        let header = response.headers.get(extra::BLOCKED_BY);
        let blocking = header.and_then(extra::BlockingStatement::parse);
        self.report.blocking_class = blocking
            .as_ref()
            .and_then(|statement| statement.class.map(str::to_owned));
        let holder = blocking.map(|statement| BlockingStatement {
            name: statement.name.to_owned(),
            class: None,
            age: statement.age_ms.map(|ms| ms * 1000),
        });
        self.report.status.blocked_state = Some(BlockedState::Statement(holder));
    }
}
