//! Rule 1: each admitted statement gets exactly one final answer, in time. No answer is owed for a statement whose router
//! was killed or paused while it held it, or whose client cancelled it.

use std::collections::BTreeMap;

use super::submissions::{FinalAnswer, Submission, Submissions};
use crate::record::{Outcome, Record};
use crate::rules::Rules;
use crate::verdict::{Rule, Verdict};

pub(super) fn check_answers(
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
            if !submission.final_answers.is_empty() {
                verdict.add(
                    Rule::SingleFinalAnswer,
                    format!("request {request}: answered though it was never taken"),
                );
            }
            continue;
        }
        verdict.tally(submission.class).admitted += 1;
        let interrupted = interruptions.affect(submission);
        let Some(answer) = submission.final_answers.first() else {
            check_unanswered(*request, submission, interrupted, verdict);
            continue;
        };
        let answered_at = submission
            .first_rows_at
            .map_or(answer.at, |rows_at| rows_at.min(answer.at));
        let work = work.get(submission.trace).copied().unwrap_or(0);
        count_answer(submission, *answer, answered_at, work, rules, verdict);
        check_answered(*request, submission, answered_at, interrupted, verdict);
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

fn check_unanswered(
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
        verdict.add(
            Rule::SingleFinalAnswer,
            format!("request {request}: no final answer before its client gave up"),
        );
    }
}

fn count_answer(
    submission: &Submission,
    answer: FinalAnswer,
    answered_at: u64,
    work: u64,
    rules: &Rules,
    verdict: &mut Verdict,
) {
    let tally = verdict.tally(submission.class);
    match answer.outcome {
        Outcome::Served => tally.served += 1,
        Outcome::Refused => tally.refused += 1,
        Outcome::Failed => tally.failed += 1,
    }
    let objective = rules
        .classes
        .get(submission.class)
        .map_or(u64::MAX, |class| class.objective_for(work));
    let latency = answered_at.saturating_sub(submission.submitted_at);
    if answer.outcome == Outcome::Served && latency > objective {
        tally.late += 1;
    }
}

fn check_answered(
    request: u64,
    submission: &Submission,
    answered_at: u64,
    interrupted: bool,
    verdict: &mut Verdict,
) {
    let answers = submission.final_answers.len();
    if answers > 1 {
        verdict.add(
            Rule::SingleFinalAnswer,
            format!("request {request}: {answers} final answers"),
        );
    }
    if answered_at > submission.deadline && !interrupted && !submission.cancelled {
        let late = answered_at - submission.deadline;
        verdict.add(
            Rule::SingleFinalAnswer,
            format!("request {request}: answered {late} µs after its client gave up"),
        );
    }
}

/// When routers were killed or paused, by router.
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

    /// Whether the router was killed or paused between submission and final answer. The router admits a statement before its
    /// client has read so: a kill between submission and the recorded admission may hit a statement that is held.
    fn affect(&self, submission: &Submission) -> bool {
        let ended_at = submission
            .final_answers
            .first()
            .map_or(u64::MAX, |answer| answer.at);
        let mut kills = self.kills.get(submission.router).into_iter().flatten();
        let mut pauses = self.pauses.get(submission.router).into_iter().flatten();
        kills.any(|at| (submission.submitted_at..=ended_at).contains(at))
            || pauses.any(|pause| submission.submitted_at <= pause.until && pause.from <= ended_at)
    }
}
