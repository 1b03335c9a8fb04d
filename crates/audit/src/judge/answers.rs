//! Rule 1: each admitted statement gets exactly one final response, and its first rows or that response, whichever is
//! earlier, arrive before the deadline of the client. No response is required for a statement that its client
//! cancelled, or whose router was killed or paused while holding it.

use std::collections::BTreeMap;

use super::submissions::{FinalResponse, Submission, Submissions};
use crate::record::{Outcome, Record};
use crate::rules::Rules;
use crate::verdict::{Rule, Verdict};

pub(super) fn check_responses(
    records: &[Record],
    submissions: &Submissions,
    rules: &Rules,
    verdict: &mut Verdict,
) {
    count_rejections(records, submissions, verdict);
    let work = work_by_trace(records);
    let interruptions = Interruptions::collect(records);
    for (request, submission) in submissions {
        if submission.admitted_at.is_none() {
            if !submission.final_responses.is_empty() {
                verdict.add_violation(
                    Rule::SingleFinalAnswer,
                    format!("request {request}: answered though it was never taken"),
                );
            }
            continue;
        }
        verdict.tally(submission.class).admitted += 1;
        let interrupted = interruptions.affects(submission);
        let Some(response) = submission.final_responses.first() else {
            check_missing_response(*request, submission, interrupted, verdict);
            continue;
        };
        let first_response_at = submission
            .first_rows_at
            .map_or(response.at, |rows_at| rows_at.min(response.at));
        let work = work.get(submission.trace).copied().unwrap_or(0);
        count_response(
            submission,
            *response,
            first_response_at,
            work,
            rules,
            verdict,
        );
        check_count_and_deadline(
            *request,
            submission,
            first_response_at,
            interrupted,
            verdict,
        );
    }
}

fn count_rejections(records: &[Record], submissions: &Submissions, verdict: &mut Verdict) {
    for record in records {
        if let Record::Rejected { request, .. } = record
            && let Some(submission) = submissions.get(request)
        {
            verdict.tally(submission.class).rejected += 1;
        }
    }
}

fn work_by_trace(records: &[Record]) -> BTreeMap<&str, u64> {
    records
        .iter()
        .filter_map(|record| match record {
            Record::Done { trace, work, .. } if *work > 0 => Some((trace.as_str(), *work)),
            _ => None,
        })
        .collect()
}

fn check_missing_response(
    request: u64,
    submission: &Submission,
    interrupted: bool,
    verdict: &mut Verdict,
) {
    if submission.cancelled {
        verdict.tally(submission.class).cancelled += 1;
    } else if interrupted {
        verdict.tally(submission.class).lost += 1;
    } else {
        verdict.add_violation(
            Rule::SingleFinalAnswer,
            format!("request {request}: no final answer before its client gave up"),
        );
    }
}

fn count_response(
    submission: &Submission,
    response: FinalResponse,
    first_response_at: u64,
    work: u64,
    rules: &Rules,
    verdict: &mut Verdict,
) {
    let tally = verdict.tally(submission.class);
    match response.outcome {
        Outcome::Served => tally.served += 1,
        Outcome::Refused => tally.refused += 1,
        Outcome::Failed => tally.failed += 1,
    }
    let objective = rules
        .classes
        .get(submission.class)
        .map_or(u64::MAX, |class| class.objective_for(work));
    let latency = first_response_at.saturating_sub(submission.submitted_at);
    if response.outcome == Outcome::Served && latency > objective {
        tally.late += 1;
    }
}

fn check_count_and_deadline(
    request: u64,
    submission: &Submission,
    first_response_at: u64,
    interrupted: bool,
    verdict: &mut Verdict,
) {
    let count = submission.final_responses.len();
    if count > 1 {
        verdict.add_violation(
            Rule::SingleFinalAnswer,
            format!("request {request}: {count} final answers"),
        );
    }
    if first_response_at > submission.deadline && !interrupted && !submission.cancelled {
        let late = first_response_at - submission.deadline;
        verdict.add_violation(
            Rule::SingleFinalAnswer,
            format!("request {request}: answered {late} µs after its client gave up"),
        );
    }
}

/// Times at which routers were killed or paused, by name of the router.
#[derive(Default)]
struct Interruptions<'a> {
    kills: BTreeMap<&'a str, Vec<u64>>,
    pauses: BTreeMap<&'a str, Vec<Pause>>,
}

struct Pause {
    from: u64,
    until: u64,
}

impl<'a> Interruptions<'a> {
    fn collect(records: &'a [Record]) -> Self {
        let mut interruptions = Self::default();
        for record in records {
            match record {
                Record::RouterKilled { at, router } => {
                    interruptions.kills.entry(router).or_default().push(*at);
                }
                Record::RouterPaused { at, router, until } => {
                    let (from, until) = (*at, *until);
                    let pauses = interruptions.pauses.entry(router).or_default();
                    pauses.push(Pause { from, until });
                }
                _ => {}
            }
        }
        interruptions
    }

    /// Returns whether the router was killed or paused between submission and final response. The router admits a
    /// statement before its client reads the admission, so a kill between the submission and the recorded admission may
    /// affect a statement that the router holds.
    fn affects(&self, submission: &Submission) -> bool {
        let ended_at = submission
            .final_responses
            .first()
            .map_or(u64::MAX, |response| response.at);
        let mut kills = self.kills.get(submission.router).into_iter().flatten();
        let mut pauses = self.pauses.get(submission.router).into_iter().flatten();
        kills.any(|at| (submission.submitted_at..=ended_at).contains(at))
            || pauses.any(|pause| submission.submitted_at <= pause.until && pause.from <= ended_at)
    }
}
